#include <Sessions/PoolerTable.h>

#include <Core/Rank.h>
#include <Sessions/Timing.h>

#include <algorithm>
#include <functional>
#include <tuple>

namespace Chervilpin::Sessions {

namespace {

/// So many proxies are tried for a database before this one opens connections itself.
constexpr std::size_t candidatesKept = 3;
/// A VM with less than this part of the strongest one's processor becomes a pooler only if the data
/// centre has no stronger ones.
constexpr unsigned strongPart = 2;
/// The time for which a proxy is avoided doubles so many times at most.
constexpr unsigned mostDoublings = 3;

} // namespace

PoolerTable::PoolerTable(Core::NodeName self)
    : self_(std::move(self))
{ }

void PoolerTable::setMembers(std::vector<PoolMember> members)
{
    members_ = std::move(members);
    ranked_.clear();
}

std::vector<std::size_t> PoolerTable::rank(const DatabaseEntry &database) const
{
    unsigned strongest = 0;
    for (const auto &member : members_) {
        if (member.dataCentre == database.dataCentre)
            strongest = std::max(strongest, member.capacity);
    }
    const auto key = [&](std::size_t index) {
        const PoolMember &member = members_[index];
        const bool isNear = member.dataCentre == database.dataCentre;
        const bool isStrong = member.capacity * strongPart >= strongest;
        return std::tuple(isNear, isStrong, Core::rankOf(member.node, database.id.view()));
    };
    std::vector<std::size_t> order(members_.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    const std::size_t count = std::min(order.size(), candidatesKept);
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(count),
                              std::greater<>(), key);
    order.resize(count);
    return order;
}

const PoolMember *PoolerTable::first(const DatabaseEntry &database, Core::Instant now)
{
    auto found = ranked_.find(database.id);
    if (found == ranked_.end())
        found = ranked_.emplace(database.id, rank(database)).first;
    for (const std::size_t index : found->second) {
        const PoolMember &member = members_[index];
        const auto contact = contacts_.find(member.node);
        if (member.node == self_ || contact == contacts_.end() || now >= contact->second.avoidUntil)
            return &member;
    }
    return nullptr;
}

const PoolMember *PoolerTable::choose(const DatabaseEntry &database, Core::Instant now)
{
    const PoolMember *member = first(database, now);
    return member && member->node != self_ ? member : nullptr;
}

bool PoolerTable::isSelf(const DatabaseEntry &database, Core::Instant now)
{
    const PoolMember *member = first(database, now);
    return member && member->node == self_;
}

PoolerTable::Link PoolerTable::linkTo(const Core::NodeName &node) const
{
    const auto found = contacts_.find(node);
    return found == contacts_.end() ? Link::Closed : found->second.link;
}

void PoolerTable::opening(const Core::NodeName &node, Core::Instant now)
{
    Contact &contact = contacts_[node];
    contact.link = Link::Opening;
    contact.since = now;
}

void PoolerTable::opened(const Core::NodeName &node, Core::Instant now)
{
    Contact &contact = contacts_[node];
    contact.link = Link::Up;
    contact.outstanding = 0;
    contact.quietSince = now;
    contact.pingedAt = Core::Instant();
}

void PoolerTable::lost(const Core::NodeName &node, Core::Instant now)
{
    Contact &contact = contacts_[node];
    // Open connections can go silent while new ones work, so one that worked is opened anew.
    const bool hasWorked = contact.link == Link::Up && contact.failures == 0;
    contact.link = Link::Closed;
    contact.outstanding = 0;
    contact.pingedAt = Core::Instant();
    if (hasWorked)
        contact.failures = 1;
    else
        avoid(contact, now);
}

void PoolerTable::refused(const Core::NodeName &node, Core::Instant now)
{
    avoid(contacts_[node], now);
}

void PoolerTable::avoid(Contact &contact, Core::Instant now)
{
    const unsigned doublings = std::min(contact.failures, mostDoublings);
    contact.avoidUntil = now + poolerAvoidTime * static_cast<std::int64_t>(1U << doublings);
    ++contact.failures;
}

void PoolerTable::asked(const Core::NodeName &node, Core::Instant now)
{
    Contact &contact = contacts_[node];
    if (contact.outstanding++ == 0)
        contact.quietSince = now;
}

void PoolerTable::heard(const Core::NodeName &node, Core::Instant now)
{
    Contact &contact = contacts_[node];
    contact.quietSince = now;
    contact.pingedAt = Core::Instant();
    contact.failures = 0;
}

void PoolerTable::settled(const Core::NodeName &node)
{
    Contact &contact = contacts_[node];
    contact.outstanding -= std::min(contact.outstanding, 1U);
}

PoolerTable::Review PoolerTable::review(Core::Instant now)
{
    Review result;
    for (auto &[node, contact] : contacts_) {
        if (contact.link == Link::Opening) {
            if (now >= contact.since + linkOpenTime)
                result.silent.push_back(node);
            continue;
        }
        if (contact.link != Link::Up || contact.outstanding == 0)
            continue;
        const bool isPinged = contact.pingedAt != Core::Instant();
        if (isPinged && now >= contact.pingedAt + pingPatience) {
            result.silent.push_back(node);
        } else if (!isPinged && now >= contact.quietSince + pingAfter) {
            contact.pingedAt = now;
            result.toPing.push_back(node);
        }
    }
    return result;
}

} // namespace Chervilpin::Sessions
