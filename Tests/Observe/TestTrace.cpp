#include <Observe/Log.h>
#include <Observe/Metrics.h>
#include <Observe/Trace.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Observe;

TEST_GROUP(Trace){};

TEST(Trace, HeadersAreReadOrTreatedAsAbsent)
{
    struct Row
    {
        const char *header;
        bool isAccepted;
    };
    const Row rows[] = {
        {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", true},
        {"01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-later", true},
        {"", false},
        {"garbage", false},
        {"00-00000000000000000000000000000000-00f067aa0ba902b7-01", false},
        {"00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01", false},
        {"00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01", false},
        {"ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", false},
        {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x", false},
        {"00-4bf92f3577b34da6a3ce929d0e0e4736_00f067aa0ba902b7-01", false},
    };
    for (const Row &row : rows)
        CHECK_TEXT(TraceContext::parse(row.header).has_value() == row.isAccepted, row.header);
}

TEST(Trace, AChildKeepsTheTraceAndTheSampling)
{
    Core::Random random(1);
    auto root = TraceContext::createRoot(random);
    root.isSampled = true;
    const auto child = TraceContext::parse(root.createChild(random).traceparent());
    CHECK(child.has_value());
    CHECK(child->traceId == root.traceId);
    CHECK(child->spanId != root.spanId);
    CHECK(child->isSampled);
}

TEST_GROUP(Metrics){};

TEST(Metrics, PercentilesLieWithinATenthOfTheSample)
{
    TimeHistogram histogram;
    for (std::uint64_t sample = 1; sample <= 1000; ++sample)
        histogram.record(sample * 10);
    CHECK(histogram.percentile(0.5) >= 5000 && histogram.percentile(0.5) <= 5500);
    CHECK(histogram.percentile(0.99) >= 9900 && histogram.percentile(0.99) <= 10900);
    LONGS_EQUAL(1000, histogram.count());
}

TEST(Metrics, TheTextNamesEachSeries)
{
    Observe::Metrics metrics;
    metrics.add("requests_total", "team=\"a\"", 2);
    metrics.set("connections", "", 3);
    metrics.record("wait_microseconds", "", 12);
    const std::string text = metrics.text();
    CHECK(text.find("requests_total{team=\"a\"} 2\n") != std::string::npos);
    CHECK(text.find("connections 3\n") != std::string::npos);
    CHECK(text.find("wait_microseconds_count 1\n") != std::string::npos);
}

TEST_GROUP(Log){};

TEST(Log, ValuesThatAreNoPlainWordAreQuoted)
{
    STRCMP_EQUAL("plain", logValue("plain").c_str());
    STRCMP_EQUAL("\"two words\"", logValue("two words").c_str());
    STRCMP_EQUAL("\"a\\nb\"", logValue("a\nb").c_str());
    STRCMP_EQUAL("\"\"", logValue("").c_str());
}
