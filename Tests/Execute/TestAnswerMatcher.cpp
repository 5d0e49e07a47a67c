#include <Execute/AnswerMatcher.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Execute;
using Core::Instant;

namespace {
constexpr ConnectionKey firstLife{7, 1};
constexpr ConnectionKey secondLife{7, 2};
constexpr RequestHandle request = 11;
constexpr RequestHandle other = 12;
const Instant now(5);
} // namespace

TEST_GROUP(AnswerMatcher)
{
    AnswerMatcher matcher;

    void setup() override
    {
        matcher.opened(firstLife, now);
    }
};

TEST(AnswerMatcher, GivesEachAnswerToItsRequestOnce)
{
    const auto first = matcher.ask(firstLife, request, Sharing::Pipelined, now);
    const auto second = matcher.ask(firstLife, other, Sharing::Pipelined, now);
    CHECK(matcher.answered(firstLife, *second, now) == other);
    CHECK(matcher.answered(firstLife, *first, now) == request);
    CHECK(!matcher.answered(firstLife, *first, now));
}

TEST(AnswerMatcher, GivesAnAnswerOfAnEarlierLifeToNobody)
{
    const auto old = matcher.ask(firstLife, request, Sharing::Exclusive, now);
    CHECK(matcher.closed(firstLife, now) == std::vector<RequestHandle>{request});
    matcher.opened(secondLife, now);
    const auto fresh = matcher.ask(secondLife, other, Sharing::Exclusive, now);
    CHECK(*old == *fresh);
    CHECK(!matcher.answered(firstLife, *old, now));
    CHECK(matcher.answered(secondLife, *fresh, now) == other);
}

TEST(AnswerMatcher, LendsNoConnectionWithAnUnreadAnswer)
{
    CHECK(matcher.isLendable(firstLife));
    const auto asked = matcher.ask(firstLife, request, Sharing::Exclusive, now);
    matcher.abandon(firstLife, *asked, now);
    CHECK(!matcher.isLendable(firstLife));
    CHECK(!matcher.ask(firstLife, other, Sharing::Exclusive, now));
    CHECK(!matcher.answered(firstLife, *asked, now));
    CHECK(matcher.isLendable(firstLife));
}

TEST(AnswerMatcher, AsksNothingOfAConnectionThatIsNotOpen)
{
    CHECK(!matcher.ask(secondLife, request, Sharing::Exclusive, now));
    CHECK(!matcher.isLendable(secondLife));
    CHECK(!matcher.answered(firstLife, 99, now));
}

TEST(AnswerMatcher, TellsSinceWhenAnAnswerIsMissing)
{
    CHECK(!matcher.waitingSince(firstLife));
    CHECK(matcher.ask(firstLife, request, Sharing::Pipelined, Instant(5)).has_value());
    CHECK(matcher.ask(firstLife, other, Sharing::Pipelined, Instant(9)).has_value());
    CHECK(matcher.waitingSince(firstLife) == Instant(5));
}

TEST(AnswerMatcher, AStatementMayGoBesideAnUnreadStatus)
{
    const auto status = matcher.ask(firstLife, request, Sharing::Pipelined, now);
    CHECK(status.has_value());
    CHECK(matcher.isLendable(firstLife));
    const auto statement = matcher.ask(firstLife, other, Sharing::Exclusive, now);
    CHECK(statement.has_value());
    CHECK(!matcher.ask(firstLife, request, Sharing::Exclusive, now).has_value());
    CHECK(matcher.answered(firstLife, *status, now) == request);
    CHECK(!matcher.isLendable(firstLife));
}
