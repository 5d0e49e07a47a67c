#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Result.h>
#include <Failover/Policy.h>
#include <Failover/Settings.h>
#include <Upstream/Messages.h>

#include <optional>
#include <vector>

namespace Chervilpin::Failover {

/// Drives one promotion under one term: fences a majority, promotes the mostCompleteMember log, and
/// lets the others follow.
///
/// The term must belong to this object alone. It may be paused between any two calls: every step
/// is checked again by the databases' terms. A request may be sent more than once; all of them are
/// idempotent.
class PromotionCoordinator
{
public:
    enum class State {
        Fencing,
        Promoting,
        Promoted,   ///< A primary accepted the term; the others are being reported.
        Superseded, ///< A database knows a higher term; this one is spent.
        GivenUp,    ///< No majority, or the chosen one is gone; a higher term may succeed.
    };

    struct Plan
    {
        Group group;
        Core::Term term = 0;
        Core::DatabaseName preferred; ///< Promoted if its log is as full as any; may be empty.
    };

    struct Request
    {
        Core::DatabaseName database;
        Upstream::RequestBody body;
    };
    using Requests = std::vector<Request>;

    static Core::ErrorOr<PromotionCoordinator> create(Plan, PromotionPolicy, Core::Instant now);

    /// Takes an answer to a request of this object and returns what to send next.
    [[nodiscard]] Requests answered(const Core::DatabaseName &, const Upstream::RequestBody &,
                                    const Upstream::Answer &, Core::Instant now);
    /// Returns the first requests, those to repeat, and moves on when a deadline has passed.
    [[nodiscard]] Requests tick(Core::Instant now);

    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] Core::Term term() const { return plan_.term; }
    /// The database that was chosen; empty while fencing.
    [[nodiscard]] const Core::DatabaseName &chosen() const { return chosen_; }
    /// The highest known term seen in any answer.
    [[nodiscard]] Core::Term highestTermSeen() const { return highestTermSeen_; }
    /// Whether every other database has confirmed that it follows.
    [[nodiscard]] bool allReplicasFollow() const;

    [[nodiscard]] Core::Instant startedAt() const { return startedAt_; }
    [[nodiscard]] std::optional<Core::Instant> fencedAt() const { return fencedAt_; }
    [[nodiscard]] std::optional<Core::Instant> promotedAt() const { return promotedAt_; }

private:
    struct Member
    {
        Database database;
        std::optional<Core::LogMark> fencedMark;
        bool follows = false;
        std::optional<Core::Instant> lastSent;
    };

    PromotionCoordinator(Plan, PromotionPolicy, Core::Instant now);

    Member *find(const Core::DatabaseName &);
    void recordFence(Member &, const Upstream::Answer &, Core::Instant now);
    Requests handlePromotionAnswer(const Core::DatabaseName &, const Upstream::Answer &,
                                   Core::Instant now);
    [[nodiscard]] std::size_t fencedCount() const;
    [[nodiscard]] std::size_t requiredFenceCount() const;
    [[nodiscard]] bool canChoose(Core::Instant now) const;
    [[nodiscard]] const Member *mostCompleteMember() const;
    Requests chooseIfReady(Core::Instant now);
    Requests choosePrimary(Core::Instant now);
    void checkDeadlines(Core::Instant now);
    Requests sendFences(Core::Instant now);
    Requests sendPromotion(Core::Instant now);
    Requests sendFollows(Core::Instant now);

    Plan plan_;
    PromotionPolicy policy_;
    std::vector<Member> members_;
    State state_ = State::Fencing;
    Core::DatabaseName chosen_;
    Core::Term highestTermSeen_ = 0;
    Core::Instant startedAt_;
    std::optional<Core::Instant> fencedAt_;
    std::optional<Core::Instant> chosenAt_;
    std::optional<Core::Instant> promotedAt_;
};

} // namespace Chervilpin::Failover
