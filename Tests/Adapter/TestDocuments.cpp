#include <platform/Documents.h>
#include <platform/Store.h>

#include <CppUTest/TestHarness.h>

#include <boost/json/parse.hpp>
#include <string>
#include <vector>

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

/// Contents that another writer may store: JSON by its grammar, or bytes that are no text.
std::vector<std::string> oddContents()
{
    constexpr std::size_t deep = 1'000'000;
    constexpr std::size_t aroundTheLimit = 40;
    std::vector<std::string> contents{
        R"("\udcff\udcfe\udc80")",
        "\"\xff\xfe\x80\"",
        "\"\x01\x02\"",
        std::string(40, '[') + "1" + std::string(40, ']'),
        std::string(deep, '[') + std::string(deep, ']'),
        R"({"address":)" + std::string(40, '[') + std::string(40, ']') + "}",
        "1e999",
        "-1e99999999999",
        std::string(5'000, '9'),
        R"({"slots":1e400})",
        "\"" + std::string(100'000, 'x') + "\"",
    };
    for (std::size_t depth = 1; depth <= aroundTheLimit; ++depth)
        contents.push_back(std::string(depth, '[') + std::string(depth, ']'));
    return contents;
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
        {"10.0.0.9:8080", "10.0.0.9"},
        {"10.0.0.9:8080", "10.0.0.9:"},
        {"10.0.0.9:8080", "10.0.0.9:0"},
        {"10.0.0.9:8080", "10.0.0.9:65536"},
        {"10.0.0.9:8080", "10.0.0.9:-1"},
        {"10.0.0.9:8080", "10.0.0.9:99999999999999999999"},
        {"10.0.0.9:8080", "10.0.0.999:8080"},
        {"10.0.0.9:8080", "database:8080"},
        {"\"slots\":5", "\"slots\":0"},
        {"\"slots\":5", "\"slots\":-1"},
        {"\"slots\":5", "\"slots\":4294967297"},
        {"\"slots\":5", "\"slots\":1e300"},
        {"\"slots\":5", "\"slots\":5.5"},
        {"\"coldLeftMs\":0", "\"coldLeftMs\":-1"},
        {"\"coldLeftMs\":0", "\"coldLeftMs\":9223372036854775807"},
        {"\"born\":1700000000000", "\"born\":1e300"},
        {"\"service\":\"s\"", "\"service\":\"\""},
        {"\"service\":\"s\"", "\"service\":\"s s\""},
        {"\"service\":\"s\"", "\"service\":\"s\\r\\nRELEASE\""},
        {"\"service\":\"s\"", "\"service\":{\"s\":[]}"},
    };
    for (const auto &[from, to] : changes) {
        const auto content = boost::json::parse(replaced(entryText, from, to));
        CHECK_TEXT(!readDatabaseEntry("i-1", content).has_value(), to);
    }
    CHECK(!readDatabaseEntry("i 1", boost::json::parse(entryText)).has_value());
    CHECK(!readDatabaseEntry("", boost::json::parse(entryText)).has_value());
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
        const auto decoded = fromRelayed(Fleet::ObjectKind::Records, toRelayed(object));
        CHECK(decoded.has_value());
        CHECK(decoded->name == object.name && decoded->revision == object.revision);
        CHECK(decoded->isDeleted == object.isDeleted);
        CHECK(object.isDeleted || decoded->content == object.content);
    }
    for (const auto kind : {Fleet::ObjectKind::Records, Fleet::ObjectKind::Configuration})
        CHECK(!fromRelayed(kind, {"a", "{cut o", 1, false}).has_value());
    const auto odd = fromRelayed(Fleet::ObjectKind::Directory, {"a", "{cut o", 1, false});
    CHECK(odd.has_value() && odd->content.is_null());
}

/// One odd entry of another writer made every page that held it unreadable, so that no proxy
/// followed the directory any more (docs/incidents/2026-12-05-odd-entry.md).
TEST(Store, AnUnreadableObjectDoesNotAffectTheOthers)
{
    for (const auto &odd : oddContents()) {
        const std::string text = std::string(R"({"meta":{"name":"odd","revision":4},"spec":)") + odd
            + R"(,"status":)" + odd + "}";
        const std::string good = R"({"meta":{"name":"good","revision":3},"spec":{"a":[1,"}]"]}})";
        const auto list =
            readPage(response(200, R"({"items":[)" + text + "," + good + R"(],"currentRev":9})"));
        const auto changes =
            readPage(response(200,
                              R"({"events":[{"object":)" + text + R"(,"deleted":false},{"object":)"
                                  + good + R"(,"deleted":true}],"currentRev":10})"));
        CHECK_TEXT(list.has_value() && changes.has_value(), odd.substr(0, 80).c_str());
        LONGS_EQUAL(9, list->revision);
        LONGS_EQUAL(10, changes->revision);
        for (const auto &page : {*list, *changes}) {
            LONGS_EQUAL(2, page.objects.size());
            CHECK(!readDatabaseEntry("odd", page.objects.front().content).has_value());
            STRCMP_EQUAL("odd", page.objects.front().name.c_str());
            LONGS_EQUAL(4, page.objects.front().revision);
            STRCMP_EQUAL("good", page.objects.back().name.c_str());
            CHECK(page.objects.back().content == boost::json::parse(R"({"a":[1,"}]"]})"));
            for (const auto &object : page.objects) {
                const auto relayed = fromRelayed(Fleet::ObjectKind::Directory, toRelayed(object));
                CHECK_TEXT(relayed.has_value(), odd.substr(0, 80).c_str());
                CHECK(relayed->name == object.name && relayed->revision == object.revision);
                CHECK(!readDatabaseEntry("odd", relayed->content).has_value());
            }
        }
        CHECK(changes->objects.back().isDeleted && !changes->objects.front().isDeleted);
    }
}

/// As above, where the description that the store gives of the object can't be read.
TEST(Store, AnObjectWithoutAReadableNameOrRevisionIsLeftOut)
{
    for (const char *meta :
         {R"({"name":"\udcff","revision":3})", R"({"name":"a","revision":1e999})",
          R"({"name":7,"revision":3})", R"({"name":"a","revision":-3})", R"({"name":"a"})", "[]"}) {
        const auto list = readPage(response(200,
                                            std::string(R"({"items":[{"meta":)") + meta
                                                + R"(},{"meta":{"name":"good","revision":3}}],)"
                                                  R"("more":true,"currentRev":9})"));
        CHECK_TEXT(list.has_value(), meta);
        LONGS_EQUAL(1, list->objects.size());
        STRCMP_EQUAL("good", list->objects.front().name.c_str());
        CHECK(list->hasMore);
    }
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
