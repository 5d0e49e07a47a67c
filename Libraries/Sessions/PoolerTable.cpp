#include <Sessions/PoolerTable.h>

#include <Core/Rank.h>
#include <Sessions/Timing.h>

#include <algorithm>
#include <functional>
#include <tuple>

namespace Chervilpin::Sessions {

namespace {

/// The number of proxies that are tried for a database before this one opens connections itself.
constexpr std::size_t maximumCandidates = 3;
/// A VM whose capacity is less than that of the strongest one divided by this number becomes a
/// pooler only if the data centre has no stronger one.
constexpr unsigned strongCapacityDivisor = 2;
/// The maximum number of times that the interval between probes of a proxy doubles.
constexpr unsigned maximumDoublings = 4;

} // namespace

PoolerTable::PoolerTable(Core::NodeName self)
    : self_(std::move(self))
{ }

void PoolerTable::setMembers(std::vector<PoolerCandidate> members)
{
    members_ = std::move(members);
    candidates_.clear();
    // The state of a proxy that left the fleet is kept while the link to it is open.
    std::erase_if(links_, [&](const auto &entry) {
        return entry.second.link == Link::Closed
            && std::ranges::find(members_, entry.first, &PoolerCandidate::node) == members_.end();
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
        const PoolerCandidate &member = members_[index];
        const bool isNear = member.dataCentre == database.dataCentre;
        const bool isStrong = member.capacity * strongCapacityDivisor >= strongest;
        return std::tuple(isNear, isStrong, Core::rankOf(member.node, database.id.view()));
    };
    std::vector<std::size_t> order(members_.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    const std::size_t count = std::min(order.size(), maximumCandidates);
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(count),
                              std::greater<>(), key);
    order.resize(count);
    return order;
}

const std::vector<std::size_t> &PoolerTable::candidatesFor(const DatabaseEntry &database)
{
    auto found = candidates_.find(database.id);
    if (found == candidates_.end())
        found = candidates_.emplace(database.id, rank(database)).first;
    return found->second;
}

const PoolerCandidate *PoolerTable::firstUsable(const DatabaseEntry &database, Core::Instant now)
{
    for (const std::size_t index : candidatesFor(database)) {
        const PoolerCandidate &member = members_[index];
        if (member.node == self_ || isUsableFor(database.id, member.node, now))
            return &member;
    }
    return nullptr;
}

bool PoolerTable::isUsableFor(const Core::DatabaseName &database, const Core::NodeName &node,
                              Core::Instant now) const
{
    const auto state = links_.find(node);
    if (state != links_.end() && !state->second.isUsable(now))
        return false;
    const auto refused = refusedUntil_.find({database, node});
    return refused == refusedUntil_.end() || now >= refused->second;
}

const PoolerCandidate *PoolerTable::untriedFirstCandidate(const DatabaseEntry &database)
{
    const auto &ranked = candidatesFor(database);
    if (ranked.empty() || members_[ranked.front()].node == self_)
        return nullptr;
    const PoolerCandidate &member = members_[ranked.front()];
    const auto state = links_.find(member.node);
    const bool isUnknown = state == links_.end()
        || (state->second.link == Link::Closed && state->second.failures == 0);
    return isUnknown ? &member : nullptr;
}

const PoolerCandidate *PoolerTable::choose(const DatabaseEntry &database, Core::Instant now)
{
    const PoolerCandidate *member = firstUsable(database, now);
    return member && member->node != self_ ? member : nullptr;
}

bool PoolerTable::isSelf(const DatabaseEntry &database, Core::Instant now)
{
    const PoolerCandidate *member = firstUsable(database, now);
    return member && member->node == self_;
}

PoolerTable::Link PoolerTable::linkTo(const Core::NodeName &node) const
{
    const auto found = links_.find(node);
    return found == links_.end() ? Link::Closed : found->second.link;
}

bool PoolerTable::isFailing(const Core::NodeName &node) const
{
    const auto found = links_.find(node);
    return found != links_.end() && found->second.failures > 0;
}

void PoolerTable::onLinkOpening(const Core::NodeName &node, Core::Instant now)
{
    LinkState &state = links_[node];
    state.link = Link::Opening;
    state.openingSince = now;
}

void PoolerTable::onLinkOpened(const Core::NodeName &node, Core::Instant now)
{
    LinkState &state = links_[node];
    state.link = Link::Up;
    state.outstanding = 0;
    state.quietSince = now;
    state.pingedAt = Core::Instant();
}

void PoolerTable::onLinkLost(const Core::NodeName &node, Core::Instant now)
{
    LinkState &state = links_[node];
    state.link = Link::Closed;
    state.outstanding = 0;
    state.pingedAt = Core::Instant();
    // The first probe is immediate, since an established connection can stall while new ones
    // work.
    const unsigned doublings = std::min(state.failures, maximumDoublings);
    constexpr std::int64_t once = 1;
    const Core::Duration pause =
        state.failures == 0 ? Core::Duration() : initialProbeInterval * (once << doublings);
    state.probeAt = now + pause;
    ++state.failures;
}

void PoolerTable::onRefused(const Core::NodeName &node, Core::Instant now)
{
    links_[node].avoidUntil = now + poolerBackoff;
}

void PoolerTable::onDatabaseRefused(const Core::NodeName &node, const Core::DatabaseName &database,
                                    Core::Instant now)
{
    std::erase_if(refusedUntil_, [now](const auto &entry) { return now >= entry.second; });
    refusedUntil_[{database, node}] = now + poolerBackoff;
}

void PoolerTable::onStatementSent(const Core::NodeName &node, Core::Instant now)
{
    LinkState &state = links_[node];
    if (state.outstanding++ == 0)
        state.quietSince = now;
}

void PoolerTable::onReceived(const Core::NodeName &node, Core::Instant now)
{
    LinkState &state = links_[node];
    state.quietSince = now;
    state.pingedAt = Core::Instant();
    state.failures = 0;
}

void PoolerTable::onStatementFinished(const Core::NodeName &node)
{
    LinkState &state = links_[node];
    state.outstanding -= std::min(state.outstanding, 1U);
}

PoolerTable::LinkCheck PoolerTable::checkLinks(Core::Instant now)
{
    LinkCheck result;
    for (auto &[node, state] : links_) {
        if (state.link == Link::Closed) {
            const auto member = std::ranges::find(members_, node, &PoolerCandidate::node);
            if (state.failures > 0 && now >= state.probeAt && member != members_.end())
                result.toOpen.push_back(*member);
            continue;
        }
        if (state.link == Link::Opening) {
            if (now >= state.openingSince + linkOpenTimeout)
                result.silent.push_back(node);
            continue;
        }
        // A link that was opened as a probe must answer a ping before the proxy is chosen again.
        const bool isPinged = state.pingedAt != Core::Instant();
        const bool isOwing = state.outstanding > 0 || state.failures > 0;
        const bool isDue = state.failures > 0 || now >= state.quietSince + pingDelay;
        if (isPinged && now >= state.pingedAt + pingTimeout) {
            result.silent.push_back(node);
        } else if (!isPinged && isOwing && isDue) {
            state.pingedAt = now;
            result.toPing.push_back(node);
        }
    }
    return result;
}

Core::Instant PoolerTable::nextLinkCheck() const
{
    Core::Instant next = Core::Instant::never();
    for (const auto &[node, state] : links_) {
        if (state.link == Link::Opening)
            next = std::min(next, state.openingSince + linkOpenTimeout);
        else if (state.link == Link::Up && state.pingedAt != Core::Instant())
            next = std::min(next, state.pingedAt + pingTimeout);
        else if (state.link == Link::Closed && state.failures > 0
                 && std::ranges::find(members_, node, &PoolerCandidate::node) != members_.end())
            next = std::min(next, state.probeAt);
    }
    return next;
}

} // namespace Chervilpin::Sessions
