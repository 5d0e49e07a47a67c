#include <Utilities/chervilpin-load/Generator.h>

#include <Core/SteadyClock.h>

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cmath>

namespace Chervilpin::Load {

namespace {

namespace json = boost::json;

constexpr double microsecondsPerSecond = 1e6;
constexpr std::int64_t microsecondsPerMillisecond = 1000;
/// A run is bounded: more requests than this are never under way at once.
constexpr std::uint64_t maximumOutstanding = 20'000;
constexpr std::chrono::microseconds sendInterval{1000};
constexpr Core::Duration answerAllowance{2'000};

std::uint64_t positionOf(const json::object &answer)
{
    const auto *rows = answer.if_contains("rows");
    if (!rows || !rows->is_array() || rows->as_array().empty())
        return 0;
    const auto *row = rows->as_array().front().if_object();
    const auto *position = row ? row->if_contains("position") : nullptr;
    return position && position->is_number() ? position->to_number<std::uint64_t>() : 0;
}

std::string textOf(const json::object &answer, std::string_view field)
{
    const auto *value = answer.if_contains(field);
    if (!value || !value->is_string())
        return {};
    return {value->as_string().data(), value->as_string().size()};
}

} // namespace

Core::ErrorOr<std::unique_ptr<Generator>> Generator::create(boost::asio::io_context &context,
                                                            const Options &options)
{
    std::unique_ptr<Generator> generator(new Generator(context, options));
    generator->balancer_ = TRY(Balancer::create(context, options.proxies, options.admins));
    if (options.idleConnections > 0)
        generator->idleConnections_ =
            TRY(IdleConnections::create(context, options.proxies.front(), options.idleConnections));
    for (const auto &team : options.teams)
        generator->teams_.push_back({team, {}, team.burst, 0, 0});
    for (const auto &route : options.routes) {
        auto &history = generator->histories_.emplace_back();
        if (!options.historyPrefix.empty())
            history.open(options.historyPrefix + route + ".jsonl");
    }
    if (!options.timelinePath.empty())
        generator->timeline_.open(options.timelinePath);
    return generator;
}

Generator::Generator(boost::asio::io_context &context, const Options &options)
    : options_(options)
    , random_(options.seed)
    , timer_(context)
{ }

void Generator::start()
{
    startMicroseconds_ = Core::SteadyClock::nowMicroseconds();
    endMicroseconds_ =
        startMicroseconds_ + options_.length.milliseconds() * microsecondsPerMillisecond;
    for (Team &team : teams_) {
        team.modelMicroseconds = startMicroseconds_;
        team.nextMicroseconds = startMicroseconds_;
    }
    balancer_->start();
    if (idleConnections_)
        idleConnections_->start(options_.length);
    schedule();
}

void Generator::schedule()
{
    timer_.expires_after(sendInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        sendDue();
        if (Core::SteadyClock::nowMicroseconds() < endMicroseconds_)
            schedule();
        else
            balancer_->stop();
    });
}

void Generator::sendDue()
{
    const std::int64_t now = std::min(Core::SteadyClock::nowMicroseconds(), endMicroseconds_);
    for (Team &team : teams_) {
        if (team.options.offeredPerSecond <= 0)
            continue;
        while (team.nextMicroseconds <= now && outstanding_ < maximumOutstanding) {
            sendOne(team, team.nextMicroseconds);
            // The time between arrivals is exponential, as of many callers that don't know of each
            // other.
            const double pause =
                -std::log(1.0 - random_.fraction()) / team.options.offeredPerSecond;
            team.nextMicroseconds += static_cast<std::int64_t>(pause * microsecondsPerSecond) + 1;
        }
    }
}

bool Generator::takeModelToken(Team &team, std::int64_t now) const
{
    const double elapsed =
        static_cast<double>(now - team.modelMicroseconds) / microsecondsPerSecond;
    team.modelMicroseconds = now;
    team.modelTokens =
        std::min(team.options.burst, team.modelTokens + elapsed * team.options.ratePerSecond);
    if (team.modelTokens < 1)
        return false;
    team.modelTokens -= 1;
    return true;
}

Generator::Session &Generator::freeSession(Team &team)
{
    const std::size_t count = team.sessions.size();
    if (count >= options_.sessionsPerTeam) {
        const std::size_t first = random_.below(count);
        for (std::size_t step = 0; step < count; ++step) {
            Session &session = *team.sessions[(first + step) % count];
            if (!session.isBusy)
                return session;
        }
    }
    auto session = std::make_unique<Session>();
    // The seed keeps apart the rows of runs against the same databases.
    session->name =
        team.options.name + "-" + std::to_string(options_.seed) + "-" + std::to_string(count);
    session->key = session->name;
    session->route = count % options_.routes.size();
    return *team.sessions.emplace_back(std::move(session));
}

void Generator::sendOne(Team &team, std::int64_t planned)
{
    Session &session = freeSession(team);
    session.isBusy = true;
    auto pending = std::make_shared<Pending>();
    pending->session = &session;
    pending->sample.team = team.options.name;
    pending->sample.route = options_.routes[session.route];
    pending->sample.isWrite = random_.fraction() < options_.writeShare;
    pending->sample.isWithinRate = takeModelToken(team, planned);
    pending->sample.plannedMicroseconds = planned;
    Http::Request request;
    request.method = "POST";
    request.target = "/v1/statements";
    request.fields = {
        {"Content-Type", "application/json"},
        {"Authorization", "Bearer " + team.options.key},
        {"Chervilpin-Deadline-Ms", std::to_string(options_.deadline.milliseconds())},
    };
    if (!session.token.empty())
        request.fields.push_back({"Chervilpin-Session", session.token});
    request.body = bodyFor(*pending);
    ++outstanding_;
    balancer_->choose(random_).send(std::move(request), options_.deadline + answerAllowance,
                                    [this, pending](const Core::ErrorOr<Http::Response> &response) {
                                        answered(pending, response);
                                    });
}

std::string Generator::bodyFor(Pending &pending)
{
    json::object body;
    body["route"] = pending.sample.route;
    if (pending.sample.isWrite) {
        pending.writtenId = std::to_string(++pending.session->writes);
        body["kind"] = "write";
        body["statement"] = "put " + pending.session->key + " " + pending.writtenId;
        return json::serialize(body);
    }
    body["kind"] = "read";
    body["statement"] = "get " + pending.session->key;
    const double kind = random_.fraction();
    if (kind < options_.agedShare) {
        body["freshness"] = "stated_age";
        body["max_age_ms"] = options_.statedAge.milliseconds();
    } else if (kind < options_.agedShare + options_.strongShare) {
        body["freshness"] = "strong";
    }
    return json::serialize(body);
}

void Generator::answered(const std::shared_ptr<Pending> &pending,
                         const Core::ErrorOr<Http::Response> &response)
{
    --outstanding_;
    Session &session = *pending->session;
    session.isBusy = false;
    Sample &sample = pending->sample;
    sample.endMicroseconds = Core::SteadyClock::nowMicroseconds();
    sample.outcome = "no_answer";
    std::uint64_t position = 0;
    if (response) {
        boost::system::error_code error;
        const json::value body = json::parse(response->body, error);
        if (!error && body.is_object()) {
            sample.outcome = textOf(body.as_object(), "outcome");
            sample.reason = textOf(body.as_object(), "reason");
            position = positionOf(body.as_object());
        }
        const auto token = response->field("Chervilpin-Session");
        if (!token.empty())
            session.token = std::string(token);
    }
    writeHistory(*pending, position);
    if (timeline_.is_open())
        timeline_ << sample.plannedMicroseconds - startMicroseconds_ << ','
                  << sample.endMicroseconds - startMicroseconds_ << ',' << sample.team << ','
                  << sample.route << ',' << (sample.isWrite ? "write" : "read") << ','
                  << sample.outcome << ',' << sample.reason << '\n';
    report_.add(sample);
}

void Generator::writeHistory(const Pending &pending, std::uint64_t position)
{
    std::ofstream &history = histories_[pending.session->route];
    if (!history.is_open())
        return;
    json::object line;
    line["kind"] = pending.sample.isWrite ? "write" : "read";
    line["session"] = pending.session->name;
    line["key"] = pending.session->key;
    const bool isTold = pending.sample.outcome == "done" || pending.sample.outcome == "not_run";
    line["outcome"] = isTold ? pending.sample.outcome : "unknown";
    if (pending.sample.isWrite)
        line["id"] = pending.writtenId;
    else
        line["position"] = position;
    history << json::serialize(line) << '\n';
}

} // namespace Chervilpin::Load
