#include <Configuration/Proposer.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::Configuration {

namespace {

constexpr std::size_t maxWaitingProposals = 64;

ProposalAnswer plainAnswer(ProposalId id, ProposalOutcome outcome, Revision revision,
                           std::string message)
{
    return {id, outcome, revision, {}, "", std::move(message)};
}

} // namespace

Proposer::Proposer(const Settings &settings, ChangeLog &log, CallIds &ids)
    : settings_(settings)
    , log_(log)
    , ids_(ids)
    , pending_(ids)
{ }

void Proposer::propose(Proposal proposal, Core::Instant now, Actions &actions)
{
    if (jobs_.size() >= maxWaitingProposals) {
        actions.emplace_back(plainAnswer(proposal.id, ProposalOutcome::Unavailable, log_.revision(),
                                         "too many changes wait already"));
        return;
    }
    jobs_.push_back({std::move(proposal), now + settings_.proposalDeadline});
    if (jobs_.size() == 1)
        begin(now, actions);
}

void Proposer::begin(Core::Instant now, Actions &actions)
{
    created_ = 0;
    mayHaveTakenEffect_ = false;
    winner_.clear();
    attempt(now, actions);
}

void Proposer::tick(Core::Instant now, Actions &actions)
{
    if (jobs_.empty())
        return;
    if (now >= jobs_.front().deadline) {
        expire(now, actions);
        return;
    }
    if (pending_.expire(now))
        handleNoAnswer({false, "no reply in time"}, now, actions);
    const bool isDue = step_ == Step::Pausing && now >= resumeAt_;
    if (!isDue)
        return;
    // Once the log has come to that number, it tells whose change it is.
    const bool mustAskAgain = mayHaveTakenEffect_ && log_.revision() < created_;
    if (mustAskAgain)
        create(now, actions);
    else
        attempt(now, actions);
}

bool Proposer::reply(const Platform::Reply &reply, Core::Instant now, Actions &actions)
{
    if (!pending_.accept(reply))
        return false;
    handle(reply.body, now, actions);
    return true;
}

bool Proposer::takeNeedsCatchUp()
{
    return std::exchange(needsCatchUp_, false);
}

void Proposer::handle(const Platform::ReplyBody &body, Core::Instant now, Actions &actions)
{
    if (const auto *failure = std::get_if<Platform::NoAnswer>(&body)) {
        handleNoAnswer(*failure, now, actions);
        return;
    }
    handleCreated(body, now, actions);
}

void Proposer::attempt(Core::Instant now, Actions &actions)
{
    const Proposal &proposal = jobs_.front().proposal;
    const Snapshot &snapshot = *log_.snapshot();
    const auto known = snapshot.findNonce(proposal.nonce);
    if (known && settings_.guards.recognisesNonces) {
        accept(*known, now, actions);
        return;
    }
    ProposalAnswer check = checkProposal(proposal, snapshot, settings_.capacity, settings_.guards);
    if (check.outcome != ProposalOutcome::Accepted) {
        check.winner = winner_;
        finish(std::move(check), now, actions);
        return;
    }
    if (changesNothing(proposal, snapshot)) {
        finish(plainAnswer(proposal.id, ProposalOutcome::Accepted, snapshot.revision(),
                           "nothing to change"),
               now, actions);
        return;
    }
    mayHaveTakenEffect_ = false;
    text_ = encodeChange(changeFor(proposal, snapshot));
    created_ = snapshot.revision() + 1;
    create(now, actions);
}

void Proposer::create(Core::Instant now, Actions &actions)
{
    step_ = Step::Creating;
    pending_.start(Platform::Put{changeKey(created_), text_, 0}, now + settings_.callTimeout,
                   actions);
}

void Proposer::handleCreated(const Platform::ReplyBody &body, Core::Instant now, Actions &actions)
{
    if (const auto *conflict = std::get_if<Platform::VersionConflict>(&body)) {
        takeWinner(conflict->current, now, actions);
        return;
    }
    if (!std::holds_alternative<Platform::Objects>(body)) {
        pause(now);
        return;
    }
    accept(created_, now, actions);
}

void Proposer::takeWinner(const Platform::Object &object, Core::Instant now, Actions &actions)
{
    if (object.value == text_ && settings_.guards.recognisesNonces) {
        // An earlier attempt of this very change had taken effect.
        accept(created_, now, actions);
        return;
    }
    if (object.value == tombstone) {
        needsCatchUp_ = true;
        pause(now);
        return;
    }
    // The number is somebody else's, so this change can no longer get it.
    mayHaveTakenEffect_ = false;
    if (const auto winner = decodeChange(object.value))
        winner_ = winner->change.author;
    const AppendResult result = log_.append(object.value);
    if (result == AppendResult::Applied || result == AppendResult::AlreadyHeld)
        attempt(now, actions);
    else
        pause(now);
}

void Proposer::handleNoAnswer(const Platform::NoAnswer &failure, Core::Instant now,
                              Actions &actions)
{
    actions.emplace_back(Event{EventKind::PlatformUnavailable, log_.revision(), failure.message});
    if (step_ == Step::Creating && !failure.isRefused)
        mayHaveTakenEffect_ = true;
    pause(now);
}

void Proposer::pause(Core::Instant now)
{
    step_ = Step::Pausing;
    resumeAt_ = now + settings_.retryPause;
}

void Proposer::expire(Core::Instant now, Actions &actions)
{
    const Proposal &proposal = jobs_.front().proposal;
    // The log may have come to hold it by another way, such as a peer.
    const auto known = log_.snapshot()->findNonce(proposal.nonce);
    const bool isKnown = known && settings_.guards.recognisesNonces;
    const bool isUncertain =
        step_ == Step::Creating || (mayHaveTakenEffect_ && log_.revision() < created_);
    if (isKnown) {
        accept(*known, now, actions);
    } else if (isUncertain) {
        finish(plainAnswer(proposal.id, ProposalOutcome::Unknown, log_.revision(),
                           "the platform gave no answer; ask again with the same nonce"),
               now, actions);
    } else {
        finish(plainAnswer(proposal.id, ProposalOutcome::Unavailable, log_.revision(),
                           "the platform can't be reached; nothing was changed"),
               now, actions);
    }
}

void Proposer::accept(Revision revision, Core::Instant now, Actions &actions)
{
    if (revision == log_.revision() + 1)
        log_.append(text_);
    finish(plainAnswer(jobs_.front().proposal.id, ProposalOutcome::Accepted, revision, ""), now,
           actions);
}

void Proposer::finish(ProposalAnswer answer, Core::Instant now, Actions &actions)
{
    actions.emplace_back(std::move(answer));
    jobs_.pop_front();
    step_ = Step::Idle;
    pending_ = PendingCall(ids_);
    if (!jobs_.empty())
        begin(now, actions);
}

} // namespace Chervilpin::Configuration
