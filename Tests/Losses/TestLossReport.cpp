#include <Losses/LossReport.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Losses;

namespace {

EventLine line(const std::string &fields)
{
    const auto result = EventLine::create(
        "12.5 node-1 time=2026-01-02T03:04:05.678901 program=chervilpin-sessiond node=node-1 "
        + fields);
    CHECK(result.has_value());
    return *result;
}

} // namespace

TEST_GROUP(LossReport){};

TEST(LossReport, FieldsAreReadWithQuotesAndWithAPrefix)
{
    const auto read = line(R"(event=statement_ended text="a \"b\" c" outcome=busy team="")");
    STRCMP_EQUAL("a \"b\" c", std::string(read.field("text")).c_str());
    STRCMP_EQUAL("busy", std::string(read.field("outcome")).c_str());
    STRCMP_EQUAL("node-1", std::string(read.field("node")).c_str());
    CHECK(read.field("team").empty() && read.field("missing").empty());
    for (const char *text : {"", "no fields", "event=x", "time=1 node=a", "time=\"open", "==="})
        CHECK_TEXT(!EventLine::create(text).has_value(), text);
}

TEST(LossReport, EachRefusalHasItsCause)
{
    const struct
    {
        const char *fields;
        Cause expected;
    } cases[] = {
        {"event=refused_over_rate decided_by=node-2", Cause::OverRate},
        {"event=refused_over_rate decided_by=node-2 role=holder", Cause::OverRateOfHolder},
        {"event=statement_ended outcome=busy text=\"no database had room in time; try again\"",
         Cause::NoRoom},
        {"event=refused_unservable text=\"this proxy may not use the primary now\"",
         Cause::PrimaryReplaced},
        {"event=refused_unservable text=\"the primary doesn't answer this proxy\"",
         Cause::PrimaryUnreachable},
        {"event=refused_unservable text=\"the data centre of the primary is being evacuated\"",
         Cause::Evacuated},
        {"event=refused_unservable text=\"no database is in a region in which\"",
         Cause::OutsideRegions},
        {"event=statement_ended outcome=in_doubt text=lost", Cause::InDoubt},
        {"event=statement_ended outcome=aborted text=lost", Cause::Aborted},
        {"event=statement_ended outcome=timeout text=late", Cause::Timeout},
        {"event=statement_ended outcome=lagging text=x", Cause::Other},
    };
    for (const auto &row : cases)
        CHECK_TEXT(causeOf(line(row.fields)) == row.expected, row.fields);
    CHECK(!causeOf(line("event=statement_ended outcome=done")).has_value());
    CHECK(!causeOf(line("event=started")).has_value());
}

TEST(LossReport, LossesAreCountedByTheChosenColumns)
{
    LossReport report(*parseColumns("cause,second"));
    for (int i = 0; i < 2; ++i)
        report.add(line("event=statement_ended outcome=in_doubt text=lost"));
    report.add(line("event=refused_over_rate decided_by=node-2"));
    report.add(line("event=statement_ended outcome=done ms=30 queued_ms=10"));
    report.add(line("event=statement_ended outcome=done ms=50 queued_ms=20"));
    STRCMP_EQUAL("cause,second,count\n"
                 "in_doubt,2026-01-02T03:04:05,2\n"
                 "over_rate,2026-01-02T03:04:05,1\n",
                 report.toCsv().c_str());
    STRCMP_EQUAL("sampled,queued_ms,after_queue_ms\n2,15,25\n", report.timesToCsv().c_str());
    CHECK(!parseColumns("cause,colour").has_value());
}
