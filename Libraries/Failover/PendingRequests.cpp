#include <Failover/PendingRequests.h>

#include <utility>

namespace Chervilpin::Failover {

namespace {
constexpr unsigned groupNumberShift = 40;
} // namespace

GroupNumber groupNumberOf(RequestToken token)
{
    return token >> groupNumberShift;
}

PendingRequests::PendingRequests(GroupNumber number)
    : lastToken_(number << groupNumberShift)
{ }

RequestToken PendingRequests::add(Entry entry)
{
    entries_.emplace(++lastToken_, std::move(entry));
    return lastToken_;
}

std::optional<PendingRequests::Entry> PendingRequests::take(RequestToken token)
{
    auto node = entries_.extract(token);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped());
}

void PendingRequests::dropSentBefore(Core::Instant instant)
{
    while (!entries_.empty() && entries_.begin()->second.sentAt < instant)
        entries_.erase(entries_.begin());
}

} // namespace Chervilpin::Failover
