#include <Services/UpstreamStandIn/Connection.h>
#include <Services/UpstreamStandIn/Database.h>
#include <Services/UpstreamStandIn/WireForm.h>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::UpstreamStandIn;

namespace {

/// Keeps what a connection sends.
class FakeSink : public FrameSink
{
public:
    void send(Wire::FromDatabase frame) override { frames.push_back(std::move(frame)); }
    void finish(End finished) override { end = finished; }

    std::vector<Wire::FromDatabase> frames;
    std::optional<End> end;
};

/// One caller's end of a connection.
struct Caller
{
    FakeSink sink;
    std::shared_ptr<Connection> connection;
};

} // namespace

TEST_GROUP(Connection)
{
    std::unique_ptr<boost::asio::io_context> context;
    std::unique_ptr<Database> database;
    std::uint64_t lastId = 0;

    void setup() override
    {
        start("a", [](auto &) {});
    }
    void teardown() override
    {
        database.reset();
        context.reset();
    }
    void start(const std::string &name, const std::function<void(Options &)> &change)
    {
        database.reset();
        context = std::make_unique<boost::asio::io_context>();
        Options options;
        options.name = name;
        options.group = "g";
        options.dataCentre = "dc1";
        options.initialPrimary = "a";
        options.connectDelayMilliseconds = 0;
        options.serviceMicroseconds = 0;
        CHECK(addPeer(options, "b/dc2/127.0.0.1:1").has_value());
        change(options);
        database = std::move(*Database::create(*context, options));
    }
    std::unique_ptr<Caller> open(const std::string &dataCentre = "dc1",
                                 const std::string &group = "g")
    {
        auto caller = std::make_unique<Caller>();
        caller->connection = std::make_shared<Connection>(*database, caller->sink);
        caller->connection->open("");
        Wire::ToDatabase frame;
        frame.mutable_hello()->set_name("proxy");
        frame.mutable_hello()->set_group(group);
        frame.mutable_hello()->set_data_centre(dataCentre);
        caller->connection->receive(frame);
        return caller;
    }
    std::unique_ptr<Caller> openAndGreet(const std::string &dataCentre = "dc1")
    {
        auto caller = open(dataCentre);
        runUntil(*caller, 1);
        caller->sink.frames.clear();
        return caller;
    }
    void runUntil(const Caller &caller, std::size_t frames)
    {
        while (caller.sink.frames.size() < frames)
            context->run_one();
    }
    std::uint64_t send(Caller & caller, Wire::StatementKind kind, const std::string &text,
                       const std::string &transaction = {})
    {
        Wire::ToDatabase frame;
        frame.mutable_request()->set_correlation_id(++lastId);
        auto &statement = *frame.mutable_request()->mutable_statement();
        statement.set_kind(kind);
        statement.set_term(1);
        statement.set_text(text);
        statement.set_transaction(transaction);
        caller.connection->receive(frame);
        return lastId;
    }
    std::uint64_t query(Caller & caller, Core::LogMark mark = {}, std::uint32_t wait = 0)
    {
        Wire::ToDatabase frame;
        frame.mutable_request()->set_correlation_id(++lastId);
        auto &status = *frame.mutable_request()->mutable_status_query();
        status.mutable_at_least()->set_term(mark.term);
        status.mutable_at_least()->set_position(mark.position);
        status.set_wait_ms(wait);
        caller.connection->receive(frame);
        return lastId;
    }
    void fault(const std::string &json)
    {
        database->faults().apply(*StandIn::FaultCommand::create(json), {});
        database->faultsChanged();
    }
    std::uint64_t position()
    {
        return database->state().status().held.position;
    }
};

TEST(Connection, EndsWithItsReason)
{
    struct Row
    {
        std::string name;
        std::size_t before;
        std::string group;
        std::string fault;
        FrameSink::End end;
    };
    const std::vector<Row> rows{
        {"too many", 2, "g", "", FrameSink::End::TooManyConnections},
        {"another group", 0, "h", "", FrameSink::End::WrongGroup},
        {"refused", 0, "g", R"({"fault":"refuse"})", FrameSink::End::Refused},
    };
    for (const auto &row : rows) {
        start("a", [](auto &options) { options.maximumConnections = 2; });
        std::vector<std::unique_ptr<Caller>> others;
        for (std::size_t count = 0; count < row.before; ++count)
            others.push_back(open());
        if (!row.fault.empty())
            fault(row.fault);
        const auto caller = open("dc1", row.group);
        CHECK_TEXT(caller->sink.end == row.end, row.name.c_str());
        CHECK_TEXT(caller->sink.frames.empty(), row.name.c_str());
    }
}

TEST(Connection, ClosedConnectionsGiveTheirPlaceFree)
{
    start("a", [](auto &options) { options.maximumConnections = 1; });
    const auto first = openAndGreet();
    first->connection->close();
    LONGS_EQUAL(0, database->connectionCount());
    openAndGreet();
}

TEST(Connection, StatementsRunInOrderAndQueriesOvertakeThem)
{
    const auto caller = openAndGreet();
    const auto first = send(*caller, Wire::STATEMENT_KIND_WRITE, "append k 1");
    const auto second = send(*caller, Wire::STATEMENT_KIND_WRITE, "append k 2");
    const auto third = send(*caller, Wire::STATEMENT_KIND_READ, "get k");
    const auto status = query(*caller);
    runUntil(*caller, 4);
    const auto &frames = caller->sink.frames;
    LONGS_EQUAL(status, frames[0].answer().correlation_id());
    LONGS_EQUAL(first, frames[1].answer().correlation_id());
    LONGS_EQUAL(second, frames[2].answer().correlation_id());
    LONGS_EQUAL(third, frames[3].answer().correlation_id());
    STRCMP_EQUAL(R"({"key":"k","value":"12","position":2})", frames[3].answer().rows(0).c_str());
}

TEST(Connection, RequestsBeforeTheGreetingRunAfterIt)
{
    const auto caller = open();
    const auto id = query(*caller);
    runUntil(*caller, 2);
    CHECK(caller->sink.frames[0].has_hello());
    LONGS_EQUAL(id, caller->sink.frames[1].answer().correlation_id());
}

TEST(Connection, RequestsThatMakeNoSenseAreNotRun)
{
    const auto caller = openAndGreet();
    Wire::ToDatabase frame;
    frame.mutable_request()->set_correlation_id(7);
    caller->connection->receive(frame);
    send(*caller, static_cast<Wire::StatementKind>(99), "put k v");
    runUntil(*caller, 2);
    for (const auto &answer : caller->sink.frames) {
        LONGS_EQUAL(Wire::VERDICT_NOT_RUN, answer.answer().verdict());
        LONGS_EQUAL(Wire::REASON_BAD_STATEMENT, answer.answer().reason());
    }
}

TEST(Connection, StatementsWaitForASlotOrAreTurnedAway)
{
    start("a", [](auto &options) {
        options.slots = 1;
        options.maximumWaiting = 1;
    });
    const auto first = openAndGreet();
    const auto second = openAndGreet();
    const auto third = openAndGreet();
    send(*first, Wire::STATEMENT_KIND_WRITE, "append k 1");
    send(*second, Wire::STATEMENT_KIND_WRITE, "append k 2");
    send(*third, Wire::STATEMENT_KIND_WRITE, "append k 3");
    runUntil(*third, 1);
    LONGS_EQUAL(Wire::REASON_OVERLOADED, third->sink.frames[0].answer().reason());
    LONGS_EQUAL(1, third->sink.frames[0].answer().status().queued());
    runUntil(*first, 1);
    runUntil(*second, 1);
    LONGS_EQUAL(2, second->sink.frames[0].answer().status().held().position());
}

TEST(Connection, WaitsForAMarkUntilItIsHeld)
{
    start("b", [](auto &) {});
    const auto caller = openAndGreet();
    query(*caller, {1, 1}, 60'000);
    context->poll();
    CHECK(caller->sink.frames.empty());
    const StandIn::ReplicationBatch batch{1, 0, {{{1, 1}, {"put k v"}}}, false, 1};
    CHECK(database->state().receive(batch));
    database->stateChanged();
    runUntil(*caller, 1);
    LONGS_EQUAL(1, caller->sink.frames[0].answer().status().held().position());
}

TEST(Connection, AnswerFaultsLeaveTheEffect)
{
    struct Row
    {
        std::string fault;
        std::vector<std::size_t> answers; ///< Which of two queries each frame answers.
    };
    const std::vector<Row> rows{
        {R"({"fault":"drop_answers","count":1})", {1}},
        {R"({"fault":"duplicate_answers","count":1})", {0, 0, 1}},
        {R"({"fault":"reorder_answers","count":1})", {1, 0}},
    };
    for (const auto &row : rows) {
        const auto caller = openAndGreet();
        fault(row.fault);
        const std::vector<std::uint64_t> ids{query(*caller), query(*caller)};
        runUntil(*caller, row.answers.size());
        LONGS_EQUAL(row.answers.size(), caller->sink.frames.size());
        for (std::size_t index = 0; index < row.answers.size(); ++index)
            LONGS_EQUAL(ids[row.answers[index]],
                        caller->sink.frames[index].answer().correlation_id());
    }
}

TEST(Connection, LostAnswerMeansThatTheWriteRan)
{
    const auto caller = openAndGreet();
    fault(R"({"fault":"drop_answers","count":1})");
    send(*caller, Wire::STATEMENT_KIND_WRITE, "put k v");
    while (position() == 0)
        context->run_one();
    CHECK(caller->sink.frames.empty());
    LONGS_EQUAL(1, database->trail().lastNumber());
}

TEST(Connection, CutAndSilentConnectionsRunNothing)
{
    struct Row
    {
        std::string name;
        std::function<void()> disturb;
    };
    const std::vector<Row> rows{
        {"cut",
         [this] {
             fault(R"({"fault":"cut","from":"dc2"})");
         }},
        {"silent",
         [this] {
             database->silenceConnections();
         }},
    };
    for (const auto &row : rows) {
        start("a", [](auto &) {});
        const auto disturbed = openAndGreet("dc2");
        row.disturb();
        send(*disturbed, Wire::STATEMENT_KIND_WRITE, "put k lost");
        const auto fresh = openAndGreet("dc1");
        send(*fresh, Wire::STATEMENT_KIND_WRITE, "put k v");
        runUntil(*fresh, 1);
        LONGS_EQUAL_TEXT(1, position(), row.name.c_str());
        CHECK_TEXT(disturbed->sink.frames.empty(), row.name.c_str());
    }
}

TEST(Connection, AnswersOfStatementsUnderWayGetLostInACut)
{
    const auto caller = openAndGreet("dc2");
    send(*caller, Wire::STATEMENT_KIND_WRITE, "put k v");
    fault(R"({"fault":"cut","from":"dc2"})");
    while (position() == 0)
        context->run_one();
    CHECK(caller->sink.frames.empty());
}

TEST(Connection, CutNamesTheDatabasesOfThatDataCentre)
{
    CHECK(!database->isPeerCut(Core::DatabaseName("b")));
    fault(R"({"fault":"cut","from":"dc2"})");
    CHECK(database->isPeerCut(Core::DatabaseName("b")));
}

TEST(Connection, EndOfTheStreamRollsBack)
{
    const auto caller = openAndGreet();
    send(*caller, Wire::STATEMENT_KIND_BEGIN, "", "t");
    send(*caller, Wire::STATEMENT_KIND_WRITE, "put k v", "t");
    runUntil(*caller, 2);
    // It has its slot already when the stream ends, and must not run outside its transaction.
    send(*caller, Wire::STATEMENT_KIND_WRITE, "put k w");
    caller->connection->close();
    const auto other = openAndGreet();
    send(*other, Wire::STATEMENT_KIND_READ, "get k");
    runUntil(*other, 1);
    LONGS_EQUAL(0, other->sink.frames[0].answer().rows_size());
    LONGS_EQUAL(0, position());
}

TEST(Connection, JournalOutlivesARestart)
{
    const std::string path = std::filesystem::temp_directory_path()
        / ("chervilpin-upstream-" + std::to_string(::getpid()));
    const auto useJournal = [&path](Options &options) {
        options.journalPath = path;
    };
    start("a", useJournal);
    auto caller = openAndGreet();
    send(*caller, Wire::STATEMENT_KIND_WRITE, "put k two\nlines");
    runUntil(*caller, 1);
    // Its timer belongs to the process that is about to end.
    caller.reset();
    CHECK(database->state().fence({3}).verdict == Upstream::Verdict::Done);
    database->stateChanged();

    start("a", useJournal);
    LONGS_EQUAL(3, database->state().status().knownTerm);
    CHECK((database->state().status().held == Core::LogMark{1, 1}));
    CHECK(database->state().status().role == Upstream::Role::Replica);

    std::ofstream(path, std::ios::app) << "{}\n";
    Options options;
    options.journalPath = path;
    CHECK(!Database::create(*context, options).has_value());
    std::filesystem::remove(path);
}

TEST(Connection, AuditTellsConnectionTransactionAndKeys)
{
    database->secrets().registerSecret("key-1");
    const auto caller = open();
    send(*caller, Wire::STATEMENT_KIND_BEGIN, "", "t");
    send(*caller, Wire::STATEMENT_KIND_WRITE, "put k key-1", "t");
    runUntil(*caller, 3);
    const auto entries = database->trail().toJson(1);
    LONGS_EQUAL(1, entries.size());
    const auto &entry = entries[0].as_object();
    STRCMP_EQUAL("proxy", entry.at("proxy").as_string().c_str());
    STRCMP_EQUAL("t", entry.at("open_transaction").as_string().c_str());
    STRCMP_EQUAL("done", entry.at("verdict").as_string().c_str());
    CHECK(entry.at("key_seen").as_bool());
    LONGS_EQUAL(1, database->secrets().toJson().size());
}
