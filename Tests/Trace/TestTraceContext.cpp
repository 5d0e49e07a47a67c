#include <Trace/TraceContext.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using Chervilpin::Trace::TraceContext;

TEST_GROUP(TraceContext){};

TEST(TraceContext, HeadersAreReadOrTreatedAsAbsent)
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

TEST(TraceContext, AChildKeepsTheTraceAndTheSampling)
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
