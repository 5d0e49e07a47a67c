#include <Observe/Log.h>
#include <Observe/Metrics.h>

#include <CppUTest/TestHarness.h>
#include <string>

using namespace Chervilpin;
using namespace Chervilpin::Observe;

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
