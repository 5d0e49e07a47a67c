#include <Rates/RateDesk.h>

#include <Rates/Timing.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chervilpin::Rates {

namespace {

/// The part of a rate that is split evenly over the proxies, for teams where that is worth having.
/// It goes on while the owner is out of reach, and spares most asks in a small fleet.
constexpr double evenlySplit = 0.5;
/// An even part with a smaller burst than this would hardly ever admit anything.
constexpr double leastEvenBurst = 1.0;
/// Beyond a team's limit the users accept a tenth, and 20 operations in 5 s.
constexpr double acceptedExcess = 0.1;
constexpr double acceptedPerSecond = 4.0;
/// All stand-ins together use up this much of what is accepted in any case. The rest is for what
/// they start before they notice a surge.
constexpr double standInPart = 0.3;

/// A caller waits for so many answers at the most; then this proxy decides alone.
constexpr unsigned mostUnanswered = 2;

} // namespace

RateDesk::RateDesk(Member self)
    : self_(std::move(self))
    , owners_(self_.dataCentre)
{
    owners_.setMembers({self_});
}

double RateDesk::evenFraction(const Sessions::TeamLimits &limits) const
{
    const double burst = limits.burst * evenlySplit / static_cast<double>(proxies_);
    return burst >= leastEvenBurst ? evenlySplit : 0;
}

Sessions::TeamLimits RateDesk::standInLimits(const Sessions::TeamLimits &limits) const
{
    const auto dataCentres =
        static_cast<double>(std::max<std::size_t>(owners_.dataCentreCount(), 1));
    const double accepted = limits.ratePerSecond * acceptedExcess + acceptedPerSecond;
    const double perSecond = std::min(limits.ratePerSecond, accepted * standInPart) / dataCentres;
    return {perSecond, std::max(1.0, std::min(limits.burst, perSecond))};
}

void RateDesk::applyParts(const Core::TeamName &team, Account &account, Core::Instant now)
{
    const double even = evenFraction(account.limits);
    account.evenPart.setShare(even / static_cast<double>(proxies_), now);
    account.evenPart.setLimits(account.limits, now);
    if (const auto owned = owned_.find(team); owned != owned_.end()) {
        owned->second.bucket.setShare(1 - even, now);
        owned->second.bucket.setLimits(account.limits, now);
    }
    if (pools_.contains(team) && isDesignatedStandIn(team))
        pools_.at(team).setBase(standInLimits(account.limits), now);
}

void RateDesk::setLimits(const std::map<Core::TeamName, Sessions::TeamLimits> &limits,
                         Core::Instant now)
{
    for (const auto &[team, limit] : limits) {
        Account &account = accounts_[team];
        account.limits = limit;
        applyParts(team, account, now);
    }
    for (auto &[team, account] : accounts_) {
        if (!limits.contains(team))
            refuse(account, account.waiting.size(), removedTeamRetry, "the team is gone");
    }
    const auto isGone = [&](const auto &entry) {
        return !limits.contains(entry.first);
    };
    std::erase_if(accounts_, isGone);
    std::erase_if(owned_, isGone);
    std::erase_if(pools_, isGone);
    std::erase_if(asking_, [&](const auto &team) { return !limits.contains(team); });
    std::erase_if(returning_, [&](const auto &team) { return !limits.contains(team); });
}

void RateDesk::setMembers(std::vector<Member> members, std::size_t proxies, Core::Instant now)
{
    proxies_ = std::max<std::size_t>(proxies, 1);
    if (members != owners_.members()) {
        owners_.setMembers(std::move(members));
        membersSince_ = now;
        std::erase_if(owned_,
                      [&](const auto &entry) { return !hasRole(entry.first, Role::Owner); });
        std::erase_if(silences_, [&](const auto &entry) { return !owners_.isMember(entry.first); });
    }
    for (auto &[team, account] : accounts_)
        applyParts(team, account, now);
}

bool RateDesk::hasRole(const Core::TeamName &team, Role role)
{
    // Any proxy may be taken for a stand-in by one that knows other members; its part is small.
    if (role == Role::StandIn)
        return true;
    const auto &owner = owners_.ownersOf(team).owner;
    return contact_ == Contact::Good && owner && owner->node == self_.node;
}

RateDesk::Owned &RateDesk::ownedOf(const Core::TeamName &team, Account &account, Core::Instant now)
{
    const auto found = owned_.find(team);
    if (found != owned_.end())
        return found->second;
    Owned &owned = owned_[team];
    applyParts(team, account, now);
    // The owner before may have spent the burst, so only what came in since then is there.
    owned.bucket.startWith(1 + owned.bucket.ratePerSecond() * (now - membersSince_).seconds());
    return owned;
}

bool RateDesk::isDesignatedStandIn(const Core::TeamName &team)
{
    const auto &standIns = owners_.ownersOf(team).standIns;
    return !standIns.empty() && standIns.front().node == self_.node;
}

StandInPool &RateDesk::poolOf(const Core::TeamName &team, Account &account, Core::Instant now)
{
    const auto found = pools_.find(team);
    if (found != pools_.end())
        return found->second;
    StandInPool &pool = pools_[team];
    applyParts(team, account, now);
    return pool;
}

Grant RateDesk::asked(const Ask &ask, Core::Instant now)
{
    Grant grant;
    grant.id = ask.id;
    grant.team = ask.team;
    grant.from = self_.node;
    const auto account = accounts_.find(ask.team);
    grant.isOwner = account != accounts_.end() && hasRole(ask.team, ask.role);
    if (!grant.isOwner)
        return grant;
    if (ask.role == Role::Owner) {
        grantAsOwner(ask, ownedOf(ask.team, account->second, now), grant, now);
        return grant;
    }
    StandInPool &pool = poolOf(ask.team, account->second, now);
    grant.operations = pool.take(ask.needed, ask.usualPerSecond, now);
    if (grant.operations < ask.needed)
        grant.retryAfter = pool.waitForNext();
    return grant;
}

void RateDesk::grantAsOwner(const Ask &ask, Owned &owned, Grant &grant, Core::Instant now)
{
    TeamRate &bucket = owned.bucket;
    bucket.putBack(ask.returned);
    while (grant.operations < ask.needed && bucket.take(now))
        ++grant.operations;
    if (grant.operations < ask.needed)
        grant.retryAfter = bucket.waitForNext();
    // Expectations are met from the upper half only, so that they take nothing that others need.
    for (std::uint32_t extra = 0; extra < ask.ahead && bucket.isOverHalfFull(); ++extra) {
        if (!bucket.take(now))
            break;
        ++grant.operations;
    }
    RateMeter &granted =
        owned.granted.try_emplace(owners_.dataCentreOf(ask.replyTo), grantedSpan).first->second;
    granted.note(grant.operations, now);
    grant.usualPerSecond = granted.perSecond(now);
}

void RateDesk::take(const Core::TeamName &team, Ticket ticket, Core::Instant now)
{
    const auto found = accounts_.find(team);
    if (found == accounts_.end() || found->second.limits.ratePerSecond <= 0) {
        decisions_.push_back({ticket, true});
        return;
    }
    found->second.demand.note(1, now);
    found->second.waiting.push_back(ticket);
    serve(team, found->second, now);
}

void RateDesk::giveBack(const Core::TeamName &team, Core::Instant now)
{
    const auto found = accounts_.find(team);
    if (found == accounts_.end() || found->second.limits.ratePerSecond <= 0)
        return;
    Account &account = found->second;
    if (!account.waiting.empty()) {
        decisions_.push_back({account.waiting.front(), true});
        account.waiting.pop_front();
        return;
    }
    // Several are given back together, or with the next ask.
    if (account.returned == 0)
        account.returnBy = now + returnPause;
    ++account.returned;
    returning_.insert(team);
}

bool RateDesk::spend(Account &account, Core::Instant now)
{
    if (now >= account.heldUntil)
        account.held = 0;
    if (account.held > 0) {
        --account.held;
        return true;
    }
    return account.evenPart.share() > 0 && account.evenPart.take(now);
}

std::size_t RateDesk::grantWaiting(Account &account, Core::Instant now)
{
    std::size_t count = 0;
    for (; !account.waiting.empty() && spend(account, now); ++count) {
        decisions_.push_back({account.waiting.front(), true});
        account.waiting.pop_front();
    }
    return count;
}

void RateDesk::serve(const Core::TeamName &team, Account &account, Core::Instant now)
{
    grantWaiting(account, now);
    if (!account.waiting.empty() && !account.outstanding)
        ask(team, account, now);
}

bool RateDesk::isSilent(const Core::NodeName &node, Core::Instant now) const
{
    const auto found = silences_.find(node);
    return found != silences_.end() && now < found->second.until;
}

std::pair<Role, const Member *> RateDesk::chooseAsked(const Core::TeamName &team,
                                                      const Account &account, Core::Instant now)
{
    if (account.unanswered >= mostUnanswered)
        return {Role::StandIn, &self_};
    const Owners &owners = owners_.ownersOf(team);
    if (owners.owner && !isSilent(owners.owner->node, now))
        return {Role::Owner, &*owners.owner};
    for (const auto &standIn : owners.standIns) {
        if (!isSilent(standIn.node, now))
            return {Role::StandIn, &standIn};
    }
    return {Role::StandIn, &self_};
}

void RateDesk::ask(const Core::TeamName &team, Account &account, Core::Instant now)
{
    const auto [role, to] = chooseAsked(team, account, now);
    Ask ask;
    ask.id = nextAsk_++;
    ask.replyTo = self_.address;
    ask.team = team;
    ask.role = role;
    ask.needed = static_cast<std::uint32_t>(account.waiting.size());
    if (role == Role::Owner)
        ask.ahead =
            static_cast<std::uint32_t>(account.demand.perSecond(now) * aheadOfNeed.seconds());
    else if (to->node == self_.node)
        ask.usualPerSecond = account.granted.perSecond(now);
    else
        ask.usualPerSecond = account.usualPerSecond;
    // A stand-in's part is too small to give back to.
    ask.returned = std::exchange(account.returned, 0);
    account.outstanding = Outstanding{ask.id, role, to->node, ask.needed, now};
    asking_.insert(team);
    if (to->node == self_.node)
        granted(asked(ask, now), now);
    else
        asks_.push_back({to->address, std::move(ask)});
}

void RateDesk::granted(const Grant &grant, Core::Instant now)
{
    const auto found = accounts_.find(grant.team);
    if (found == accounts_.end())
        return;
    Account &account = found->second;
    if (!account.outstanding || account.outstanding->id != grant.id)
        return;
    const Outstanding asked = *account.outstanding;
    account.outstanding.reset();
    account.unanswered = 0;
    asking_.erase(grant.team);
    if (!grant.isOwner) {
        avoid(grant.team, asked, wrongOwnerTime, "not_owner", now);
        serve(grant.team, account, now);
        return;
    }
    if (silences_.erase(asked.to) > 0)
        events_.push_back({asked.to, grant.team, asked.role, "answers"});
    if (asked.role == Role::Owner) {
        account.granted.note(grant.operations, now);
        account.usualPerSecond = grant.usualPerSecond;
    }
    account.held = (now < account.heldUntil ? account.held : 0) + grant.operations;
    account.heldUntil = asked.askedAt + grantLifetime;
    const std::size_t lacking =
        asked.needed > grant.operations ? asked.needed - grant.operations : 0;
    const std::size_t served = grantWaiting(account, now);
    const std::size_t unserved = asked.needed > served ? asked.needed - served : 0;
    refuse(account, std::min(lacking, unserved), grant.retryAfter, grant.from.value());
    serve(grant.team, account, now);
}

void RateDesk::avoid(const Core::TeamName &team, const Outstanding &asked, Core::Duration span,
                     const char *what, Core::Instant now)
{
    const auto [silence, isNew] = silences_.try_emplace(asked.to, Silence{now + span, span});
    if (isNew) {
        events_.push_back({asked.to, team, asked.role, what});
        return;
    }
    silence->second.span = std::min(silence->second.span * 2, longestSilence);
    silence->second.until = now + silence->second.span;
}

void RateDesk::refuse(Account &account, std::size_t count, Core::Duration retryAfter,
                      const std::string &decidedBy)
{
    // Those refused together are told to come back one after the other, as the rate allows.
    constexpr double millisecondsPerSecond = 1'000.0;
    const double rate = account.limits.ratePerSecond;
    const Core::Duration gap(
        rate > 0 ? static_cast<std::int64_t>(std::ceil(millisecondsPerSecond / rate)) : 0);
    Core::Duration wait = retryAfter;
    for (std::size_t i = 0; i < count && !account.waiting.empty(); ++i) {
        decisions_.push_back({account.waiting.front(), false, wait, rate, decidedBy});
        account.waiting.pop_front();
        wait = wait + gap;
    }
}

Core::Instant RateDesk::nextDeadline() const
{
    Core::Instant due = Core::Instant::never();
    for (const auto &team : asking_)
        due = std::min(due, accounts_.at(team).outstanding->askedAt + askTime);
    for (const auto &team : returning_)
        due = std::min(due, accounts_.at(team).returnBy);
    return due;
}

void RateDesk::advance(Core::Instant now)
{
    std::vector<Core::TeamName> late;
    for (const auto &team : asking_) {
        if (now >= accounts_.at(team).outstanding->askedAt + askTime)
            late.push_back(team);
    }
    for (const auto &team : late) {
        Account &account = accounts_.at(team);
        avoid(team, *account.outstanding, silentOwnerTime, "silent", now);
        ++account.unanswered;
        account.outstanding.reset();
        asking_.erase(team);
        serve(team, account, now);
    }
    std::vector<Core::TeamName> due;
    for (const auto &team : returning_) {
        if (now >= accounts_.at(team).returnBy)
            due.push_back(team);
    }
    for (const auto &team : due) {
        Account &account = accounts_.at(team);
        returning_.erase(team);
        if (account.returned > 0 && !account.outstanding)
            ask(team, account, now);
    }
}

std::vector<Decision> RateDesk::takeDecisions()
{
    return std::exchange(decisions_, {});
}

std::vector<OwnerEvent> RateDesk::takeEvents()
{
    return std::exchange(events_, {});
}

std::vector<AddressedAsk> RateDesk::takeAsks()
{
    return std::exchange(asks_, {});
}

} // namespace Chervilpin::Rates
