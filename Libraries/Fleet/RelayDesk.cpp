#include <Fleet/RelayDesk.h>

#include <Fleet/RelayTiming.h>

#include <algorithm>

namespace Chervilpin::Fleet {

namespace {
/// Questions that are held back for one kind. A data centre of the stated target has 200 proxies
/// and two feeds.
constexpr std::size_t maximumPending = 1'000;
} // namespace

RelayDesk::Room &RelayDesk::roomOf(ObjectKind kind)
{
    return rooms_.at(static_cast<std::size_t>(kind));
}

bool RelayDesk::isCurrent(ObjectKind kind, const Room &room, Core::Instant now) const
{
    return role_ == Role::Feed && room.contact == Contact::Good && room.log.isFilled()
        && now <= room.log.confirmedAt() + longestAge(kind);
}

bool RelayDesk::isStarting(const Room &room) const
{
    return !room.log.isFilled() && room.contact == Contact::Good;
}

void RelayDesk::setRole(Role role)
{
    if (role_ == role)
        return;
    role_ = role;
    if (role != Role::Other)
        return;
    for (auto &room : rooms_) {
        for (const auto &[ticket, pending] : room.pending)
            refuse(ticket, RelayOutcome::NotAFeed);
        room.pending.clear();
    }
}

void RelayDesk::setContact(ObjectKind kind, Contact contact, Core::Instant now)
{
    Room &room = roomOf(kind);
    room.contact = contact;
    if (contact == Contact::Good) {
        answerPending(kind, now);
        return;
    }
    for (const auto &[ticket, pending] : room.pending)
        refuse(ticket, RelayOutcome::StoreLost);
    room.pending.clear();
}

void RelayDesk::listed(ObjectKind kind, std::span<const StoredText> objects, Revision revision,
                       Core::Instant confirmedAt, Core::Instant now)
{
    roomOf(kind).log.replace(objects, revision, confirmedAt);
    answerPending(kind, now);
}

void RelayDesk::changed(ObjectKind kind, std::span<const StoredText> objects, Revision revision,
                        Core::Instant confirmedAt, Core::Instant now)
{
    roomOf(kind).log.apply(objects, revision, confirmedAt);
    answerPending(kind, now);
}

void RelayDesk::ask(Ticket ticket, const RelayQuestion &question, Core::Instant now)
{
    Room &room = roomOf(question.kind);
    if (role_ == Role::Other || room.pending.size() >= maximumPending) {
        refuse(ticket, RelayOutcome::NotAFeed);
        return;
    }
    const Pending pending{question, now, now + std::min(question.wait, relayWait(question.kind))};
    if (question.form == RelayQuestion::Form::List)
        takeList(ticket, pending, room, now);
    else
        takeWatch(ticket, pending, room, now);
}

void RelayDesk::takeList(Ticket ticket, const Pending &pending, Room &room, Core::Instant now)
{
    const RelayQuestion &question = pending.question;
    if (isCurrent(question.kind, room, now) && room.log.revision() >= question.since)
        give(ticket, pending, room);
    else if (isStarting(room))
        room.pending.emplace(ticket, pending);
    else
        // Who lists has nothing to work with, and does better to ask elsewhere at once.
        refuse(ticket, RelayOutcome::StoreLost);
}

void RelayDesk::takeWatch(Ticket ticket, const Pending &pending, Room &room, Core::Instant now)
{
    const RelayQuestion &question = pending.question;
    const bool isServed = isCurrent(question.kind, room, now);
    // A feed that can't serve says so at once: the store may serve the asker all the same.
    if (!isServed && !isStarting(room))
        refuse(ticket, RelayOutcome::StoreLost);
    else if (isServed && !room.log.reaches(question.since))
        refuse(ticket, RelayOutcome::HistoryGone);
    else if (isServed && !room.log.changesSince(question.since).empty())
        give(ticket, pending, room);
    else
        room.pending.emplace(ticket, pending);
}

void RelayDesk::refuse(Ticket ticket, RelayOutcome outcome)
{
    RelayAnswer answer;
    answer.outcome = outcome;
    replies_.push_back({ticket, std::move(answer)});
}

void RelayDesk::give(Ticket ticket, const Pending &pending, const Room &room)
{
    RelayAnswer answer;
    answer.outcome = RelayOutcome::Page;
    answer.objects = pending.question.form == RelayQuestion::Form::List
        ? room.log.all()
        : room.log.changesSince(pending.question.since);
    answer.revision = room.log.revision();
    answer.confirmed = room.log.confirmedAt() - pending.askedAt;
    replies_.push_back({ticket, std::move(answer)});
}

void RelayDesk::answerPending(ObjectKind kind, Core::Instant now)
{
    Room &room = roomOf(kind);
    if (!isCurrent(kind, room, now))
        return;
    std::erase_if(room.pending, [&](const auto &entry) {
        const auto &[ticket, pending] = entry;
        if (room.log.revision() < pending.question.since)
            return false;
        const bool isList = pending.question.form == RelayQuestion::Form::List;
        if (isList || room.log.reaches(pending.question.since))
            give(ticket, pending, room);
        else
            refuse(ticket, RelayOutcome::HistoryGone);
        return true;
    });
}

Core::Instant RelayDesk::nextDeadline() const
{
    Core::Instant next = Core::Instant::never();
    for (const auto &room : rooms_) {
        for (const auto &[ticket, pending] : room.pending)
            next = std::min(next, pending.dueAt);
    }
    return next;
}

void RelayDesk::advance(Core::Instant now)
{
    for (std::size_t i = 0; i < rooms_.size(); ++i) {
        const auto kind = static_cast<ObjectKind>(i);
        Room &room = rooms_.at(i);
        std::erase_if(room.pending, [&](const auto &entry) {
            const auto &[ticket, pending] = entry;
            if (now < pending.dueAt)
                return false;
            if (isCurrent(kind, room, now) && room.log.revision() >= pending.question.since)
                give(ticket, pending, room);
            else
                refuse(ticket, RelayOutcome::StoreLost);
            return true;
        });
    }
}

std::vector<RelayDesk::Reply> RelayDesk::takeReplies()
{
    return std::exchange(replies_, {});
}

} // namespace Chervilpin::Fleet
