#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/ChangeHistory.h>
#include <Fleet/RelayMessages.h>

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace Chervilpin::Fleet {

/// Answers list and watch requests of other proxies of the data centre with what this proxy learned
/// from the store. Decides when a request is answered and with what; does no I/O.
///
/// A page carries the time as of which the store confirmed it, so that a lease that is based on it
/// ends no later than one confirmed by the store itself. No request is answered with a page while
/// this proxy has lost the store, or when its state is older than a healthy feed's state can be, as
/// after its VM was suspended.
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
        Undecided, ///< The members of the data centre are not known yet; requests are held.
        Feed,
        Other, ///< Follows another proxy, or is stopping; no request is answered with a page.
    };

    /// Whether this proxy has contact with the store.
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

    /// Receives a request. It is answered at once or held back; see takeReplies().
    void ask(RequestId, const RelayQuestion &, Core::Instant now);

    [[nodiscard]] Core::Instant nextDeadline() const;
    /// Answers the requests whose hold time is over.
    void advance(Core::Instant now);
    [[nodiscard]] std::vector<Reply> takeReplies();

private:
    struct Pending
    {
        RelayQuestion question;
        Core::Instant askedAt;
        Core::Instant dueAt; ///< The end of the hold time.
    };

    struct KindState
    {
        ChangeHistory history;
        Contact contact = Contact::Good;
        std::map<RequestId, Pending> pending;
    };

    [[nodiscard]] KindState &stateOf(ObjectKind);
    /// Whether the first list is still outstanding.
    [[nodiscard]] bool isStarting(const KindState &) const;
    /// Whether requests may be answered with a page; see maximumConfirmationAge().
    [[nodiscard]] bool isCurrent(ObjectKind, const KindState &, Core::Instant now) const;
    void refuse(RequestId, RelayOutcome);
    void answerList(RequestId, const Pending &, KindState &, Core::Instant now);
    void answerWatch(RequestId, const Pending &, KindState &, Core::Instant now);
    void sendPage(RequestId, const Pending &, KindState &);
    void answerPending(ObjectKind, Core::Instant now);

    std::array<KindState, objectKindCount> states_;
    Role role_ = Role::Undecided;
    std::vector<Reply> replies_;
};

} // namespace Chervilpin::Fleet
