#include <Fleet/RelayResponder.h>

#include <Fleet/RelayTiming.h>

#include <algorithm>

namespace Chervilpin::Fleet {

namespace {
/// Maximum number of requests that are held back per kind of object. A data centre of the target
/// size has 200 proxies and two feeds.
constexpr std::size_t maximumPending = 1'000;
} // namespace

RelayResponder::KindState &RelayResponder::stateOf(ObjectKind kind)
{
    return states_.at(static_cast<std::size_t>(kind));
}

bool RelayResponder::isCurrent(ObjectKind kind, const KindState &state, Core::Instant now) const
{
    return role_ == Role::Feed && state.contact == Contact::Good && state.history.isInitialised()
        && now <= state.history.confirmedAt() + maximumConfirmationAge(kind);
}

bool RelayResponder::isStarting(const KindState &state) const
{
    return !state.history.isInitialised() && state.contact == Contact::Good;
}

void RelayResponder::setRole(Role role)
{
    if (role_ == role)
        return;
    role_ = role;
    if (role != Role::Other)
        return;
    for (auto &state : states_) {
        for (const auto &[requestId, pending] : state.pending)
            refuse(requestId, RelayOutcome::NotAFeed);
        state.pending.clear();
    }
}

void RelayResponder::setContact(ObjectKind kind, Contact contact, Core::Instant now)
{
    KindState &state = stateOf(kind);
    state.contact = contact;
    if (contact == Contact::Good) {
        answerPending(kind, now);
        return;
    }
    for (const auto &[requestId, pending] : state.pending)
        refuse(requestId, RelayOutcome::StoreLost);
    state.pending.clear();
}

void RelayResponder::listed(ObjectKind kind, std::span<const StoredObject> objects,
                            Revision revision, Core::Instant confirmedAt, Core::Instant now)
{
    stateOf(kind).history.replace(objects, revision, confirmedAt);
    answerPending(kind, now);
}

void RelayResponder::changed(ObjectKind kind, std::span<const StoredObject> objects,
                             Revision revision, Core::Instant confirmedAt, Core::Instant now)
{
    stateOf(kind).history.apply(objects, revision, confirmedAt);
    answerPending(kind, now);
}

void RelayResponder::ask(RequestId requestId, const RelayQuestion &question, Core::Instant now)
{
    KindState &state = stateOf(question.kind);
    if (role_ == Role::Other || state.pending.size() >= maximumPending) {
        refuse(requestId, RelayOutcome::NotAFeed);
        return;
    }
    const Pending pending{question, now,
                          now + std::min(question.wait, relayHoldTimeout(question.kind))};
    if (question.form == RelayQuestion::Form::List)
        answerList(requestId, pending, state, now);
    else
        answerWatch(requestId, pending, state, now);
}

void RelayResponder::answerList(RequestId requestId, const Pending &pending, KindState &state,
                                Core::Instant now)
{
    const RelayQuestion &question = pending.question;
    if (isCurrent(question.kind, state, now) && state.history.revision() >= question.since)
        sendPage(requestId, pending, state);
    else if (isStarting(state))
        state.pending.emplace(requestId, pending);
    else
        // A proxy that lists has no state yet, so it should ask another source at once.
        refuse(requestId, RelayOutcome::StoreLost);
}

void RelayResponder::answerWatch(RequestId requestId, const Pending &pending, KindState &state,
                                 Core::Instant now)
{
    const RelayQuestion &question = pending.question;
    const bool isServed = isCurrent(question.kind, state, now);
    // A feed that can't answer says so at once, since the proxy may still reach the store itself.
    if (!isServed && !isStarting(state))
        refuse(requestId, RelayOutcome::StoreLost);
    else if (isServed && !state.history.covers(question.since))
        refuse(requestId, RelayOutcome::HistoryGone);
    else if (isServed && !state.history.changesSince(question.since).empty())
        sendPage(requestId, pending, state);
    else
        state.pending.emplace(requestId, pending);
}

void RelayResponder::refuse(RequestId requestId, RelayOutcome outcome)
{
    RelayAnswer answer;
    answer.outcome = outcome;
    replies_.push_back({requestId, std::move(answer)});
}

void RelayResponder::sendPage(RequestId requestId, const Pending &pending, KindState &state)
{
    const RelayQuestion &question = pending.question;
    const bool isList = question.form == RelayQuestion::Form::List;
    RelayAnswer answer;
    answer.outcome = RelayOutcome::Page;
    auto objects =
        isList ? state.history.liveObjects() : state.history.changesSince(question.since);
    for (auto &object : objects) {
        RelayedObject relayed{std::move(object), nullptr};
        if (!isList && question.acceptsDeltas)
            relayed.delta = state.history.deltaSince(relayed, question.since);
        if (relayed.delta)
            relayed.text.clear();
        answer.objects.push_back(std::move(relayed));
    }
    answer.revision = state.history.revision();
    answer.confirmed = state.history.confirmedAt() - pending.askedAt;
    replies_.push_back({requestId, std::move(answer)});
}

void RelayResponder::answerPending(ObjectKind kind, Core::Instant now)
{
    KindState &state = stateOf(kind);
    if (!isCurrent(kind, state, now))
        return;
    std::erase_if(state.pending, [&](const auto &entry) {
        const auto &[requestId, pending] = entry;
        if (state.history.revision() < pending.question.since)
            return false;
        const bool isList = pending.question.form == RelayQuestion::Form::List;
        if (isList || state.history.covers(pending.question.since))
            sendPage(requestId, pending, state);
        else
            refuse(requestId, RelayOutcome::HistoryGone);
        return true;
    });
}

Core::Instant RelayResponder::nextDeadline() const
{
    Core::Instant next = Core::Instant::never();
    for (const auto &state : states_) {
        for (const auto &[requestId, pending] : state.pending)
            next = std::min(next, pending.dueAt);
    }
    return next;
}

void RelayResponder::advance(Core::Instant now)
{
    for (std::size_t i = 0; i < states_.size(); ++i) {
        const auto kind = static_cast<ObjectKind>(i);
        KindState &state = states_.at(i);
        std::erase_if(state.pending, [&](const auto &entry) {
            const auto &[requestId, pending] = entry;
            if (now < pending.dueAt)
                return false;
            if (isCurrent(kind, state, now) && state.history.revision() >= pending.question.since)
                sendPage(requestId, pending, state);
            else
                refuse(requestId, RelayOutcome::StoreLost);
            return true;
        });
    }
}

std::vector<RelayResponder::Reply> RelayResponder::takeReplies()
{
    return std::exchange(replies_, {});
}

} // namespace Chervilpin::Fleet
