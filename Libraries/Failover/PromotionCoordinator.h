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

/// Runs one promotion under one term: fences a majority, promotes the database with the most
/// complete log, and makes the others follow it.
///
/// No other coordinator may use the term. The process may be paused between any two calls, since
/// the databases check the term of every request. Requests are idempotent and may be sent more than
/// once.
class PromotionCoordinator
{
public:
    enum class State {
        Fencing,
        Promoting,
        Promoted,   ///< A primary accepted the term; the others receive Follow requests.
        Superseded, ///< A database knows a higher term; this term cannot be used any more.
        GivenUp,    ///< No majority, or the chosen database failed; a higher term may succeed.
    };

    struct Plan
    {
        Group group;
        Core::Term term = 0;
        Core::DatabaseName preferred; ///< Promoted if no log is more complete; may be empty.
    };

    struct Request
    {
        Core::DatabaseName database;
        Upstream::RequestBody body;
    };
    using Requests = std::vector<Request>;

    static Core::ErrorOr<PromotionCoordinator> create(Plan, PromotionPolicy, Core::Instant now);

    /// Processes the answer to a request of this object and returns the requests to send next.
    [[nodiscard]] Requests answered(const Core::DatabaseName &, const Upstream::RequestBody &,
                                    const Upstream::Answer &, Core::Instant now);
    /// Returns first and repeated requests, and changes the state when a timeout has passed.
    [[nodiscard]] Requests tick(Core::Instant now);

    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] Core::Term term() const { return plan_.term; }
    /// The database chosen for promotion; empty while fencing.
    [[nodiscard]] const Core::DatabaseName &chosen() const { return chosen_; }
    /// The highest term that any answer reported as known.
    [[nodiscard]] Core::Term highestTermSeen() const { return highestTermSeen_; }
    /// Whether every other database has confirmed that it follows the new primary.
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
