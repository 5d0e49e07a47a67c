#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Random.h>
#include <Engine/CallerMessages.h>
#include <Route/GroupView.h>
#include <Route/ReadVerification.h>
#include <Route/Stamp.h>

#include <optional>
#include <variant>
#include <vector>

namespace Chervilpin::Route {

/// Which databases serve reads. All values but Full are baselines for comparison.
enum class ReadStrategy {
    PrimaryOnly, ///< Every read goes to the primary.
    TokenOnly,   ///< Session reads with a token go to replicas; everything else to the primary.
    Full,        ///< Every read goes to a replica if one can prove the demanded freshness.
};

struct RouterOptions
{
    ReadStrategy strategy = ReadStrategy::Full;
    ReadGuard guard = ReadGuard::On;
    Core::Duration catchUpWait{20};      ///< Maximum wait for a replica to catch up.
    Core::Duration futureMarkWait{300};  ///< Maximum wait for a mark that no database holds.
    Core::Duration serviceAllowance{20}; ///< Part of a stated age reserved for executing the read.
    Core::Duration retryAfter{250};      ///< Retry delay suggested in refusals.
    std::uint64_t probeOneIn = 50;       ///< One in this many reads goes to a random candidate.
};

/// The input to the router. The engine keeps it and routes it again after each failed attempt.
struct RouteRequest
{
    Engine::RequestKind kind = Engine::RequestKind::Read;
    Engine::Freshness freshness = Engine::Freshness::Session;
    /// SessionToken::demandedMark(), or std::nullopt without a usable token.
    std::optional<Core::LogMark> tokenMark;
    Core::Duration maximumAge;
    Stamp arrived;
    Core::Instant deadline;
    std::vector<Core::DatabaseName> excluded; ///< Databases on which this request failed.
};

/// Send the statement under `term`. A read also carries `atLeast` and `wait`, and its answer must
/// be checked by verifyRead() with `demand`.
struct SendTo
{
    Core::DatabaseName database;
    Core::Term term = 0;
    Core::LogMark atLeast;
    Core::Duration wait;
    ReadDemand demand;
};

/// Send one new StatusQuery to the primary on behalf of all waiting reads of the group, and route
/// them again once the view has observed the answer or the query has failed.
struct AwaitSample
{
    Core::DatabaseName primary;
};

/// Tell the caller immediately that the statement was not run.
struct Refuse
{
    Engine::RefusalReason reason = Engine::RefusalReason::None;
    Core::Duration retryAfter;
};

using RouteDecision = std::variant<SendTo, AwaitSample, Refuse>;

/// Chooses the database for a request.
class Router
{
public:
    Router(RouterOptions options, const Core::Random &random);

    [[nodiscard]] RouteDecision route(const RouteRequest &request, const GroupView &view,
                                      Core::Instant now);

    [[nodiscard]] const RouterOptions &options() const { return options_; }

private:
    [[nodiscard]] RouteDecision routeToPrimary(const RouteRequest &request,
                                               const GroupView &view) const;
    [[nodiscard]] RouteDecision routeSessionRead(const RouteRequest &request, const GroupView &view,
                                                 Core::Instant now);
    [[nodiscard]] RouteDecision routeStrongRead(const RouteRequest &request, const GroupView &view,
                                                Core::Instant now);
    [[nodiscard]] RouteDecision routeStatedAgeRead(const RouteRequest &request,
                                                   const GroupView &view, Core::Instant now);
    [[nodiscard]] RouteDecision routeSampledRead(const RouteRequest &request, const Sample &sample,
                                                 const GroupView &view, Core::Instant now);
    [[nodiscard]] RouteDecision sendReadToPrimary(const RouteRequest &request, ReadDemand demand,
                                                  const GroupView &view, Core::Instant now) const;
    [[nodiscard]] RouteDecision awaitFutureMark(const RouteRequest &request, const GroupView &view,
                                                Core::Instant now) const;
    [[nodiscard]] std::optional<SendTo> sendToReplica(const RouteRequest &request,
                                                      const ReadDemand &demand,
                                                      const GroupView &view, Core::Instant now);
    [[nodiscard]] bool mayUseReplicas(const RouteRequest &request) const;
    [[nodiscard]] Refuse refuse(Engine::RefusalReason reason) const;

    RouterOptions options_;
    Core::Random random_;
};

} // namespace Chervilpin::Route
