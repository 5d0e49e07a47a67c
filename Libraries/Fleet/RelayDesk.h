#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/RelayLog.h>
#include <Fleet/RelayMessages.h>

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace Chervilpin::Fleet {

/// Answers the questions of other proxies of the data centre with what this one learned from the
/// store. Decides when a question is answered and with what; does no I/O.
///
/// A page tells as of when the store confirmed it, so that a right that rests on it lasts no longer
/// than one given by the store. Nothing is answered with a page while this proxy has lost the
/// store, or when what it knows is older than a healthy feed's knowledge can be, as after a
/// suspension of its VM.
class RelayDesk
{
public:
    using Ticket = std::uint64_t;

    struct Reply
    {
        Ticket ticket = 0;
        RelayAnswer answer;
    };

    enum class Role {
        Undecided, ///< It doesn't know its data centre yet; questions wait for that.
        Feed,
        Other, ///< Follows another proxy, or is stopping; answers no question with a page.
    };

    enum class Contact {
        Good,
        Lost,
    };

    void setRole(Role);
    void setContact(ObjectKind, Contact, Core::Instant now);
    void listed(ObjectKind, std::span<const StoredText>, Revision, Core::Instant confirmedAt,
                Core::Instant now);
    void changed(ObjectKind, std::span<const StoredText>, Revision, Core::Instant confirmedAt,
                 Core::Instant now);

    void ask(Ticket, const RelayQuestion &, Core::Instant now);

    [[nodiscard]] Core::Instant nextDeadline() const;
    /// Answers questions whose wait is over.
    void advance(Core::Instant now);
    [[nodiscard]] std::vector<Reply> takeReplies();

private:
    struct Pending
    {
        RelayQuestion question;
        Core::Instant askedAt;
        Core::Instant dueAt;
    };

    struct Room
    {
        RelayLog log;
        Contact contact = Contact::Good;
        std::map<Ticket, Pending> pending;
    };

    [[nodiscard]] Room &roomOf(ObjectKind);
    [[nodiscard]] bool isStarting(const Room &) const;
    [[nodiscard]] bool isCurrent(ObjectKind, const Room &, Core::Instant now) const;
    void refuse(Ticket, RelayOutcome);
    void takeList(Ticket, const Pending &, Room &, Core::Instant now);
    void takeWatch(Ticket, const Pending &, Room &, Core::Instant now);
    void give(Ticket, const Pending &, const Room &);
    void answerPending(ObjectKind, Core::Instant now);

    std::array<Room, objectKindCount> rooms_;
    Role role_ = Role::Undecided;
    std::vector<Reply> replies_;
};

} // namespace Chervilpin::Fleet
