#include <Tests/Configuration/Fleet.h>

#include <Configuration/Credential.h>
#include <Operator/Handler.h>

#include <boost/json/parse.hpp>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Operator;
using namespace Chervilpin::Testing;
namespace json = boost::json;

namespace {

constexpr std::uint64_t seed = 9;
constexpr const char *salt = "00112233445566778899aabbccddeeff";
const std::string bootstrap = "Bearer cvo_root_secret";

std::string body(const std::string &changes, const std::string &more = "")
{
    return R"({"nonce":"n1","changes":[)" + changes + "]" + more + "}";
}

const std::string soundHalf = R"({"kind":"Half","name":"h","spec":{"caller_endpoint":"http://x"}})";
const std::string soundTeam =
    R"({"kind":"Team","name":"t","spec":{"half":"h","rate_per_second":10,"burst":20}})";
const std::string danglingTeam =
    R"({"kind":"Team","name":"t","spec":{"half":"nowhere","rate_per_second":10,"burst":20}})";
const std::string staleTeam =
    R"({"kind":"Team","name":"t","spec":{"half":"h","rate_per_second":99,"burst":20},"resource_version":7})";

} // namespace

TEST_GROUP(Handler)
{
    Fleet fleet{seed};
    Membership::Manager membership{{Core::NodeName("a"), Core::DataCentreName("dc"), "10.0.0.1:1"},
                                   seed};
    Configuration::Manager *manager = nullptr;
    std::unique_ptr<Handler> handler;
    RequestId lastId = 0;
    Configuration::ProposalId proposal = 0;
    Core::Instant now{5'000};

    void setup() override
    {
        manager = &fleet.add("a");
        fleet.run(Core::Duration(2'000));
        Settings settings;
        settings.bootstrap = {salt, Configuration::credentialDigest(salt, "secret").value_or("")};
        handler = std::make_unique<Handler>(settings, *manager, membership, seed);
    }

    /// The answer to a request, once the platform has answered, or status 0 if there is none yet.
    OperatorAnswer ask(Method method, const std::string &target, const std::string &text = "",
                       const std::string &authorization = bootstrap)
    {
        const Actions actions =
            handler->handle({++lastId, method, target, authorization, text}, now);
        LONGS_EQUAL(actions.empty() ? 0 : 1, actions.size());
        if (actions.empty())
            return {0, 0, ""};
        if (const auto *answer = std::get_if<OperatorAnswer>(&actions.front()))
            return *answer;
        proposal = std::get<Propose>(actions.front()).proposal.id;
        fleet.propose("a", std::get<Propose>(actions.front()).proposal);
        fleet.run(Core::Duration(9'000));
        return finish();
    }

    OperatorAnswer finish()
    {
        const Configuration::ProposalAnswer *told = fleet.answer(proposal);
        CHECK(told != nullptr);
        const Actions actions = handler->proposalAnswered(*told, now);
        LONGS_EQUAL(1, actions.size());
        return std::get<OperatorAnswer>(actions.front());
    }

    void declare()
    {
        LONGS_EQUAL(200,
                    ask(Method::Post, "/v1/changes", body(soundHalf + "," + soundTeam)).status);
    }
};

TEST(Handler, RequestsGetTheStatusAndFieldThatTheContractNames)
{
    declare();
    struct Row
    {
        Method method;
        const char *target;
        std::string text;
        unsigned status;
        const char *part; ///< Of the answer's body.
    };
    const Row rows[] = {
        {Method::Get, "/v1/resources", "", 200, R"("name":"t")"},
        {Method::Get, "/v1/resources?kind=Team", "", 200, R"("rate_per_second":10)"},
        {Method::Get, "/v1/resources?kind=Tean", "", 400, "unknown kind"},
        {Method::Get, "/v1/resources/Team/t", "", 200, R"("observed_generation":1)"},
        {Method::Get, "/v1/resources/team/t", "", 200, R"("reason":"AllMembers")"},
        {Method::Get, "/v1/resources/Team/u", "", 404, "doesn't exist"},
        {Method::Get, "/v1/resources/Tean/t", "", 400, "unknown kind"},
        {Method::Post, "/v1/resources/Team/t", "", 405, "method"},
        {Method::Get, "/v1/elsewhere", "", 404, "no such path"},
        {Method::Get, "/elsewhere", "", 404, "/v1/"},
        {Method::Get, "nonsense", "", 400, "path"},
        {Method::Get, "/v1/status", "", 200, R"("revision":1)"},
        {Method::Get, "/v1/watch?since=0", "", 200, R"("revision":1)"},
        {Method::Get, "/v1/watch?since=x", "", 400, "since"},
        {Method::Put, "/v1/resources/Team/t", "{", 400, "JSON"},
        {Method::Put, "/v1/resources/Team/t", R"({"spec":{"half":"h"}})", 400,
         "Team/t.spec.rate_per_second"},
        {Method::Put, "/v1/resources/Team/T", R"({"spec":{}})", 400, "not a name"},
        {Method::Post, "/v1/changes", body(danglingTeam), 400, "Half/nowhere, which doesn't exist"},
        {Method::Post, "/v1/changes", body(staleTeam), 409, "Team/t.resource_version"},
        {Method::Post, "/v1/changes", body(""), 400, "at least one change"},
        {Method::Post, "/v1/changes", R"({"changes":[]})", 400, "nonce"},
        {Method::Post, "/v1/changes", body(soundHalf, R"(,"extra":1)"), 400, "known field"},
        {Method::Post, "/v1/changes", std::string(600'000, ' '), 400, "more than"},
        {Method::Delete, "/v1/resources/Half/h", "", 400, "Half/h, which doesn't exist"},
        {Method::Delete, "/v1/resources/Team/t?resource_version=9", "", 409, "resource_version"},
        {Method::Delete, "/v1/resources/Team/t?resource_version=x", "", 400, "resource_version"},
        {Method::Delete, "/v1/resources/Team/u", "", 404, "doesn't exist"},
    };
    for (const Row &row : rows) {
        const OperatorAnswer answer = ask(row.method, row.target, row.text);
        LONGS_EQUAL_TEXT(row.status, answer.status, (row.target + row.text).c_str());
        STRCMP_CONTAINS_TEXT(row.part, answer.body.c_str(), row.target);
    }
    CHECK(fleet.allAt(1));
}

TEST(Handler, OnlyOperatorsWithValidCredentialsAreServed)
{
    const auto made = Configuration::credentialDigest(salt, "other").value_or("");
    const std::string anna = R"({"kind":"Operator","name":"anna","spec":{"salt":")"
        + std::string(salt) + R"(","digest":")" + made + R"("}})";
    const std::string withdrawn = R"({"kind":"Operator","name":"ben","spec":{"salt":")"
        + std::string(salt) + R"(","digest":")" + made + R"(","is_withdrawn":true}})";
    LONGS_EQUAL(200, ask(Method::Post, "/v1/changes", body(anna + "," + withdrawn)).status);
    struct Row
    {
        const char *authorization;
        unsigned status;
    };
    const Row rows[] = {
        {"Bearer cvo_anna_other", 200}, {"Bearer cvo_anna_wrong", 401},
        {"Bearer cvo_ben_other", 401},  {"Bearer cvo_root_secret", 401},
        {"Bearer cvp_anna_other", 401}, {"Basic cvo_anna_other", 401},
        {"Bearer cvo_anna", 401},       {"", 401},
    };
    for (const Row &row : rows) {
        const auto answer = ask(Method::Get, "/v1/resources", "", row.authorization);
        LONGS_EQUAL_TEXT(row.status, answer.status, row.authorization);
    }
}

TEST(Handler, ADryRunChangesNothing)
{
    const auto answer =
        ask(Method::Post, "/v1/changes", body(soundHalf + "," + soundTeam, R"(,"dry_run":true)"));
    LONGS_EQUAL(200, answer.status);
    STRCMP_CONTAINS(R"("effect":"created")", answer.body.c_str());
    CHECK(fleet.allAt(0));
}

TEST(Handler, ARetryWithTheSameNonceIsAnsweredLikeTheFirst)
{
    declare();
    declare();
    CHECK(fleet.allAt(1));
    const std::string remove = "/v1/resources/Team/t?nonce=n2";
    LONGS_EQUAL(200, ask(Method::Delete, remove).status);
    LONGS_EQUAL(200, ask(Method::Delete, remove).status);
    CHECK(fleet.allAt(2));
}

TEST(Handler, ThePlatformsFaultsAreToldByStatus)
{
    struct Row
    {
        StoreFault fault;
        unsigned status;
    };
    const Row rows[] = {{StoreFault::Refuse, 503}, {StoreFault::LoseCall, 504}};
    for (const Row &row : rows) {
        fleet.fault = [&](const std::string &, const Platform::CallBody &) {
            return row.fault;
        };
        const auto answer = ask(Method::Post, "/v1/changes", body(soundHalf));
        LONGS_EQUAL(row.status, answer.status);
    }
}

TEST(Handler, AWatchIsAnsweredByTheNextRevisionOrItsEnd)
{
    declare();
    LONGS_EQUAL(0, ask(Method::Get, "/v1/watch?since=1&wait_ms=500").status);
    CHECK(handler->tick(now + Core::Duration(499)).empty());
    LONGS_EQUAL(1, handler->tick(now + Core::Duration(500)).size());
    LONGS_EQUAL(0, ask(Method::Get, "/v1/watch?since=1&kind=Team").status);
    CHECK(handler->configurationApplied(now).empty());
    const std::string change = R"({"spec":{"half":"h","rate_per_second":11,"burst":20}})";
    LONGS_EQUAL(200, ask(Method::Put, "/v1/resources/Team/t", change).status);
    const Actions woken = handler->configurationApplied(now);
    LONGS_EQUAL(1, woken.size());
    STRCMP_CONTAINS(R"("rate_per_second":11)", std::get<OperatorAnswer>(woken[0]).body.c_str());
    CHECK(handler->tick(now + Core::Duration(60'000)).empty());
}

TEST(Handler, ConditionsKeepTheTimeOfTheirLastTurn)
{
    declare();
    const Configuration::ResourceId id{Configuration::Kind::Team, "t"};
    handler->setCondition(id, {"Served", false, "Starting", "not yet"}, now);
    now = now + Core::Duration(70);
    handler->setCondition(id, {"Served", false, "StillStarting", "not yet"}, now);
    STRCMP_CONTAINS(R"("reason":"StillStarting","message":"not yet","since_ms":70)",
                    ask(Method::Get, "/v1/resources/Team/t").body.c_str());
    handler->setCondition(id, {"Served", true, "Serving", "now"}, now);
    STRCMP_CONTAINS(R"("reason":"Serving","message":"now","since_ms":0)",
                    ask(Method::Get, "/v1/resources/Team/t").body.c_str());
}
