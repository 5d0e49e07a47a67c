#pragma once

#include <Configuration/Resource.h>

#include <Core/Result.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// What proxies say to each other about the configuration, and its protobuf encoding.
namespace Chervilpin::Configuration {

/// Accepted changes with consecutive revisions, in the texts of the log.
struct RelayChanges
{
    std::vector<std::string> texts;
};

/// Tells the revision that the sender has in force.
struct RelayAdvert
{
    Revision revision = 0;
    std::uint64_t digest = 0;
};

/// Asks for all changes after a revision, or a snapshot if they are no longer held.
struct RelayFetch
{
    Revision after = 0;
};

/// One part of a snapshot's text.
struct RelaySnapshotPart
{
    Revision revision = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string text;
};

using RelayMessage = std::variant<RelayChanges, RelayAdvert, RelayFetch, RelaySnapshotPart>;

[[nodiscard]] std::string encodeRelayMessage(const RelayMessage &);
[[nodiscard]] Core::ErrorOr<RelayMessage> decodeRelayMessage(std::string_view payload);

} // namespace Chervilpin::Configuration
