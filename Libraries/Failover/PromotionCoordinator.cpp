#include <Core/Verify.h>
#include <Failover/PromotionCoordinator.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::Failover {

namespace {

bool isDue(const std::optional<Core::Instant> &lastSent, Core::Duration interval, Core::Instant now)
{
    return !lastSent || now - *lastSent >= interval;
}

template<typename Body>
bool isOfTerm(const Upstream::RequestBody &request, Core::Term term)
{
    const auto *body = std::get_if<Body>(&request);
    return body != nullptr && body->term == term;
}

void append(PromotionCoordinator::Requests &to, PromotionCoordinator::Requests from)
{
    std::move(from.begin(), from.end(), std::back_inserter(to));
}

} // namespace

Core::ErrorOr<PromotionCoordinator> PromotionCoordinator::create(Plan plan, PromotionPolicy policy,
                                                                 Core::Instant now)
{
    if (plan.term == 0)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "promotion term is 0, must be at least 1");
    if (plan.group.databases.empty())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "group to promote in has no databases");
    return PromotionCoordinator(std::move(plan), policy, now);
}

PromotionCoordinator::PromotionCoordinator(Plan plan, PromotionPolicy policy, Core::Instant now)
    : plan_(std::move(plan))
    , policy_(policy)
    , startedAt_(now)
{
    for (const auto &database : plan_.group.databases)
        members_.push_back(Member{.database = database});
}

PromotionCoordinator::Requests PromotionCoordinator::answered(const Core::DatabaseName &database,
                                                              const Upstream::RequestBody &request,
                                                              const Upstream::Answer &answer,
                                                              Core::Instant now)
{
    Member *member = find(database);
    if (member == nullptr)
        return {};
    highestTermSeen_ = std::max(highestTermSeen_, answer.status.knownTerm);
    if (answer.status.knownTerm > plan_.term) {
        state_ = State::Superseded;
        return {};
    }
    // An answer to a request of an earlier promotion does not apply to this term.
    if (isOfTerm<Upstream::Fence>(request, plan_.term))
        recordFence(*member, answer, now);
    if (isOfTerm<Upstream::Promote>(request, plan_.term))
        return handlePromotionAnswer(database, answer, now);
    if (isOfTerm<Upstream::Follow>(request, plan_.term))
        member->follows = member->follows || answer.verdict == Upstream::Verdict::Done;
    return chooseIfReady(now);
}

PromotionCoordinator::Requests PromotionCoordinator::tick(Core::Instant now)
{
    checkDeadlines(now);
    Requests requests = chooseIfReady(now);
    if (state_ == State::Fencing)
        append(requests, sendFences(now));
    if (state_ == State::Promoting)
        append(requests, sendPromotion(now));
    if (state_ == State::Promoted)
        append(requests, sendFollows(now));
    return requests;
}

bool PromotionCoordinator::allReplicasFollow() const
{
    return std::ranges::all_of(members_, [this](const Member &member) {
        return member.follows || member.database.name == chosen_;
    });
}

PromotionCoordinator::Member *PromotionCoordinator::find(const Core::DatabaseName &database)
{
    auto found = std::ranges::find_if(
        members_, [&](const Member &member) { return member.database.name == database; });
    return found == members_.end() ? nullptr : &*found;
}

void PromotionCoordinator::recordFence(Member &member, const Upstream::Answer &answer,
                                       Core::Instant now)
{
    if (answer.verdict != Upstream::Verdict::Done || state_ != State::Fencing)
        return;
    // The mark is final: a fenced database accepts no more entries of lower terms.
    if (!member.fencedMark)
        member.fencedMark = answer.status.held;
    if (!fencedAt_ && fencedCount() >= requiredFenceCount())
        fencedAt_ = now;
}

PromotionCoordinator::Requests
PromotionCoordinator::handlePromotionAnswer(const Core::DatabaseName &database,
                                            const Upstream::Answer &answer, Core::Instant now)
{
    if (state_ != State::Promoting || database != chosen_)
        return {};
    if (answer.verdict != Upstream::Verdict::Done) {
        // The database lost the fence, and so perhaps part of its log. Another choice needs a new
        // term.
        state_ = State::GivenUp;
        return {};
    }
    state_ = State::Promoted;
    promotedAt_ = now;
    for (auto &member : members_)
        member.lastSent.reset();
    return sendFollows(now);
}

std::size_t PromotionCoordinator::fencedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        members_, [](const Member &member) { return member.fencedMark.has_value(); }));
}

std::size_t PromotionCoordinator::requiredFenceCount() const
{
    return policy_.requireFencedMajority == Guard::On ? majorityOf(members_.size()) : 1;
}

bool PromotionCoordinator::canChoose(Core::Instant now) const
{
    if (fencedCount() < requiredFenceCount())
        return false;
    if (plan_.preferred.isEmpty() || fencedCount() == members_.size())
        return true;
    const bool hasPreferred = std::ranges::any_of(members_, [this](const Member &member) {
        return member.fencedMark && member.database.name == plan_.preferred;
    });
    return hasPreferred || now - *fencedAt_ >= policy_.preferredDatabaseWait;
}

const PromotionCoordinator::Member *PromotionCoordinator::mostCompleteMember() const
{
    const Member *best = nullptr;
    for (const auto &member : members_) {
        if (!member.fencedMark)
            continue;
        const bool isMoreComplete = best != nullptr && *member.fencedMark > *best->fencedMark;
        const bool isTiedAndPreferred = best != nullptr && *member.fencedMark == *best->fencedMark
            && member.database.name == plan_.preferred;
        if (best == nullptr || isTiedAndPreferred
            || (isMoreComplete && policy_.chooseHighestMark == Guard::On))
            best = &member;
    }
    return best;
}

PromotionCoordinator::Requests PromotionCoordinator::chooseIfReady(Core::Instant now)
{
    if (state_ == State::Fencing && canChoose(now))
        return choosePrimary(now);
    return {};
}

PromotionCoordinator::Requests PromotionCoordinator::choosePrimary(Core::Instant now)
{
    const Member *best = mostCompleteMember();
    VERIFY(best != nullptr);
    // Invariant: one term promotes one database. The promotion may have succeeded although its
    // answer was lost, so a second choice under the same term could create two primaries of one
    // term.
    VERIFY(chosen_.isEmpty() || policy_.oneChoicePerTerm == Guard::Off);
    chosen_ = best->database.name;
    chosenAt_ = now;
    state_ = State::Promoting;
    for (auto &member : members_)
        member.lastSent.reset();
    return sendPromotion(now);
}

void PromotionCoordinator::checkDeadlines(Core::Instant now)
{
    if (state_ == State::Fencing && now - startedAt_ >= policy_.fenceTimeout)
        state_ = State::GivenUp;
    if (state_ != State::Promoting || now - *chosenAt_ < policy_.promoteTimeout)
        return;
    if (policy_.oneChoicePerTerm == Guard::On) {
        state_ = State::GivenUp;
        return;
    }
    find(chosen_)->fencedMark.reset();
    state_ = State::Fencing;
}

PromotionCoordinator::Requests PromotionCoordinator::sendFences(Core::Instant now)
{
    Requests requests;
    for (auto &member : members_) {
        if (member.fencedMark || !isDue(member.lastSent, policy_.retryInterval, now))
            continue;
        member.lastSent = now;
        requests.push_back({member.database.name, Upstream::Fence{.term = plan_.term}});
    }
    return requests;
}

PromotionCoordinator::Requests PromotionCoordinator::sendPromotion(Core::Instant now)
{
    Member *member = find(chosen_);
    if (!isDue(member->lastSent, policy_.retryInterval, now))
        return {};
    member->lastSent = now;
    return {{chosen_, Upstream::Promote{.term = plan_.term}}};
}

PromotionCoordinator::Requests PromotionCoordinator::sendFollows(Core::Instant now)
{
    Requests requests;
    for (auto &member : members_) {
        if (member.follows || member.database.name == chosen_
            || !isDue(member.lastSent, policy_.followRetryInterval, now))
            continue;
        member.lastSent = now;
        requests.push_back({member.database.name,
                            Upstream::Follow{.term = plan_.term,
                                             .primary = chosen_,
                                             .primaryAddress = find(chosen_)->database.address}});
    }
    return requests;
}

} // namespace Chervilpin::Failover
