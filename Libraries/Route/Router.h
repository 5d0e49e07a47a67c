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

/// Which databases serve reads. All but Full are baselines.
enum class ReadStrategy {
    PrimaryOnly, ///< Every read goes to the primary.
    TokenOnly,   ///< Session reads with a token go to replicas; everything else to the primary.
    Full,        ///< Every read goes to a replica if one can prove what is demanded.
};

struct RouterOptions
{
    ReadStrategy strategy = ReadStrategy::Full;
    ReadGuard guard = ReadGuard::On;
    Core::Duration catchUpWait{20};      ///< The longest wait for a replica to catch up.
    Core::Duration futureMarkWait{300};  ///< How long a mark that nobody holds is looked for.
    Core::Duration serviceAllowance{20}; ///< Time left for a read to run within its stated age.
    Core::Duration retryAfter{250};      ///< The hint given with refusals.
    std::uint64_t probeOneIn = 50; ///< One read in so many goes to a database by chance alone.
};

/// A request as the router sees it. Kept by the engine and routed again after each failed attempt.
struct RouteRequest
{
    Engine::RequestKind kind = Engine::RequestKind::Read;
    Engine::Freshness freshness = Engine::Freshness::Session;
    /// SessionToken::demandedMark(), or nothing if there is no usable token.
    std::optional<Core::LogMark> tokenMark;
    Core::Duration maximumAge;
    Stamp arrived;
    Core::Instant deadline;
    std::vector<Core::DatabaseName> excluded; ///< Databases that failed this request.
};

/// Send the statement under `term`; for reads with `atLeast` and `wait`, and judge the answer by
/// verifyRead() with `demand`.
struct SendTo
{
    Core::DatabaseName database;
    Core::Term term = 0;
    Core::LogMark atLeast;
    Core::Duration wait;
    ReadDemand demand;
};

/// Send one StatusQuery, asked after this moment, to the primary for all waiting reads of the
/// group, and route again once the view observed its answer or it failed.
struct AwaitSample
{
    Core::DatabaseName primary;
};

/// Answer "not run" at once.
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
