#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Failover/Actions.h>
#include <Upstream/Messages.h>

#include <cstdint>
#include <map>
#include <optional>

namespace Chervilpin::Failover {

/// Identifies a group within one process; forms the upper bits of its request tokens.
using GroupNumber = std::uint64_t;

[[nodiscard]] GroupNumber groupNumberOf(RequestToken);

/// Requests of one group that await an answer, by token.
class PendingRequests
{
public:
    struct Entry
    {
        Core::DatabaseName database;
        Upstream::RequestBody body;
        Core::Instant sentAt;
    };

    explicit PendingRequests(GroupNumber);

    [[nodiscard]] RequestToken add(Entry);
    /// Removes and returns a request; nothing if the token is unknown or was already reported.
    [[nodiscard]] std::optional<Entry> take(RequestToken);
    void dropSentBefore(Core::Instant);

private:
    RequestToken lastToken_;
    std::map<RequestToken, Entry> entries_;
};

} // namespace Chervilpin::Failover
