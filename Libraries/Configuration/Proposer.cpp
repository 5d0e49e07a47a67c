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
    readHead(Step::CheckingHead, now, actions);
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
    if (mayHaveTakenEffect_)
        create(now, actions);
    else
        readHead(Step::CheckingHead, now, actions);
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
    if (step_ == Step::Creating)
        handleCreated(body, now, actions);
    else
        handleHead(body, now, actions);
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

void Proposer::readHead(Step step, Core::Instant now, Actions &actions)
{
    step_ = step;
    pending_.start(Platform::Get{std::string(headKey)}, now + settings_.callTimeout, actions);
}

void Proposer::handleHead(const Platform::ReplyBody &body, Core::Instant now, Actions &actions)
{
    Head head;
    const auto *objects = std::get_if<Platform::Objects>(&body);
    if (objects != nullptr && objects->objects.size() == 1)
        head = decodeHead(objects->objects.front().value).value_or(Head());
    if (step_ == Step::Confirming) {
        if (isInLog(head))
            accept(created_, now, actions);
        else
            undoStaleCreation(now, actions);
        return;
    }
    if (head.revision <= log_.revision()) {
        attempt(now, actions);
        return;
    }
    needsCatchUp_ = true;
    pause(now);
}

/// Whether the creation is part of the log that everybody follows.
bool Proposer::isInLog(const Head &head) const
{
    if (log_.revision() >= created_)
        return log_.snapshot()->findNonce(jobs_.front().proposal.nonce) == created_;
    return head.revision < created_;
}

void Proposer::handleCreated(const Platform::ReplyBody &body, Core::Instant now, Actions &actions)
{
    if (const auto *conflict = std::get_if<Platform::VersionConflict>(&body)) {
        takeWinner(conflict->current, now, actions);
        return;
    }
    const auto *objects = std::get_if<Platform::Objects>(&body);
    if (objects == nullptr) {
        pause(now);
        return;
    }
    createdVersion_ = objects->objects.empty() ? 1 : objects->objects.front().version;
    if (settings_.guards.checksHeadAfterPut)
        readHead(Step::Confirming, now, actions);
    else
        accept(created_, now, actions);
}

void Proposer::takeWinner(const Platform::Object &object, Core::Instant now, Actions &actions)
{
    if (object.value == text_ && settings_.guards.recognisesNonces) {
        // An earlier attempt of this very change had taken effect.
        createdVersion_ = object.version;
        mayHaveTakenEffect_ = true;
        readHead(Step::Confirming, now, actions);
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

/// The change was created under a number whose holder had been deleted as old. Readers that are up
/// to date never see it; those that aren't must not.
void Proposer::undoStaleCreation(Core::Instant now, Actions &actions)
{
    actions.emplace_back(
        Platform::Call{ids_.next(), Platform::Delete{changeKey(created_), createdVersion_}});
    mayHaveTakenEffect_ = false;
    needsCatchUp_ = true;
    pause(now);
}

void Proposer::handleNoAnswer(const Platform::NoAnswer &failure, Core::Instant now,
                              Actions &actions)
{
    actions.emplace_back(Event{EventKind::PlatformUnavailable, log_.revision(), failure.message});
    if (step_ == Step::Creating && !failure.isRefused)
        mayHaveTakenEffect_ = true;
    if (step_ == Step::Confirming)
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
    const bool isUncertain = mayHaveTakenEffect_ || step_ == Step::Creating;
    if (isKnown) {
        accept(*known, now, actions);
    } else if (isUncertain || step_ == Step::Confirming) {
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
