#include <StandIn/FaultBoard.h>
#include <StandIn/SecretWatch.h>
#include <StandIn/SlotQueue.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Core::Literals;
using namespace Chervilpin::StandIn;

TEST_GROUP(FaultBoard)
{
    FaultBoard board;

    void apply(std::string_view json)
    {
        const auto command = FaultCommand::create(json);
        CHECK(command.has_value());
        board.apply(*command, Core::Instant(0));
    }
};

TEST(FaultBoard, NamesTheFieldThatIsWrong)
{
    struct Row
    {
        std::string json;
        std::string message;
    };
    const std::vector<Row> rows{
        {"", "not a JSON object"},
        {"[]", "not a JSON object"},
        {"{}", "fault: unknown name "},
        {R"({"fault":"sleep"})", "fault: unknown name sleep"},
        {R"({"fault":1})", "fault: not a text"},
        {R"({"fault":"pause"})", "ms: this fault needs it"},
        {R"({"fault":"pause","ms":-1})", "ms: not a whole number up to 1000000000"},
        {R"({"fault":"pause","ms":"1"})", "ms: not a whole number up to 1000000000"},
        {R"({"fault":"cut"})", "from: this fault needs it"},
        {R"({"fault":"older_version"})", "count: this fault needs it"},
        {R"({"fault":"refuse","until":1})", "until: unknown field"},
    };
    for (const auto &row : rows) {
        const auto command = FaultCommand::create(row.json);
        CHECK_TEXT(!command.has_value(), row.json.c_str());
        STRCMP_EQUAL(row.message.c_str(), command.error().message.c_str());
    }
}

TEST(FaultBoard, CountedFaultsRunOut)
{
    apply(R"({"fault":"drop_answers","count":2})");
    LONGS_EQUAL(0, board.planAnswer(Core::Instant(1)).copies);
    LONGS_EQUAL(0, board.planAnswer(Core::Instant(1)).copies);
    LONGS_EQUAL(1, board.planAnswer(Core::Instant(1)).copies);
}

TEST(FaultBoard, TimedFaultsRunOut)
{
    apply(R"({"fault":"refuse","for_ms":100})");
    apply(R"({"fault":"cut","from":"dc2","for_ms":100})");
    CHECK(board.isRefusing(Core::Instant(99)));
    CHECK(board.isCut(Core::DataCentreName("dc2"), Core::Instant(99)));
    CHECK(!board.isCut(Core::DataCentreName("dc1"), Core::Instant(99)));
    CHECK(!board.isRefusing(Core::Instant(100)));
    CHECK(!board.isCut(Core::DataCentreName("dc2"), Core::Instant(100)));
}

TEST(FaultBoard, PlansCombine)
{
    apply(R"({"fault":"delay","ms":10})");
    apply(R"({"fault":"late_answers","ms":5,"count":1})");
    apply(R"({"fault":"duplicate_answers","count":1})");
    apply(R"({"fault":"reorder_answers","count":1})");
    const auto first = board.planAnswer(Core::Instant(0));
    CHECK(first.delay == 15_ms);
    LONGS_EQUAL(2, first.copies);
    CHECK(first.changesPlaces);
    const auto second = board.planAnswer(Core::Instant(0));
    CHECK(second.delay == 10_ms);
    LONGS_EQUAL(1, second.copies);
    CHECK(!second.changesPlaces);
}

TEST(FaultBoard, HealEndsAll)
{
    apply(R"({"fault":"refuse"})");
    apply(R"({"fault":"cut","from":"dc2"})");
    apply(R"({"fault":"lag","ms":500})");
    apply(R"({"fault":"older_version","count":3})");
    CHECK(board.lag(Core::Instant(0)) == Core::Duration(500));
    LONGS_EQUAL(3, board.revisionsBack(Core::Instant(0)));
    apply(R"({"fault":"heal"})");
    CHECK(!board.isRefusing(Core::Instant(0)));
    CHECK(!board.isCut(Core::DataCentreName("dc2"), Core::Instant(0)));
    CHECK(!board.lag(Core::Instant(0)).has_value());
    LONGS_EQUAL(0, board.revisionsBack(Core::Instant(0)));
}

TEST(FaultBoard, SlotsAreGivenInOrder)
{
    SlotQueue slots(1, 2);
    std::string order;
    CHECK(slots.acquire([&] { order += 'a'; }));
    CHECK(slots.acquire([&] { order += 'b'; }));
    CHECK(slots.acquire([&] { order += 'c'; }));
    CHECK(!slots.acquire([&] { order += 'd'; }));
    STRCMP_EQUAL("a", order.c_str());
    slots.release();
    slots.release();
    STRCMP_EQUAL("abc", order.c_str());
    slots.release();
    CHECK(slots.acquire([&] { order += 'e'; }));
    STRCMP_EQUAL("abce", order.c_str());
}

TEST(FaultBoard, SecretsAreSeenAnywhereInTheBytes)
{
    SecretWatch watch;
    CHECK(!watch.inspect("key-1", "frame", 1));
    watch.registerSecret("key-1");
    CHECK(watch.inspect("xxkey-1yy", "frame", 7));
    CHECK(!watch.inspect("key-2", "frame", 8));
    LONGS_EQUAL(1, watch.toJson().size());
}
