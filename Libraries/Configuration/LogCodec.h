#pragma once

#include <Configuration/Change.h>
#include <Configuration/Snapshot.h>

#include <Core/Result.h>

#include <string>
#include <string_view>

/// The JSON texts of the log's objects in the platform, which peers pass on unchanged.
namespace Chervilpin::Configuration {

/// A change as the log keeps it. The text is what digests are made of.
struct LoggedChange
{
    Change change;
    std::string text;
};

/// The object `config/head`: the latest complete snapshot.
struct Head
{
    Revision revision = 0; ///< 0: there is no snapshot yet.
    std::uint32_t parts = 0;
    Revision oldestChange = 0; ///< Changes before this one are tombstones.
};

[[nodiscard]] std::string encodeChange(const Change &);
[[nodiscard]] Core::ErrorOr<LoggedChange> decodeChange(std::string_view text);

[[nodiscard]] std::string encodeSnapshot(const Snapshot &);
[[nodiscard]] Core::ErrorOr<SnapshotPointer> decodeSnapshot(std::string_view text);

/// What replaces an old change that a snapshot has made superfluous. The object stays, so that its
/// number can never be given to another change.
inline constexpr std::string_view tombstone = "{}";

[[nodiscard]] std::string encodeHead(const Head &);
[[nodiscard]] Core::ErrorOr<Head> decodeHead(std::string_view text);

/// The digest of the log that ends in \a text, when all before it has \a previous.
[[nodiscard]] std::uint64_t extendDigest(std::uint64_t previous, std::string_view text);

/// `config/change/<revision>`, padded so that keys sort by revision.
[[nodiscard]] std::string changeKey(Revision);
/// `config/snapshot/<revision>/<part>`, padded likewise.
[[nodiscard]] std::string snapshotKey(Revision, std::uint32_t part);
inline constexpr std::string_view headKey = "config/head";
inline constexpr std::string_view changePrefix = "config/change/";

} // namespace Chervilpin::Configuration
