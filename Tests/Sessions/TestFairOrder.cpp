#include <Sessions/FairOrder.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;

TEST_GROUP(FairOrder)
{
    const Core::TeamName busy{"busy"};
    const Core::TeamName small{"small"};
    FairOrder order;
};

TEST(FairOrder, SurgeOfATeamDelaysTheOthersByOneStatementAtATime)
{
    double last = 0;
    for (int i = 0; i < 100; ++i)
        last = order.enter(busy);
    const double first = order.enter(small);
    const double second = order.enter(small);
    CHECK(first < last);
    CHECK(second < last);
    CHECK(second > first);
}

TEST(FairOrder, IdleTeamGainsNoCredit)
{
    for (int i = 0; i < 50; ++i)
        order.started(order.enter(busy));
    const double late = order.enter(small);
    CHECK(late >= order.enter(busy) - 1);
}

TEST(FairOrder, StatementsOfOneTeamKeepTheirOrder)
{
    const double first = order.enter(busy);
    CHECK(order.enter(busy) > first);
}
