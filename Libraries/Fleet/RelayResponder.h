#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/ChangeHistory.h>
#include <Fleet/RelayMessages.h>

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace Chervilpin::Fleet {

/// Answers the questions of other proxies of the data centre with what this one learned from the
/// store. Decides when a question is answered and with what; does no I/O.
///
/// A page tells as of when the store confirmed it, so that a lease that rests on it lasts no longer
/// than one given by the store. Nothing is answered with a page while this proxy has lost the
/// store, or when what it knows is older than a healthy feed's knowledge can be, as after a
/// suspension of its VM.
class RelayResponder
{
public:
    using RequestId = std::uint64_t;

    struct Reply
    {
        RequestId requestId = 0;
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
    void listed(ObjectKind, std::span<const StoredObject>, Revision, Core::Instant confirmedAt,
                Core::Instant now);
    void changed(ObjectKind, std::span<const StoredObject>, Revision, Core::Instant confirmedAt,
                 Core::Instant now);

    void ask(RequestId, const RelayQuestion &, Core::Instant now);

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

    struct KindState
    {
        ChangeHistory history;
        Contact contact = Contact::Good;
        std::map<RequestId, Pending> pending;
    };

    [[nodiscard]] KindState &stateOf(ObjectKind);
    [[nodiscard]] bool isStarting(const KindState &) const;
    [[nodiscard]] bool isCurrent(ObjectKind, const KindState &, Core::Instant now) const;
    void refuse(RequestId, RelayOutcome);
    void answerList(RequestId, const Pending &, KindState &, Core::Instant now);
    void answerWatch(RequestId, const Pending &, KindState &, Core::Instant now);
    void sendPage(RequestId, const Pending &, const KindState &);
    void answerPending(ObjectKind, Core::Instant now);

    std::array<KindState, objectKindCount> states_;
    Role role_ = Role::Undecided;
    std::vector<Reply> replies_;
};

} // namespace Chervilpin::Fleet
