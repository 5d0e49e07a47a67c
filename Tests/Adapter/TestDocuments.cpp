#include <platform/Documents.h>
#include <platform/Store.h>

#include <CppUTest/TestHarness.h>

#include <boost/json/parse.hpp>
#include <string>

using namespace Chervilpin;
using namespace Chervilpin::Adapter;

namespace {

constexpr std::string_view entryText =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":5,)"
    R"("state":"ready","coldLeftMs":0,"dbRole":"replica","sequence":4,"born":1700000000000})";

constexpr std::string_view documentText =
    R"({"version":7,"routes":[{"name":"r","host":"db","pathPrefix":"/","routeType":"bounded_staleness",)"
    R"("timeoutMs":3000,"targetLatencyMs":800,"priority":2,"service":"s","maxStalenessMs":1500,)"
    R"("authExempt":false}],"services":[{"name":"s","maxConns":33,"syncReplicas":0}],)"
    R"("limits":{"txIdleMs":2500},)"
    R"("tenants":[{"name":"t","apiKeys":["k1","k2"],"ratePerS":127,"burstSize":130}]})";

std::string replaced(std::string_view text, std::string_view from, std::string_view to)
{
    std::string result(text);
    const auto at = result.find(from);
    CHECK(at != std::string::npos);
    return result.replace(at, from.size(), to);
}

Core::ErrorOr<Http::Response> response(unsigned status, std::string body)
{
    Http::Response result;
    result.status = status;
    result.body = std::move(body);
    return result;
}

} // namespace

TEST_GROUP(Documents){};

TEST(Documents, ValidEntriesAreDecoded)
{
    const auto entry = readDatabaseEntry("i-1", boost::json::parse(entryText));
    CHECK(entry.has_value());
    STRCMP_EQUAL("s", entry->group.value().c_str());
    LONGS_EQUAL(5, entry->slots);
    CHECK(entry->role == Sessions::DatabaseRole::Replica);
}

TEST(Documents, InvalidEntriesAreRejected)
{
    const std::pair<const char *, const char *> changes[] = {
        {"\"ready\"", "\"sleeping\""},
        {"\"replica\"", "\"king\""},
        {"\"slots\":5,", ""},
        {"\"slots\":5", "\"slots\":\"5\""},
        {"\"service\":\"s\",", ""},
        {"\"address\":\"10.0.0.9:8080\"", "\"address\":\"\""},
        {",\"born\":1700000000000", ""},
    };
    for (const auto &[from, to] : changes) {
        const auto content = boost::json::parse(replaced(entryText, from, to));
        CHECK_TEXT(!readDatabaseEntry("i-1", content).has_value(), to);
    }
    CHECK(!readDatabaseEntry("i-1", boost::json::value("bytes")).has_value());
    CHECK(!readDatabaseEntry("i-1", boost::json::value(nullptr)).has_value());
}

TEST(Documents, ConfigurationDocumentsAreDecoded)
{
    const auto table = readRoutingTable(boost::json::parse(documentText));
    CHECK(table.has_value());
    const auto route = table->findRoute("db");
    CHECK(route && route->consistency == Sessions::Consistency::BoundedAge);
    LONGS_EQUAL(1'500, route->maximumAge.milliseconds());
    STRCMP_EQUAL("t", table->findTeam("k2")->value().c_str());
    CHECK(!table->findTeam("k3"));
    LONGS_EQUAL(33, table->groups.at(Core::GroupName("s")).maximumConnections);
    LONGS_EQUAL(2'500, table->transactionIdleTimeout.milliseconds());
}

TEST(Documents, DocumentsWithAMissingFieldAreRejected)
{
    for (const char *field : {"\"version\":7,", "\"host\":\"db\",", "\"timeoutMs\":3000,"}) {
        const auto content = boost::json::parse(replaced(documentText, field, ""));
        CHECK_TEXT(!readRoutingTable(content).has_value(), field);
    }
}

TEST(Documents, RegionsAndColdStartsAreDecoded)
{
    const auto entry = readDatabaseEntry(
        "i-1", boost::json::parse(replaced(entryText, "\"coldLeftMs\":0", "\"coldLeftMs\":2500")));
    LONGS_EQUAL(2'500, entry->coldRemaining.milliseconds());
    auto text = replaced(documentText, "\"maxConns\":33", "\"maxConns\":33,\"coldPerS\":12.5");
    text = replaced(text, "\"host\":\"db\"", "\"host\":\"db\",\"allowedRegions\":[\"e\",\"w\"]");
    text = replaced(text, "\"name\":\"t\"", "\"name\":\"t\",\"allowedRegions\":[\"e\"]");
    const auto table = readRoutingTable(boost::json::parse(text));
    DOUBLES_EQUAL(12.5, table->groups.at(Core::GroupName("s")).coldRatePerSecond, 0.001);
    LONGS_EQUAL(2, table->findRoute("db")->permittedRegions.size());
    CHECK(table->teamRegions.at(Core::TeamName("t")).front() == Core::RegionName("e"));
    CHECK(table->hasRegionLimits());
    CHECK(!readRoutingTable(boost::json::parse(documentText))->hasRegionLimits());
}

TEST_GROUP(Store){};

TEST(Store, ListsAndChangesAreDecoded)
{
    const auto list = readPage(response(
        200,
        R"({"items":[{"meta":{"name":"a","revision":3},"spec":"text"}],"more":true,"currentRev":9})"));
    CHECK(list.has_value());
    CHECK(list->hasMore);
    LONGS_EQUAL(9, list->revision);
    STRCMP_EQUAL("text", toStoredObject(list->objects.front()).text.c_str());
    const auto changes = readPage(response(
        200,
        R"({"events":[{"deleted":true,"object":{"meta":{"name":"a","revision":4}}}],"currentRev":10})"));
    CHECK(changes.has_value() && changes->objects.front().isDeleted);
}

TEST(Store, RelayedObjectsRoundTrip)
{
    const auto page = readPage(response(
        200,
        R"({"events":[{"deleted":false,"object":{"meta":{"name":"a","revision":4},"spec":{"b":[1,"c"]}}},)"
        R"({"deleted":true,"object":{"meta":{"name":"d","revision":5}}}],"currentRev":10})"));
    CHECK(page.has_value());
    for (const auto &object : page->objects) {
        const auto decoded = fromRelayed(toRelayed(object));
        CHECK(decoded.has_value());
        CHECK(decoded->name == object.name && decoded->revision == object.revision);
        CHECK(decoded->isDeleted == object.isDeleted);
        CHECK(object.isDeleted || decoded->content == object.content);
    }
    CHECK(!fromRelayed({"a", "{cut o", 1, false}).has_value());
}

TEST(Store, ErrorStatusesAndInvalidBodiesAreErrors)
{
    CHECK(readPage(response(410, "{}")).error().code == Core::ErrorCode::NotFound);
    for (const unsigned status : {429U, 503U, 404U})
        CHECK(readPage(response(status, "{}")).error().code == Core::ErrorCode::Unavailable);
    for (const char *body : {"", "[]", "{}", R"({"items":[1],"currentRev":1})"})
        CHECK_TEXT(!readPage(response(200, body)).has_value(), body);
}

TEST(Store, WriteOutcomesFollowTheResponse)
{
    const struct
    {
        unsigned status;
        const char *body;
        Fleet::WriteOutcome expected;
    } cases[] = {
        {200, R"({"meta":{"name":"a","revision":3}})", Fleet::WriteOutcome::Done},
        {201, R"({"meta":{"name":"a","revision":3}})", Fleet::WriteOutcome::Done},
        {409, "{}", Fleet::WriteOutcome::Conflict},
        {404, "{}", Fleet::WriteOutcome::Conflict},
        {429, "{}", Fleet::WriteOutcome::Unknown},
        {503, "{}", Fleet::WriteOutcome::Unknown},
        {200, "cut o", Fleet::WriteOutcome::Unknown},
    };
    for (const auto &row : cases)
        CHECK(readWriteResult(response(row.status, row.body), 2).outcome == row.expected);
    CHECK(readWriteResult(Core::failure(Core::ErrorCode::Timeout, "x"), 2).outcome
          == Fleet::WriteOutcome::Unknown);
}

TEST(Store, PositionsBeginWithTheEraOfTheStore)
{
    const auto inEra = [](const char *era, const char *body) {
        auto result = response(200, body);
        result->fields.push_back({"Store-Era", era});
        return result;
    };
    const char *const list =
        R"({"items":[{"meta":{"name":"a","revision":3},"spec":"text"}],"more":false,"currentRev":9})";
    const auto page = readPage(inEra("2", list));
    CHECK(page.has_value());
    CHECK(page->revision == Fleet::makeRevision(2, 9));
    CHECK(page->objects.front().revision == Fleet::makeRevision(2, 3));
    CHECK(!readPage(inEra("two", list)).has_value());
    CHECK(!readPage(inEra("-1", list)).has_value());

    const auto watch =
        makeWatch(Fleet::ObjectKind::Records, Fleet::makeRevision(2, 9), Core::Duration(1'000));
    CHECK(watch.target.find("watch=9&") != std::string::npos);
    const Fleet::LeaderRecord leader{Core::NodeName("n"), 1, 1};
    const auto write = makeWrite({1, leader, Fleet::makeRevision(2, 12)});
    CHECK(write.body.find("\"revision\":12}") != std::string::npos);
}

/// After the store came back from a copy, a revision that the writer expects may have been given
/// out again, so that a write succeeds on a record that the writer has not seen.
TEST(Store, AWriteThatIsAnsweredInAnotherEraIsNotTakenAsDone)
{
    const char *const body = R"({"meta":{"name":"a","revision":13}})";
    auto answer = response(200, body);
    answer->fields.push_back({"Store-Era", "2"});
    CHECK(readWriteResult(answer, Fleet::makeRevision(1, 12)).outcome
          == Fleet::WriteOutcome::Unknown);
    const auto same = readWriteResult(answer, Fleet::makeRevision(2, 12));
    CHECK(same.outcome == Fleet::WriteOutcome::Done);
    CHECK(same.revision == Fleet::makeRevision(2, 13));
    CHECK(readWriteResult(answer, 0).outcome == Fleet::WriteOutcome::Done);
}

TEST(Store, RecordsAreCreatedOrReplacedAtTheExpectedRevision)
{
    const Fleet::LeaderRecord leader{Core::NodeName("n"), 1, 1};
    const auto created = makeWrite({1, leader, 0});
    STRCMP_EQUAL("POST", created.method.c_str());
    const auto changed = makeWrite({1, leader, 12});
    STRCMP_EQUAL("PUT", changed.method.c_str());
    CHECK(changed.target.ends_with("/leader"));
    CHECK(changed.body.find("\"revision\":12") != std::string::npos);
}

TEST(Store, PromotionRequestsCarryHolderAndFencingToken)
{
    const auto request = makePromotion({1, Core::GroupName("s"), Core::DatabaseName("i-1"), 42, {}},
                                       Core::NodeName("n"));
    STRCMP_EQUAL("/promotion", request.target.c_str());
    STRCMP_EQUAL("n", std::string(request.field("Duty-Holder")).c_str());
    STRCMP_EQUAL("42", std::string(request.field("Fencing-Token")).c_str());
    CHECK(readPromotionResult(response(200, "")) == Fleet::OrderOutcome::Accepted);
    CHECK(readPromotionResult(response(409, "")) == Fleet::OrderOutcome::NotRunning);
    CHECK(readPromotionResult(response(429, "")) == Fleet::OrderOutcome::Unknown);
}
