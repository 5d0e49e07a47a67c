#include "HttpClient.h"

#include <Services/PlatformStandIn/PlatformService.h>

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::PlatformStandIn;

// All is made in setup() and ended in teardown(), between which the leak check looks.
TEST_GROUP(PlatformService)
{
    std::unique_ptr<boost::asio::io_context> context;
    std::unique_ptr<PlatformService> service;
    std::unique_ptr<HttpClient> client;

    void setup() override
    {
        start({});
    }
    void start(const std::string &journalPath)
    {
        client.reset();
        service.reset();
        context = std::make_unique<boost::asio::io_context>();
        PlatformService::Settings settings;
        settings.listenAddress = "127.0.0.1:0";
        settings.journalPath = journalPath;
        auto created = PlatformService::create(*context, settings);
        CHECK(created.has_value());
        service = std::move(*created);
        client = connect();
    }
    void teardown() override
    {
        client.reset();
        service.reset();
        context.reset();
    }
    std::unique_ptr<HttpClient> connect()
    {
        return std::make_unique<HttpClient>(*context, service->port());
    }
    void fault(const std::string &json)
    {
        LONGS_EQUAL(200, client->call({"POST", "/faults", "", json}).status);
    }
    HttpReply put(HttpClient & from, const std::string &version, const std::string &value,
                  const std::string &dataCentre = {})
    {
        return from.call({"PUT", "/objects/k", version, value, dataCentre});
    }
    std::string body(const std::string &target)
    {
        return client->call({"GET", target}).body;
    }
};

TEST(PlatformService, AnswersEachCallByTheContract)
{
    struct Row
    {
        std::string name;
        HttpCall call;
        unsigned status;
        std::string body; ///< Not compared if empty.
    };
    const std::string megabyte(1'048'576, 'v');
    // In order, on one store and one connection.
    const std::vector<Row> rows{
        {"missing object", {"GET", "/objects/a/b"}, 404, R"({"error":"no such object"})"},
        {"creation",
         {"PUT", "/objects/a/b", "0", "x\"y"},
         200,
         R"({"key":"a/b","version":1,"value":"x\"y"})"},
        {"get", {"GET", "/objects/a/b"}, 200, R"({"key":"a/b","version":1,"value":"x\"y"})"},
        {"conflict",
         {"PUT", "/objects/a/b", "0", "z"},
         409,
         R"({"key":"a/b","version":1,"value":"x\"y"})"},
        {"conflict with nothing",
         {"PUT", "/objects/c", "1", "z"},
         409,
         R"({"key":"c","version":0,"value":""})"},
        {"no If-Version", {"PUT", "/objects/c", "", "z"}, 400, ""},
        {"garbled If-Version", {"PUT", "/objects/c", "1x", "z"}, 400, ""},
        {"negative If-Version", {"DELETE", "/objects/c", "-1"}, 400, ""},
        {"no UTF-8", {"PUT", "/objects/c", "0", "\xff\xfe"}, 400, ""},
        {"no key", {"PUT", "/objects", "0", "z"}, 400, ""},
        {"escaped key",
         {"PUT", "/objects/d%20e", "0", ""},
         200,
         R"({"key":"d e","version":1,"value":""})"},
        {"path that can't be read", {"GET", "/objects/%zz"}, 400, ""},
        {"unknown path", {"GET", "/nothing"}, 404, ""},
        {"unknown method", {"POST", "/objects/a/b"}, 405, ""},
        {"longest value", {"PUT", "/objects/long", "0", megabyte}, 200, ""},
        {"list",
         {"GET", "/list?prefix=a/"},
         200,
         R"({"revision":3,"objects":[{"key":"a/b","version":1,"value":"x\"y"}]})"},
        {"watch of what has changed",
         {"GET", "/watch?prefix=a/&since=0&wait_ms=60000"},
         200,
         R"({"revision":3,"objects":[{"key":"a/b","version":1,"value":"x\"y"}]})"},
        {"watch without a change",
         {"GET", "/watch?prefix=a/&since=3&wait_ms=0"},
         200,
         R"({"revision":3,"objects":[]})"},
        {"watch without since", {"GET", "/watch?prefix=a/&wait_ms=0"}, 400, ""},
        {"watch for too long", {"GET", "/watch?prefix=a/&since=0&wait_ms=60001"}, 400, ""},
        {"delete of another version",
         {"DELETE", "/objects/a/b", "2"},
         409,
         R"({"key":"a/b","version":1,"value":"x\"y"})"},
        {"delete", {"DELETE", "/objects/a/b", "1"}, 200, R"({"key":"a/b","version":0,"value":""})"},
        {"watch of a deletion",
         {"GET", "/watch?prefix=a/&since=3&wait_ms=60000"},
         200,
         R"({"revision":4,"objects":[{"key":"a/b","version":0,"value":""}]})"},
        {"VM",
         {"PUT", "/vms/n", "", R"({"data_centre":"d","peer_address":"1.2.3.4:5"})"},
         200,
         "{}"},
        {"VM without its data centre", {"PUT", "/vms/m", "", R"({"peer_address":"x"})"}, 400, ""},
        {"VM that is no JSON", {"PUT", "/vms/m", "", "{"}, 400, ""},
        {"VMs",
         {"GET", "/vms"},
         200,
         R"({"vms":[{"name":"n","data_centre":"d","peer_address":"1.2.3.4:5","leaving":false}]})"},
        {"unknown fault", {"POST", "/faults", "", R"({"fault":"x"})"}, 400, ""},
        {"secret without a text", {"POST", "/audit/secrets", "", "{}"}, 400, ""},
    };
    for (const auto &row : rows) {
        const auto reply = client->call(row.call);
        LONGS_EQUAL_TEXT(row.status, reply.status, row.name.c_str());
        if (!row.body.empty())
            STRCMP_EQUAL_TEXT(row.body.c_str(), reply.body.c_str(), row.name.c_str());
    }
}

TEST(PlatformService, RefusesABodyBeyondAMegabyte)
{
    const auto reply = put(*client, "0", std::string(1'048'577, 'v'));
    LONGS_EQUAL(413, reply.status);
    client = connect();
    LONGS_EQUAL(404, client->call({"GET", "/objects/k"}).status);
}

TEST(PlatformService, WatchWakesOnAChangeBelowItsPrefix)
{
    const auto watcher = connect();
    watcher->send({"GET", "/watch?prefix=k&since=0&wait_ms=60000"});
    LONGS_EQUAL(200, client->call({"PUT", "/objects/other", "0", "v"}).status);
    context->poll();
    CHECK(!watcher->isAnswered());
    LONGS_EQUAL(200, put(*client, "0", "v").status);
    STRCMP_EQUAL(R"({"revision":2,"objects":[{"key":"k","version":1,"value":"v"}]})",
                 watcher->wait().body.c_str());
}

TEST(PlatformService, LostAnswerMeansThatTheChangeWasMade)
{
    const auto loser = connect();
    fault(R"({"fault":"drop_answers","count":1})");
    loser->send({"PUT", "/objects/k", "0", "v"});
    while (body("/health").find(R"("revision":1)") == std::string::npos) { }
    context->poll();
    CHECK(!loser->isAnswered());
    STRCMP_EQUAL(R"({"key":"k","version":1,"value":"v"})", put(*client, "0", "w").body.c_str());
}

TEST(PlatformService, CutAndSilentCallersChangeNothing)
{
    for (const auto *json :
         {R"({"fault":"cut","from":"dc2"})", R"({"fault":"silence_connections"})"}) {
        fault(R"({"fault":"heal"})");
        const auto disturbed = connect();
        LONGS_EQUAL(404, disturbed->call({"GET", "/objects/k"}).status);
        fault(json);
        disturbed->send({"PUT", "/objects/k", "0", "lost", "dc2"});
        client = connect();
        LONGS_EQUAL(404, client->call({"GET", "/objects/k", "", "", "dc1"}).status);
        context->poll();
        CHECK_TEXT(!disturbed->isAnswered(), json);
        LONGS_EQUAL_TEXT(404, client->call({"GET", "/objects/k"}).status, json);
    }
}

TEST(PlatformService, RefusedCallsChangeNothing)
{
    fault(R"({"fault":"refuse"})");
    LONGS_EQUAL(503, put(*client, "0", "v").status);
    fault(R"({"fault":"heal"})");
    LONGS_EQUAL(404, client->call({"GET", "/objects/k"}).status);
}

TEST(PlatformService, ReadsCanShowAnOlderState)
{
    put(*client, "0", "first");
    put(*client, "1", "second");
    fault(R"({"fault":"older_version","count":1})");
    STRCMP_EQUAL(R"({"key":"k","version":1,"value":"first"})", body("/objects/k").c_str());
    // Writes go by what is there now.
    LONGS_EQUAL(409, put(*client, "1", "third").status);
    LONGS_EQUAL(200, put(*client, "2", "third").status);
}

TEST(PlatformService, JournalOutlivesARestart)
{
    const auto path = std::filesystem::temp_directory_path()
        / ("chervilpin-platform-" + std::to_string(::getpid()));
    start(path);
    put(*client, "0", "first\nline");
    put(*client, "1", "second");
    // As left by a process that died while it wrote.
    std::ofstream(path, std::ios::app) << R"({"key":"k","ver)";
    start(path);
    STRCMP_EQUAL(R"({"key":"k","version":2,"value":"second"})", body("/objects/k").c_str());
    put(*client, "2", "third");
    start(path);
    STRCMP_EQUAL(R"({"key":"k","version":3,"value":"third"})", body("/objects/k").c_str());
    std::filesystem::remove(path);
}

TEST(PlatformService, CountsCallsAndSeesSecrets)
{
    LONGS_EQUAL(200, client->call({"POST", "/audit/secrets", "", R"({"secret":"key-1"})"}).status);
    put(*client, "0", "holds key-1");
    const auto audit = body("/audit?since=0");
    STRCMP_CONTAINS(R"("next":1,)", audit.c_str());
    STRCMP_CONTAINS(R"("method":"PUT","path":"objects/k")", audit.c_str());
    STRCMP_CONTAINS(R"("key_seen":[{"after_entry":1,"where":"body"}])", audit.c_str());
}
