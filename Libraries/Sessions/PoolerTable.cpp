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
/// The time between probes of a proxy doubles so many times at most.
constexpr unsigned mostDoublings = 4;

} // namespace

PoolerTable::PoolerTable(Core::NodeName self)
    : self_(std::move(self))
{ }

void PoolerTable::setMembers(std::vector<PoolMember> members)
{
    members_ = std::move(members);
    ranked_.clear();
    // What is known of a proxy that left is kept while its link is open.
    std::erase_if(contacts_, [&](const auto &entry) {
        return entry.second.link == Link::Closed
            && std::ranges::find(members_, entry.first, &PoolMember::node) == members_.end();
    });
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

const std::vector<std::size_t> &PoolerTable::rankedFor(const DatabaseEntry &database)
{
    auto found = ranked_.find(database.id);
    if (found == ranked_.end())
        found = ranked_.emplace(database.id, rank(database)).first;
    return found->second;
}

const PoolMember *PoolerTable::first(const DatabaseEntry &database, Core::Instant now)
{
    for (const std::size_t index : rankedFor(database)) {
        const PoolMember &member = members_[index];
        const auto contact = contacts_.find(member.node);
        if (member.node == self_ || contact == contacts_.end() || contact->second.isUsable(now))
            return &member;
    }
    return nullptr;
}

const PoolMember *PoolerTable::unknownFirst(const DatabaseEntry &database)
{
    const auto &ranked = rankedFor(database);
    if (ranked.empty() || members_[ranked.front()].node == self_)
        return nullptr;
    const PoolMember &member = members_[ranked.front()];
    const auto contact = contacts_.find(member.node);
    const bool isUnknown = contact == contacts_.end()
        || (contact->second.link == Link::Closed && contact->second.failures == 0);
    return isUnknown ? &member : nullptr;
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

bool PoolerTable::isFailing(const Core::NodeName &node) const
{
    const auto found = contacts_.find(node);
    return found != contacts_.end() && found->second.failures > 0;
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
    contact.link = Link::Closed;
    contact.outstanding = 0;
    contact.pingedAt = Core::Instant();
    // The first probe is made at once, as open connections can go silent while new ones work.
    const unsigned doublings = std::min(contact.failures, mostDoublings);
    constexpr std::int64_t once = 1;
    const Core::Duration pause =
        contact.failures == 0 ? Core::Duration() : initialProbeInterval * (once << doublings);
    contact.probeAt = now + pause;
    ++contact.failures;
}

void PoolerTable::refused(const Core::NodeName &node, Core::Instant now)
{
    contacts_[node].avoidUntil = now + poolerBackoff;
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
        if (contact.link == Link::Closed) {
            const auto member = std::ranges::find(members_, node, &PoolMember::node);
            if (contact.failures > 0 && now >= contact.probeAt && member != members_.end())
                result.toOpen.push_back(*member);
            continue;
        }
        if (contact.link == Link::Opening) {
            if (now >= contact.since + linkOpenTimeout)
                result.silent.push_back(node);
            continue;
        }
        // A link that was opened as a probe owes the answer to a ping.
        const bool isPinged = contact.pingedAt != Core::Instant();
        const bool isOwing = contact.outstanding > 0 || contact.failures > 0;
        const bool isDue = contact.failures > 0 || now >= contact.quietSince + pingDelay;
        if (isPinged && now >= contact.pingedAt + pingTimeout) {
            result.silent.push_back(node);
        } else if (!isPinged && isOwing && isDue) {
            contact.pingedAt = now;
            result.toPing.push_back(node);
        }
    }
    return result;
}

Core::Instant PoolerTable::nextReview() const
{
    Core::Instant next = Core::Instant::never();
    for (const auto &[node, contact] : contacts_) {
        if (contact.link == Link::Opening)
            next = std::min(next, contact.since + linkOpenTimeout);
        else if (contact.link == Link::Up && contact.pingedAt != Core::Instant())
            next = std::min(next, contact.pingedAt + pingTimeout);
        else if (contact.link == Link::Closed && contact.failures > 0
                 && std::ranges::find(members_, node, &PoolMember::node) != members_.end())
            next = std::min(next, contact.probeAt);
    }
    return next;
}

} // namespace Chervilpin::Sessions
