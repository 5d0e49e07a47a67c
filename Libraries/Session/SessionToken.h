#pragma once

#include <Core/LogMark.h>
#include <Core/Name.h>
#include <Core/Result.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Chervilpin::Session {

/// The marks of a session's last acknowledged write in each group.
///
/// The token is all that is kept of a session; the caller carries it from proxy to proxy. A caller
/// can forge a token, but only make its own reads fresher or older than its writes, or be refused.
class SessionToken
{
public:
    /// The most groups whose marks are kept.
    static constexpr std::size_t maximumGroups = 32;
    /// The longest accepted name of a group, in bytes.
    static constexpr std::size_t maximumGroupNameLength = 128;
    /// The longest text that decode() looks at, in bytes.
    static constexpr std::size_t maximumEncodedLength = 8192;

    /// Reads a text made by encode(). InvalidArgument if it is garbled or of an unknown version;
    /// the caller is then to be served as if it had no token.
    [[nodiscard]] static Core::ErrorOr<SessionToken> decode(std::string_view text);

    /// The token of a session that came without a usable one and may have written before: reads of
    /// groups that it doesn't list are Strong.
    [[nodiscard]] static SessionToken startedLate();

    /// The token as a text of URL-safe characters. The same marks always give the same text.
    [[nodiscard]] std::string encode() const;

    /// Notes an acknowledged write. A lower mark than the noted one changes nothing.
    void advance(const Core::GroupName &group, Core::LogMark mark);

    /// Takes over every higher mark of another token of the same session.
    void merge(const SessionToken &other);

    /// What a read of the session must see: the zero mark if the session wrote nothing in the
    /// group; nothing if that isn't known, so that the read must be served as Strong.
    [[nodiscard]] std::optional<Core::LogMark> demandedMark(const Core::GroupName &group) const;

    /// Puts the version and the checksum around a content; what encode() does with its own. Public
    /// for tests of decode() that need a garbled content under a valid checksum.
    [[nodiscard]] static std::string seal(std::string_view content);

    [[nodiscard]] std::size_t groupCount() const { return marks_.size(); }

    bool operator==(const SessionToken &) const = default;

private:
    void dropOneExcept(const Core::GroupName &kept);

    std::map<Core::GroupName, Core::LogMark> marks_;
    bool isTruncated_ = false;
};

} // namespace Chervilpin::Session
