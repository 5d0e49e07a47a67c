#include <Execute/AnswerMatcher.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Execute;
using Core::Instant;

namespace {
constexpr ConnectionKey firstGeneration{7, 1};
constexpr ConnectionKey secondGeneration{7, 2};
constexpr RequestHandle request = 11;
constexpr RequestHandle otherRequest = 12;
const Instant now(5);
} // namespace

TEST_GROUP(AnswerMatcher)
{
    AnswerMatcher matcher;

    void setup() override
    {
        matcher.opened(firstGeneration, now);
    }
};

TEST(AnswerMatcher, MatchesEachAnswerToItsRequestOnce)
{
    const auto first = matcher.ask(firstGeneration, request, Sharing::Pipelined, now);
    const auto second = matcher.ask(firstGeneration, otherRequest, Sharing::Pipelined, now);
    CHECK(matcher.answered(firstGeneration, *second, now) == otherRequest);
    CHECK(matcher.answered(firstGeneration, *first, now) == request);
    CHECK(!matcher.answered(firstGeneration, *first, now));
}

TEST(AnswerMatcher, IgnoresAnswersOfAnEarlierGeneration)
{
    const auto old = matcher.ask(firstGeneration, request, Sharing::Exclusive, now);
    CHECK(matcher.closed(firstGeneration, now) == std::vector<RequestHandle>{request});
    matcher.opened(secondGeneration, now);
    const auto fresh = matcher.ask(secondGeneration, otherRequest, Sharing::Exclusive, now);
    CHECK(*old == *fresh);
    CHECK(!matcher.answered(firstGeneration, *old, now));
    CHECK(matcher.answered(secondGeneration, *fresh, now) == otherRequest);
}

TEST(AnswerMatcher, IsNotLendableWithAPendingStatement)
{
    CHECK(matcher.isLendable(firstGeneration));
    const auto correlation = matcher.ask(firstGeneration, request, Sharing::Exclusive, now);
    matcher.abandon(firstGeneration, *correlation, now);
    CHECK(!matcher.isLendable(firstGeneration));
    CHECK(!matcher.ask(firstGeneration, otherRequest, Sharing::Exclusive, now));
    CHECK(!matcher.answered(firstGeneration, *correlation, now));
    CHECK(matcher.isLendable(firstGeneration));
}

TEST(AnswerMatcher, RefusesRequestsOnAClosedConnection)
{
    CHECK(!matcher.ask(secondGeneration, request, Sharing::Exclusive, now));
    CHECK(!matcher.isLendable(secondGeneration));
    CHECK(!matcher.answered(firstGeneration, 99, now));
}

TEST(AnswerMatcher, ReportsTheOldestPendingRequest)
{
    CHECK(!matcher.waitingSince(firstGeneration));
    CHECK(matcher.ask(firstGeneration, request, Sharing::Pipelined, Instant(5)).has_value());
    CHECK(matcher.ask(firstGeneration, otherRequest, Sharing::Pipelined, Instant(9)).has_value());
    CHECK(matcher.waitingSince(firstGeneration) == Instant(5));
}

TEST(AnswerMatcher, AllowsAStatementBesideAPendingStatusQuery)
{
    const auto status = matcher.ask(firstGeneration, request, Sharing::Pipelined, now);
    CHECK(status.has_value());
    CHECK(matcher.isLendable(firstGeneration));
    const auto statement = matcher.ask(firstGeneration, otherRequest, Sharing::Exclusive, now);
    CHECK(statement.has_value());
    CHECK(!matcher.ask(firstGeneration, request, Sharing::Exclusive, now).has_value());
    CHECK(matcher.answered(firstGeneration, *status, now) == request);
    CHECK(!matcher.isLendable(firstGeneration));
}
