#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Failover/Actions.h>
#include <Upstream/Messages.h>

#include <cstdint>
#include <map>
#include <optional>

namespace Chervilpin::Failover {

/// Numbers the groups of one process; the upper bits of the tokens of a group's requests.
using GroupNumber = std::uint64_t;

[[nodiscard]] GroupNumber groupNumberOf(RequestToken);

/// The requests of one group that are under way, by their tokens.
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
    /// Takes a request out; nothing if its token isn't known or was reported already.
    [[nodiscard]] std::optional<Entry> take(RequestToken);
    void dropSentBefore(Core::Instant);

private:
    RequestToken lastToken_;
    std::map<RequestToken, Entry> entries_;
};

} // namespace Chervilpin::Failover
