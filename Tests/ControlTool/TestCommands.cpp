#include <Tests/ControlTool/ScriptedServer.h>
#include <Utilities/chervilpinctl/Commands.h>
#include <Utilities/chervilpinctl/Secret.h>

#include <Configuration/Credential.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Control;
using namespace Chervilpin::Testing;

namespace {

constexpr std::chrono::milliseconds timeout(5'000);
constexpr std::chrono::milliseconds retryPause(1);

const std::string listing = R"({"revision":4,"resources":[]})";
const std::string accepted =
    R"({"revision":5,"effects":[{"effect":"created","kind":"Team","name":"t","after":{"burst":1}}]})";
const std::string refused = R"({"error":{"code":"invalid_argument","message":"not valid","errors":[
    {"field":"Team/t.spec.burst","problem":"is too large","remedy":"lower it"}]}})";
const std::string failed = R"({"error":{"code":"x","message":"sorry","errors":[]}})";

constexpr const char *teamFile = R"([[resource]]
kind = "Team"
name = "t"

[resource.spec]
half = "h"
rate_per_second = 10
burst = 20
)";

/// A file that is gone at the end of the test.
class TemporaryFile
{
public:
    TemporaryFile(const std::string &ending, const std::string &text)
        : name_("chervilpinctl-test" + ending)
    {
        std::ofstream(name_) << text;
    }
    ~TemporaryFile() { std::remove(name_.c_str()); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;
    [[nodiscard]] const std::string &name() const { return name_; }

private:
    std::string name_;
};

} // namespace

TEST_GROUP(Commands)
{
    std::ostringstream out;
    std::ostringstream err;
    Console console{out, err, Output::Table};
    std::vector<std::string> bodies;

    ExitCode apply(const std::vector<ScriptedAnswer> &script, const std::string &file)
    {
        ScriptedServer server(script);
        const Client client({server.address()}, "cvo_anna_x", timeout, retryPause);
        const ExitCode code = Commands(client, console).apply({{file}, "", false});
        server.finish();
        bodies = server.bodies();
        return code;
    }
};

TEST(Commands, ExitCodesFollowTheAnswers)
{
    const TemporaryFile file(".toml", teamFile);
    struct Row
    {
        const char *name;
        std::vector<ScriptedAnswer> script;
        ExitCode code;
    };
    const Row rows[] = {
        {"accepted", {{200, listing}, {200, accepted}}, ExitCode::Done},
        {"refused", {{200, listing}, {400, refused}}, ExitCode::Refused},
        {"not an operator", {{401, failed}}, ExitCode::Refused},
        {"conflict", {{200, listing}, {409, failed}}, ExitCode::Conflict},
        {"platform out", {{200, listing}, {503, failed}}, ExitCode::Unreachable},
        {"answer lost, then accepted",
         {{200, listing}, {0, ""}, {504, failed}, {200, accepted}},
         ExitCode::Done},
        {"answer lost for good",
         {{200, listing}, {0, ""}, {0, ""}, {0, ""}, {0, ""}},
         ExitCode::Unknown},
        {"outcome unknown",
         {{200, listing}, {504, failed}, {504, failed}, {504, failed}, {504, failed}},
         ExitCode::Unknown},
        {"answer is no JSON, then conflict",
         {{200, listing}, {200, "<html>"}, {409, failed}},
         ExitCode::Conflict},
        {"lost read", {{0, ""}}, ExitCode::Unreachable},
    };
    for (const Row &row : rows)
        LONGS_EQUAL_TEXT(static_cast<int>(row.code),
                         static_cast<int>(apply(row.script, file.name())), row.name);
}

TEST(Commands, RetriesCarryTheSameNonceAndTheRevisionThatWasRead)
{
    const TemporaryFile file(".toml", teamFile);
    CHECK(apply({{200, listing}, {0, ""}, {200, accepted}}, file.name()) == ExitCode::Done);
    LONGS_EQUAL(3, bodies.size());
    STRCMP_EQUAL(bodies[1].c_str(), bodies[2].c_str());
    STRCMP_CONTAINS(R"("base_revision":4)", bodies[1].c_str());
}

TEST(Commands, WithoutAServerNothingWasChanged)
{
    const TemporaryFile file(".toml", teamFile);
    std::string address;
    {
        ScriptedServer gone({});
        address = gone.address();
    }
    const Client client({address, "nonsense"}, "cvo_anna_x", timeout, retryPause);
    CHECK(Commands(client, console).apply({{file.name()}, "", false}) == ExitCode::Unreachable);
}

TEST(Commands, ErrorsNameFileLineFieldAndRemedy)
{
    struct Row
    {
        const char *ending;
        std::string text;
        ExitCode code;
        const char *message;
    };
    const std::string unknown = "[[resource]]\nkind = \"Team\"\nname = \"t\"\n"
                                "spec.half = \"h\"\nspec.rate_per_second = 1\nspec.brust = 2\n";
    const std::string database =
        "[[resource]]\nkind=\"UpstreamGroup\"\nname=\"g\"\n[resource.spec]\n"
        "half=\"h\"\nslots=1\nmax_connections=1\n[[resource.spec.databases]]"
        "\nname=\"d\"\ndata_centre=\"a\"\naddress=\"db:1\"\n";
    const Row rows[] = {
        {".toml", "kind = ", ExitCode::Usage, ".toml:1: is not TOML"},
        {".toml", "x = 1\n", ExitCode::Usage, ".toml:1: holds no list of resources (write each"},
        {".json", "{", ExitCode::Usage, ".json: is not JSON"},
        {".toml", "[[resource]]\nname = \"t\"\n", ExitCode::Refused,
         ".toml:1: changes[0].kind: is missing (add the field)"},
        {".toml", "[[resource]]\nkind = \"Tean\"\nname = \"t\"\n", ExitCode::Refused,
         ".toml:2: changes[0].kind: is not a known kind: Tean (use Team,"},
        {".toml", unknown, ExitCode::Refused,
         ".toml:6: Team/t.spec.brust: is not a known field (remove it"},
        {".toml", database, ExitCode::Refused,
         ".toml:11: UpstreamGroup/g.spec.databases[0].address: is not an IP number"},
        {".json",
         "[\n{\"kind\":\"Half\",\"name\":\"h\",\"spec\":{\"caller_endpoint\":\"x\"}},\n"
         "{\"kind\":\"Team\",\"name\":\"t\",\"spec\":{}}]",
         ExitCode::Refused, ".json:3: Team/t.spec.half: is missing (add the field)"},
    };
    for (const Row &row : rows) {
        const TemporaryFile file(row.ending, row.text);
        err.str("");
        const Client client({}, "", timeout, retryPause);
        const ExitCode code = Commands(client, console).apply({{file.name()}, "", false});
        LONGS_EQUAL_TEXT(static_cast<int>(row.code), static_cast<int>(code), row.message);
        STRCMP_CONTAINS_TEXT(row.message, err.str().c_str(), err.str().c_str());
    }
}

TEST(Commands, ErrorsOfTheServerAreGivenTheirLine)
{
    const TemporaryFile file(".toml", teamFile);
    CHECK(apply({{200, listing}, {400, refused}}, file.name()) == ExitCode::Refused);
    STRCMP_CONTAINS(".toml:8: Team/t.spec.burst: is too large (lower it)", err.str().c_str());
}

TEST(Commands, AMissingFileIsAUsageError)
{
    const Client client({}, "", timeout, retryPause);
    CHECK(Commands(client, console).apply({{"no-such-file.toml"}, "", false}) == ExitCode::Usage);
}

TEST(Commands, AKeyIsShownOnceAndOnlyItsDigestIsSent)
{
    ScriptedServer server({{200, accepted}});
    const Client client({server.address()}, "cvo_anna_x", timeout, retryPause);
    CHECK(Commands(client, console).createKey("brokers", "k1") == ExitCode::Done);
    server.finish();
    std::string text = out.str();
    text.pop_back();
    const auto credential = Configuration::parseCredential(Configuration::keyPrefix, text);
    CHECK(credential.has_value());
    CHECK(credential->name == "k1");
    const std::string &sent = server.bodies().front();
    CHECK(sent.find(std::string(credential->secret)) == std::string::npos);
    const std::size_t place = sent.find(R"("salt":")") + 8;
    const auto digest = Configuration::credentialDigest(sent.substr(place, 32), credential->secret);
    STRCMP_CONTAINS(digest->c_str(), sent.c_str());
}

TEST(Commands, ARefusedKeyIsNotShown)
{
    ScriptedServer server({{400, refused}});
    const Client client({server.address()}, "cvo_anna_x", timeout, retryPause);
    CHECK(Commands(client, console).createKey("brokers", "k1") == ExitCode::Refused);
    STRCMP_EQUAL("", out.str().c_str());
}

TEST(Commands, TablesHideDigests)
{
    const std::string key = R"({"revision":1,"resources":[{"kind":"Key","name":"k1",
        "resource_version":1,"spec":{"team":"t","salt":"aa","digest":"bb","is_withdrawn":false}}]})";
    ScriptedServer server({{200, key}});
    const Client client({server.address()}, "cvo_anna_x", timeout, retryPause);
    CHECK(Commands(client, console).get("Key", "") == ExitCode::Done);
    STRCMP_CONTAINS("TEAM", out.str().c_str());
    CHECK(out.str().find("bb") == std::string::npos);
}
