#include <Tests/Engine/Harness.h>

#include <Configuration/Credential.h>
#include <Core/Overloaded.h>

#include <algorithm>
#include <utility>

#include <CppUTest/TestHarness.h>

namespace Chervilpin::Testing {

using namespace Core::Literals;

namespace {

constexpr std::uint64_t seed = 7;
constexpr const char *salt = "00112233445566778899aabbccddeeff";
constexpr const char *operatorText = "Bearer cvo_root_rootsecretrootsecret";
constexpr Engine::ConnectionId connectionsOfNode = 1'000'000;

std::string keyResource(const std::string &name, const std::string &team, const std::string &secret,
                        const std::string &more = {})
{
    return R"({"kind":"Key","name":")" + name + R"(","spec":{"team":")" + team + R"(","salt":")"
        + salt + R"(","digest":")" + Configuration::credentialDigest(salt, secret).value_or("")
        + "\"" + more + "}}";
}

std::string databaseText(const std::string &name, const std::string &number)
{
    return R"({"name":")" + name + R"(","address":"10.0.0.)" + number
        + R"(:5432","data_centre":"dc)" + number + "\"}";
}

std::string startConfiguration()
{
    const std::string rate = R"(,"rate_per_second":1000,"burst":1000}},)";
    return R"({"kind":"Half","name":"north","spec":{"caller_endpoint":"http://north"}},)"
           R"({"kind":"Half","name":"south","spec":{"caller_endpoint":"http://south"}},)"
           R"({"kind":"Team","name":"t1","spec":{"half":"north")"
        + rate + R"({"kind":"Team","name":"t2","spec":{"half":"south")" + rate
        + R"({"kind":"UpstreamGroup","name":"g","spec":{"half":"north","slots":5,)"
          R"("max_connections":12,"databases":[)"
        + databaseText("a", "1") + "," + databaseText("b", "2") + "," + databaseText("c", "3")
        + R"(]}},{"kind":"Route","name":"r","spec":{"group":"g"}},)"
          R"({"kind":"Route","name":"open","spec":{"group":"g","is_open_to_all":true}},)"
        + keyResource("k1", "t1", "northsecretnorthsecret") + ","
        + keyResource("k2", "t2", "southsecretsouthsecret");
}

StandIn::DatabaseState::Settings settingsOf(const std::string &name)
{
    StandIn::DatabaseState::Settings settings;
    settings.name = Core::DatabaseName(name);
    settings.primary = Core::DatabaseName("a");
    settings.role = name == "a" ? Upstream::Role::Primary : Upstream::Role::Replica;
    return settings;
}

} // namespace

Harness::Harness(std::string_view half, std::size_t engines)
{
    for (const std::string name : {"a", "b", "c"})
        databases_.emplace(name, FakeDatabase(settingsOf(name)));
    for (std::size_t number = 0; number < engines; ++number)
        addNode(number, half, engines);
    run(2_s);
    change(startConfiguration());
    run(5_s);
}

void Harness::addNode(std::size_t number, std::string_view half, std::size_t count)
{
    const auto nameOf = [](std::size_t i) {
        return std::to_string(i + 1);
    };
    Engine::NodeSettings settings;
    settings.name = Core::NodeName("p" + nameOf(number));
    settings.dataCentre = Core::DataCentreName("dc" + nameOf(number));
    settings.half = Core::HalfName(half);
    settings.incarnation = 1;
    settings.peerAddress = "10.1.0." + nameOf(number) + ":9000";
    for (std::size_t peer = 0; peer < count; ++peer)
        settings.seedPeers.push_back({Core::NodeName("p" + nameOf(peer)),
                                      Core::DataCentreName("dc" + nameOf(peer)),
                                      "10.1.0." + nameOf(peer) + ":9000"});
    settings.operatorSalt = salt;
    settings.operatorDigest =
        Configuration::credentialDigest(salt, "rootsecretrootsecret").value_or("");
    platform_.vms.push_back({settings.name, settings.dataCentre, settings.peerAddress, false});
    nodes_.push_back({std::make_unique<Engine::Engine>(settings, seed + number, now), settings});
    perform(number);
}

void Harness::later(Core::Duration delay, std::function<void()> event)
{
    events_.emplace(now + delay, std::move(event));
}

void Harness::run(Core::Duration duration)
{
    static_cast<void>(runUntil([] { return false; }, duration));
}

bool Harness::runUntil(const std::function<bool()> &isReached, Core::Duration atMost)
{
    const Core::Instant end = now + atMost;
    while (now < end && !isReached())
        step();
    return isReached();
}

void Harness::step()
{
    now = now + Engine::tickInterval;
    replicate();
    while (!events_.empty() && events_.begin()->first <= now) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
    }
    answerPlatform();
    answerDatabases();
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        nodes_[node].engine->tick(now);
        perform(node);
    }
}

void Harness::replicate()
{
    for (auto &[name, replica] : databases_) {
        const auto pull = replica.state.nextPull();
        if (!pull || replica.isReplicationStalled)
            continue;
        const auto primary = databases_.find(replica.state.status().primary.value());
        if (primary != databases_.end())
            replica.state.receive(primary->second.state.serve(*pull));
    }
}

void Harness::answerDatabases()
{
    for (auto &[name, database] : databases_) {
        for (auto &one : database.takeAnswers(now)) {
            const auto node = one.connection / connectionsOfNode;
            nodes_[node].engine->databaseAnswer(one.connection % connectionsOfNode, one.correlation,
                                                std::move(one.answer), now);
            perform(node);
        }
        for (const auto id : database.takeBroken()) {
            database.close(id);
            const auto node = id / connectionsOfNode;
            nodes_[node].engine->connectionEnded(id % connectionsOfNode,
                                                 Engine::ConnectionFailure::Broken, now);
            perform(node);
        }
    }
}

Engine::ConnectionId Harness::toFake(std::size_t node, Engine::ConnectionId id)
{
    return node * connectionsOfNode + id;
}

void Harness::perform(std::size_t node)
{
    for (auto actions = nodes_[node].engine->takeActions(); !actions.empty();
         actions = nodes_[node].engine->takeActions()) {
        for (auto &action : actions)
            performOne(node, std::move(action));
    }
}

void Harness::performOne(std::size_t node, Engine::Action action)
{
    const Core::Overloaded handle{
        [&](Engine::AnswerCaller &given) {
            ++answersGiven;
            answers_[given.answer.id] = std::move(given.answer);
        },
        [&](Engine::AnswerOperator &given) { operatorAnswers_[given.id] = given.httpStatus; },
        [&](const Engine::OpenConnection &opening) {
            const auto id = toFake(node, opening.id);
            databaseOf_[id] = opening.database.value();
            later(10_ms, [this, node, id] {
                const auto name = databaseOf_.find(id);
                if (name == databaseOf_.end())
                    return;
                database(name->second).open(id);
                nodes_[node].engine->connectionOpened(id % connectionsOfNode, now);
                perform(node);
            });
        },
        [&](const Engine::CloseConnection &closed) {
            const auto id = toFake(node, closed.id);
            if (const auto name = databaseOf_.find(id); name != databaseOf_.end())
                database(name->second).close(id);
            databaseOf_.erase(id);
        },
        [&](Engine::SendToDatabase &sent) {
            sent.connection = toFake(node, sent.connection);
            if (const auto *one = std::get_if<Upstream::Statement>(&sent.body))
                statementsSent.push_back(one->text + "|" + one->transaction + "|"
                                         + one->traceparent);
            const auto name = databaseOf_.find(sent.connection);
            if (name != databaseOf_.end())
                database(name->second).receive(sent, now);
        },
        [&](Engine::CallPlatform &one) { platform_.receive(node, std::move(one.call), now); },
        [&](Engine::SendToPeer &sent) {
            const auto to = std::ranges::find(nodes_, sent.message.to,
                                              [](const Node &one) { return one.settings.name; });
            if (to == nodes_.end())
                return;
            const auto number = static_cast<std::size_t>(to - nodes_.begin());
            const Peer::Incoming message{nodes_[node].settings.name, 1, sent.message.kind,
                                         std::move(sent.message.payload)};
            later(10_ms, [this, number, message] {
                nodes_[number].engine->peerMessage(message, now);
                perform(number);
            });
        },
        [&](const Engine::Stopped &) { isStopped = true; },
        [](const auto &) {},
    };
    std::visit(handle, action);
}

void Harness::answerPlatform()
{
    for (auto &one : platform_.takeReplies(now)) {
        nodes_[one.node].engine->platformReply(std::move(one.reply), now);
        perform(one.node);
    }
}

bool Harness::change(const std::string &resources)
{
    const auto id = ++lastId_;
    nodes_.front().engine->operatorRequest(
        {id, "POST", "/v1/changes", operatorText,
         R"({"nonce":"n)" + std::to_string(id) + R"(","changes":[)" + resources + "]}"},
        now);
    perform(0);
    const bool isAnswered = runUntil([&] { return operatorAnswers_.contains(id); }, 10_s);
    return isAnswered && operatorAnswers_[id] == 200;
}

bool Harness::withdrawKey()
{
    return change(keyResource("k1", "t1", "northsecretnorthsecret", R"(,"is_withdrawn":true)"));
}

Engine::CallerRequest Harness::request(Engine::RequestKind kind, std::string statement)
{
    Engine::CallerRequest made;
    made.key = key;
    made.route = "r";
    made.kind = kind;
    made.statement = std::move(statement);
    made.deadline = 2_s;
    return made;
}

Engine::RequestId Harness::ask(Engine::CallerRequest made, std::size_t engine)
{
    made.id = ++lastId_;
    const auto id = made.id;
    nodes_[engine].engine->callerRequest(std::move(made), now);
    perform(engine);
    return id;
}

const Engine::CallerAnswer *Harness::answer(Engine::RequestId id) const
{
    const auto found = answers_.find(id);
    return found == answers_.end() ? nullptr : &found->second;
}

Engine::CallerAnswer Harness::call(Engine::CallerRequest made, std::size_t engine)
{
    const auto id = ask(std::move(made), engine);
    if (runUntil([&] { return answer(id) != nullptr; }, 10_s))
        return *answer(id);
    Engine::CallerAnswer none;
    none.outcome = Core::Outcome::Unknown;
    none.message = "no answer came";
    return none;
}

FakeDatabase &Harness::database(std::string_view name)
{
    return databases_.find(name)->second;
}

void Harness::stallReplicas()
{
    database("b").isReplicationStalled = true;
    database("c").isReplicationStalled = true;
}

void Harness::resumeReplicas()
{
    database("b").isReplicationStalled = false;
    database("c").isReplicationStalled = false;
}

std::size_t Harness::timesRun(std::string_view text) const
{
    std::size_t count = 0;
    for (const auto &[name, database] : databases_)
        count += database.timesRun(text);
    return count;
}

std::size_t Harness::timesKept(std::string_view text) const
{
    return databases_.find("a")->second.timesKept(text);
}

} // namespace Chervilpin::Testing
