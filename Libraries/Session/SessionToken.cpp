#include <Session/SessionToken.h>

#include <Core/Verify.h>
#include <Session/Base64Url.h>

#include <algorithm>
#include <cstdint>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <session.pb.h>
#include <utility>
#include <xxhash.h>

namespace Chervilpin::Session {

namespace Wire = chervilpin::session;

namespace {

constexpr char currentVersion = 1;
constexpr std::size_t versionLength = 1;
constexpr std::size_t checksumLength = 8;
constexpr unsigned bitsPerByte = 8;
/// Keeps tokens apart from any other text with an xxhash checksum.
constexpr std::uint64_t checksumSeed = 0x63687672'746f6b31;

std::string checksumOf(std::string_view bytes)
{
    std::uint64_t sum = XXH64(bytes.data(), bytes.size(), checksumSeed);
    std::string text(checksumLength, '\0');
    for (char &byte : text) {
        byte = static_cast<char>(sum);
        sum >>= bitsPerByte;
    }
    return text;
}

Core::ErrorOr<std::string_view> checkedContent(std::string_view bytes)
{
    if (bytes.size() < versionLength + checksumLength)
        return Core::failure(Core::ErrorCode::InvalidArgument, "The session token is too short.");
    const std::string_view body = bytes.substr(0, bytes.size() - checksumLength);
    if (bytes.substr(body.size()) != checksumOf(body))
        return Core::failure(Core::ErrorCode::InvalidArgument, "The session token is garbled.");
    if (body.front() != currentVersion)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "The session token is of an unknown version.");
    return body.substr(versionLength);
}

bool isValidMark(const Wire::GroupMark &mark)
{
    return !mark.group().empty() && mark.group().size() <= SessionToken::maximumGroupNameLength;
}

std::string serializeDeterministically(const Wire::Token &message)
{
    std::string bytes;
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    const bool isWritten = message.SerializeToCodedStream(&coded);
    VERIFY(isWritten);
    coded.Trim();
    return bytes;
}

} // namespace

Core::ErrorOr<SessionToken> SessionToken::decode(std::string_view text)
{
    if (text.size() > maximumEncodedLength)
        return Core::failure(Core::ErrorCode::InvalidArgument, "The session token is too long.");
    const std::string bytes = TRY(decodeBase64Url(text));
    const std::string_view content = TRY(checkedContent(bytes));
    Wire::Token message;
    if (!message.ParseFromArray(content.data(), static_cast<int>(content.size())))
        return Core::failure(Core::ErrorCode::InvalidArgument, "The session token is garbled.");
    if (std::cmp_greater(message.marks_size(), maximumGroups)
        || !std::ranges::all_of(message.marks(), isValidMark)) {
        return Core::failure(Core::ErrorCode::InvalidArgument, "The session token has bad marks.");
    }
    SessionToken token;
    token.isTruncated_ = message.truncated();
    for (const Wire::GroupMark &mark : message.marks())
        token.advance(Core::GroupName(mark.group()), {mark.term(), mark.position()});
    return token;
}

SessionToken SessionToken::startedLate()
{
    SessionToken token;
    token.isTruncated_ = true;
    return token;
}

std::string SessionToken::encode() const
{
    Wire::Token message;
    message.set_truncated(isTruncated_);
    for (const auto &[group, mark] : marks_) {
        Wire::GroupMark &encoded = *message.add_marks();
        encoded.set_group(group.value());
        encoded.set_term(mark.term);
        encoded.set_position(mark.position);
    }
    return seal(serializeDeterministically(message));
}

std::string SessionToken::seal(std::string_view content)
{
    std::string body(versionLength, currentVersion);
    body += content;
    return encodeBase64Url(body + checksumOf(body));
}

void SessionToken::advance(const Core::GroupName &group, Core::LogMark mark)
{
    if (group.isEmpty() || group.value().size() > maximumGroupNameLength) {
        // The mark can't be carried, so reads of unlisted groups must be served as Strong.
        isTruncated_ = true;
        return;
    }
    Core::LogMark &noted = marks_[group];
    noted = std::max(noted, mark);
    if (marks_.size() > maximumGroups)
        dropOneExcept(group);
}

void SessionToken::merge(const SessionToken &other)
{
    isTruncated_ = isTruncated_ || other.isTruncated_;
    for (const auto &[group, mark] : other.marks_)
        advance(group, mark);
}

std::optional<Core::LogMark> SessionToken::demandedMark(const Core::GroupName &group) const
{
    if (const auto found = marks_.find(group); found != marks_.end())
        return found->second;
    if (isTruncated_)
        return std::nullopt;
    return Core::LogMark{};
}

void SessionToken::dropOneExcept(const Core::GroupName &kept)
{
    auto dropped = marks_.begin();
    if (dropped->first == kept)
        ++dropped;
    marks_.erase(dropped);
    isTruncated_ = true;
}

} // namespace Chervilpin::Session
