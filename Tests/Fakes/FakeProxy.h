#pragma once

#include <Confirm/ConfirmationTracker.h>
#include <Core/Outcome.h>
#include <Core/Random.h>
#include <Core/Verify.h>
#include <Execute/AttemptTracker.h>
#include <Route/Containment.h>
#include <Route/Router.h>
#include <Session/SessionToken.h>
#include <Tests/Fakes/FakeGroup.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Chervilpin::Fakes {

/// What a caller of the FakeProxy asks for.
struct FakeCall
{
    std::uint64_t id = 0;
    Engine::RequestKind kind = Engine::RequestKind::Read;
    Engine::Freshness freshness = Engine::Freshness::Session;
    Engine::Repeatability repeatability = Engine::Repeatability::NotRepeatable;
    Core::Duration maximumAge;
    std::string sessionToken; ///< Encoded, or garbled.
    WriteNumber write = 0;
};

/// What a caller of the FakeProxy gets.
struct FakeResult
{
    std::uint64_t id = 0;
    Core::Outcome outcome = Core::Outcome::NotRun;
    Engine::RefusalReason reason = Engine::RefusalReason::None;
    std::set<WriteNumber> rows;
    std::string sessionToken;
    Core::DatabaseName servedBy;
};

/// Joins the modules of the data path over one FakeGroup, without any transport.
///
/// Requests to databases stay under way until they are served, and their answers until they are
/// delivered or lost, in any order.
class FakeProxy
{
public:
    struct Options
    {
        Route::RouterOptions router;
        Execute::RepeatGuard repeat = Execute::RepeatGuard::On;
        std::uint64_t seed = 1;
    };

    FakeProxy(FakeGroup &group, Options options,
              std::unique_ptr<Confirm::AcknowledgementPolicy> policy)
        : group_(group)
        , options_(options)
        , view_(groupName(), group.names())
        , router_(options.router, Core::Random(options.seed))
        , tracker_({}, std::move(policy))
        , budget_({.retriesPerRequest = 1, .maximumSaved = 1000})
        , random_(options.seed)
    { }

    void call(const FakeCall &call, Core::Instant now)
    {
        const auto token = Session::SessionToken::decode(call.sessionToken);
        Request request{.call = call,
                        .token = token.value_or(Session::SessionToken::startedLate()),
                        .route = {.kind = call.kind,
                                  .freshness = call.freshness,
                                  .maximumAge = call.maximumAge,
                                  .arrived = stamps_.next(now),
                                  .deadline = now + deadline},
                        .attempts = Execute::AttemptTracker({.kind = call.kind,
                                                             .repeatability = call.repeatability,
                                                             .deadline = now + deadline,
                                                             .guard = options_.repeat},
                                                            Execute::RetryPolicy({}))};
        request.route.tokenMark = request.token.demandedMark(groupName());
        budget_.noteRequest(now);
        requests_.emplace(call.id, std::move(request));
        routeAgain(call.id, now);
    }

    /// The database gets and runs the request; its answer comes under way.
    void serve(std::size_t choice)
    {
        Flight *const flight = choose(choice, Served::No);
        if (flight == nullptr)
            return;
        serve(*flight);
    }

    /// An answer under way arrives.
    void deliver(std::size_t choice, Core::Instant now)
    {
        Flight *const chosen = choose(choice, Served::Yes);
        if (chosen != nullptr)
            deliver(*chosen, now);
    }

    /// A request or an answer under way never arrives, and the proxy learns it.
    void lose(std::size_t choice, Core::Instant now)
    {
        if (flights_.empty())
            return;
        const Flight flight = take(flights_[choice % flights_.size()]);
        if (flight.statement) {
            view_.finished(flight.database, now - flight.asked.at, now);
            if (Request *const request = find(flight.request)) {
                Execute::RetryContext context{budget_, random_};
                follow(flight.request, request->attempts.lost(flight.attempt, context, now), now);
            }
        } else {
            queryEnded(flight, Confirm::QueryEnd::Failed, now);
        }
    }

    void tick(Core::Instant now)
    {
        applyConfirmations(now);
        for (auto &query : tracker_.neededQueries(view_, now))
            startQuery(query.database, FlightKind::Confirmation, now, query.query);
        std::vector<std::uint64_t> due;
        std::vector<std::uint64_t> ids;
        for (auto &[id, request] : requests_) {
            ids.push_back(id);
            if (request.retryAt && now >= *request.retryAt)
                due.push_back(id);
        }
        for (const std::uint64_t id : due)
            routeAgain(id, now);
        for (const std::uint64_t id : ids) {
            if (Request *const request = find(id))
                follow(id, request->attempts.tick(now), now);
        }
    }

    /// Sends a second attempt of a read that is under way, to another database.
    void hedge(std::size_t choice, Core::Instant now)
    {
        std::vector<std::uint64_t> candidates;
        for (const auto &[id, request] : requests_) {
            if (request.attempts.mayHedge())
                candidates.push_back(id);
        }
        if (candidates.empty())
            return;
        const std::uint64_t id = candidates[choice % candidates.size()];
        Request &request = *find(id);
        Route::RouteRequest route = request.route;
        for (const Flight &flight : flights_) {
            if (flight.statement && flight.request == id)
                route.excluded = {flight.database};
        }
        const auto decision = router_.route(route, view_, now);
        if (const auto *const sent = std::get_if<Route::SendTo>(&decision))
            send(id, request, *sent, now);
    }

    /// How long messages are under way and statements run.
    struct Transit
    {
        Core::Duration oneWay{1};
        Core::Duration service{1};
    };

    /// Serves and delivers everything that is due by now, in order of asking. Reads and queries
    /// wait at the database for what they demand.
    void pass(const Transit &transit, Core::Instant now)
    {
        for (Flight &flight : flights_) {
            if (!flight.answer && now >= flight.asked.at + transit.oneWay
                && !isWaiting(flight, transit, now)) {
                serve(flight);
                flight.servedAt = now;
            }
        }
        while (Flight *const due = firstDue(transit, now))
            deliver(*due, now);
        tick(now);
    }

    /// Asks every database for its status, as the sparse probes do.
    void probe(Core::Instant now)
    {
        for (const Core::DatabaseName &name : group_.names())
            startQuery(name, FlightKind::Probe, now);
    }

    [[nodiscard]] std::vector<FakeResult> takeResults() { return std::exchange(results_, {}); }
    [[nodiscard]] std::size_t underWay() const { return flights_.size(); }
    [[nodiscard]] const Route::GroupView &view() const { return view_; }

    [[nodiscard]] static Core::GroupName groupName() { return Core::GroupName("registry-1"); }

    static constexpr Core::Duration deadline{400};

private:
    enum class Served {
        No,
        Yes,
    };
    enum class FlightKind {
        Statement,
        Sample,
        Confirmation,
        Probe,
    };
    struct Flight
    {
        FlightKind kind = FlightKind::Statement;
        Core::DatabaseName database;
        Route::Stamp asked;
        std::optional<Upstream::Statement> statement;
        std::uint64_t request = 0;
        Execute::AttemptId attempt = 0;
        Route::ReadDemand demand;
        Core::LogMark atLeast;
        Core::Duration wait;
        std::optional<Upstream::Answer> answer;
        Core::Instant servedAt;
    };
    struct Request
    {
        FakeCall call;
        Session::SessionToken token;
        Route::RouteRequest route;
        Execute::AttemptTracker attempts;
        std::optional<Core::Instant> retryAt;
        bool isAwaitingSample = false;
        std::optional<Flight> delivered; ///< The attempt whose answer waits for its confirmation.
    };

    [[nodiscard]] Request *find(std::uint64_t id)
    {
        const auto found = requests_.find(id);
        return found == requests_.end() ? nullptr : &found->second;
    }

    /// The choice-th flight of those served or not, counted around.
    [[nodiscard]] Flight *choose(std::size_t choice, Served served)
    {
        std::vector<Flight *> candidates;
        for (Flight &flight : flights_) {
            if (flight.answer.has_value() == (served == Served::Yes))
                candidates.push_back(&flight);
        }
        return candidates.empty() ? nullptr : candidates[choice % candidates.size()];
    }

    [[nodiscard]] Flight take(const Flight &flight)
    {
        const auto place = flights_.begin() + (&flight - flights_.data());
        Flight taken = *place;
        flights_.erase(place);
        return taken;
    }

    void serve(Flight &flight)
    {
        const std::size_t index = group_.indexOf(flight.database);
        if (flight.statement)
            flight.answer = group_.execute(index, *flight.statement);
        else
            flight.answer = Upstream::Answer{.status = group_.status(index)};
    }

    void deliver(const Flight &chosen, Core::Instant now)
    {
        const Flight flight = take(chosen);
        view_.observe(flight.database, flight.answer->status, flight.asked, now);
        if (flight.statement) {
            view_.finished(flight.database, now - flight.asked.at, now);
            statementAnswered(flight, now);
        } else {
            queryEnded(flight, Confirm::QueryEnd::Answered, now);
        }
        tick(now);
    }

    [[nodiscard]] bool isWaiting(const Flight &flight, const Transit &transit,
                                 Core::Instant now) const
    {
        const Core::LogMark held = group_.status(group_.indexOf(flight.database)).held;
        const bool lacks = !Route::contains(held, flight.atLeast);
        return lacks && now < flight.asked.at + transit.oneWay + flight.wait;
    }

    [[nodiscard]] Flight *firstDue(const Transit &transit, Core::Instant now)
    {
        for (Flight &flight : flights_) {
            const bool runs = flight.statement.has_value();
            const Core::Duration rest =
                transit.oneWay + (runs ? transit.service : Core::Duration(0));
            if (flight.answer && now >= flight.servedAt + rest)
                return &flight;
        }
        return nullptr;
    }

    void startQuery(const Core::DatabaseName &database, FlightKind kind, Core::Instant now,
                    const Upstream::StatusQuery &query = {})
    {
        flights_.push_back({.kind = kind,
                            .database = database,
                            .asked = stamps_.next(now),
                            .atLeast = query.atLeast,
                            .wait = query.wait});
    }

    void routeAgain(std::uint64_t id, Core::Instant now)
    {
        Request &request = *find(id);
        request.retryAt.reset();
        const auto decision = router_.route(request.route, view_, now);
        if (const auto *const sent = std::get_if<Route::SendTo>(&decision)) {
            send(id, request, *sent, now);
        } else if (const auto *const refuse = std::get_if<Route::Refuse>(&decision)) {
            follow(id, request.attempts.refused(refuse->reason, refuse->retryAfter, now), now);
        } else {
            request.isAwaitingSample = true;
            startQuery(std::get<Route::AwaitSample>(decision).primary, FlightKind::Sample, now);
        }
    }

    void send(std::uint64_t id, Request &request, const Route::SendTo &sent, Core::Instant now)
    {
        const bool isRead = request.call.kind == Engine::RequestKind::Read;
        Upstream::Statement statement{.term = sent.term,
                                      .kind = isRead ? Upstream::StatementKind::Read
                                                     : Upstream::StatementKind::Write,
                                      .text = std::to_string(request.call.write),
                                      .atLeast = sent.atLeast,
                                      .wait = sent.wait};
        view_.started(sent.database, now);
        flights_.push_back({.kind = FlightKind::Statement,
                            .database = sent.database,
                            .asked = stamps_.next(now),
                            .statement = std::move(statement),
                            .request = id,
                            .attempt = request.attempts.sent(sent.database, now),
                            .demand = sent.demand,
                            .atLeast = sent.atLeast,
                            .wait = sent.wait});
    }

    void statementAnswered(const Flight &flight, Core::Instant now)
    {
        Request *const request = find(flight.request);
        if (request == nullptr)
            return;
        if (flight.answer->reason == Upstream::Reason::Behind)
            view_.wasBehind(flight.database, flight.wait, now);
        Execute::RetryContext context{budget_, random_};
        const auto step = request->attempts.answered(flight.attempt, flight.answer->verdict,
                                                     flight.answer->reason, context, now);
        if (std::holds_alternative<Execute::Deliver>(step))
            delivered(flight.request, flight, now);
        else
            follow(flight.request, step, now);
    }

    void delivered(std::uint64_t id, const Flight &flight, Core::Instant now)
    {
        Request &request = *find(id);
        request.retryAt.reset();
        request.delivered = flight;
        const Upstream::Status &status = flight.answer->status;
        if (request.call.kind != Engine::RequestKind::Read) {
            confirm(id, request, Confirm::ConfirmationKind::Write, now);
            return;
        }
        switch (Route::verifyRead(flight.demand, status, flight.asked, view_, now,
                                  options_.router.guard)) {
        case Route::ReadVerdict::Release:
            release(id);
            break;
        case Route::ReadVerdict::Confirm:
            confirm(id, request, Confirm::ConfirmationKind::StrongRead, now);
            break;
        case Route::ReadVerdict::Reject:
            reject(id, now);
            break;
        }
    }

    void confirm(std::uint64_t id, const Request &request, Confirm::ConfirmationKind kind,
                 Core::Instant now)
    {
        const Flight &flight = *request.delivered;
        const bool isWrite = kind == Confirm::ConfirmationKind::Write;
        tracker_.track({.id = id,
                        .kind = kind,
                        .database = flight.database,
                        .term = isWrite ? flight.statement->term : flight.demand.term,
                        .mark = flight.answer->status.held,
                        .since = isWrite ? stamps_.next(now) : flight.demand.arrived,
                        .deadline = request.route.deadline},
                       now);
    }

    void applyConfirmations(Core::Instant now)
    {
        const auto result = tracker_.review(view_, now);
        for (const auto id : result.confirmed)
            confirmed(id, now);
        for (const auto id : result.superseded)
            notConfirmed(id, now);
        for (const auto id : result.timedOut)
            notConfirmed(id, now);
    }

    void confirmed(std::uint64_t id, Core::Instant now)
    {
        const Request &request = *find(id);
        const Flight &flight = *request.delivered;
        const bool isRead = request.call.kind == Engine::RequestKind::Read;
        if (isRead
            && Route::verifyRead(flight.demand, flight.answer->status, flight.asked, view_, now,
                                 options_.router.guard)
                == Route::ReadVerdict::Reject) {
            reject(id, now);
            return;
        }
        release(id);
    }

    void notConfirmed(std::uint64_t id, Core::Instant now)
    {
        if (find(id)->call.kind == Engine::RequestKind::Read)
            reject(id, now);
        else
            finish(id, {.outcome = Core::Outcome::Unknown});
    }

    void reject(std::uint64_t id, Core::Instant now)
    {
        Request &request = *find(id);
        const Execute::AttemptId attempt = request.delivered->attempt;
        request.delivered.reset();
        Execute::RetryContext context{budget_, random_};
        follow(id, request.attempts.rejected(attempt, context, now), now);
    }

    void release(std::uint64_t id)
    {
        Request &request = *find(id);
        const Flight &flight = *request.delivered;
        FakeResult result{.outcome = Core::Outcome::Done, .servedBy = flight.database};
        if (request.call.kind != Engine::RequestKind::Read)
            request.token.advance(groupName(), flight.answer->status.held);
        else if (flight.demand.freshness == Engine::Freshness::Strong)
            request.token.advance(groupName(),
                                  Route::coveredMark(flight.demand, flight.answer->status));
        for (const std::string &row : flight.answer->rows)
            result.rows.insert(std::stoull(row));
        finish(id, std::move(result));
    }

    void follow(std::uint64_t id, const Execute::AttemptStep &step, Core::Instant now)
    {
        if (const auto *const retry = std::get_if<Execute::Retry>(&step)) {
            Request &request = *find(id);
            request.route.excluded = retry->excluded;
            request.retryAt = now + retry->after;
        } else if (const auto *const finished = std::get_if<Execute::Finish>(&step)) {
            finish(id, {.outcome = finished->outcome, .reason = finished->reason});
        }
    }

    void queryEnded(const Flight &flight, Confirm::QueryEnd end, Core::Instant now)
    {
        if (flight.kind == FlightKind::Confirmation)
            tracker_.queryEnded(flight.database, end, now);
        if (flight.kind != FlightKind::Sample)
            return;
        std::vector<std::uint64_t> waiting;
        for (auto &[id, request] : requests_) {
            if (std::exchange(request.isAwaitingSample, false))
                waiting.push_back(id);
        }
        for (const std::uint64_t id : waiting)
            routeAgain(id, now);
    }

    void finish(std::uint64_t id, FakeResult result)
    {
        result.id = id;
        result.sessionToken = find(id)->token.encode();
        results_.push_back(std::move(result));
        tracker_.forget(id, Core::Instant());
        requests_.erase(id);
    }

    FakeGroup &group_;
    Options options_;
    Route::StampSource stamps_;
    Route::GroupView view_;
    Route::Router router_;
    Confirm::ConfirmationTracker tracker_;
    Execute::RetryBudget budget_;
    Core::Random random_;
    std::map<std::uint64_t, Request> requests_;
    std::vector<Flight> flights_;
    std::vector<FakeResult> results_;
};

} // namespace Chervilpin::Fakes
