#include <Failover/RequestLedger.h>

#include <utility>

namespace Chervilpin::Failover {

namespace {
constexpr unsigned groupNumberShift = 40;
} // namespace

GroupNumber groupNumberOf(Token token)
{
    return token >> groupNumberShift;
}

RequestLedger::RequestLedger(GroupNumber number)
    : last_(number << groupNumberShift)
{ }

Token RequestLedger::add(Entry entry)
{
    entries_.emplace(++last_, std::move(entry));
    return last_;
}

std::optional<RequestLedger::Entry> RequestLedger::take(Token token)
{
    auto node = entries_.extract(token);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped());
}

void RequestLedger::forgetSentBefore(Core::Instant instant)
{
    while (!entries_.empty() && entries_.begin()->second.sentAt < instant)
        entries_.erase(entries_.begin());
}

} // namespace Chervilpin::Failover
