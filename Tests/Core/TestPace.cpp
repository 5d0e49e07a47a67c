#include <Core/Pace.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(Pace)
{
    Core::Pace pace;
    Core::Instant now{100'000};

    unsigned takeAll(double perSecond, double mostSaved)
    {
        unsigned taken = 0;
        while (pace.take(perSecond, mostSaved, now))
            ++taken;
        return taken;
    }
};

TEST(Pace, SavesUpToTheBoundAndThenGoesAtTheRate)
{
    LONGS_EQUAL(3, takeAll(10, 3));
    now = now + 200_ms;
    LONGS_EQUAL(2, takeAll(10, 3));
    now = now + 10_s;
    LONGS_EQUAL(3, takeAll(10, 3));
}

TEST(Pace, AskingTakesNothing)
{
    CHECK(pace.isReady(10, 1, now));
    CHECK(pace.isReady(10, 1, now));
    CHECK(pace.take(10, 1, now));
    CHECK(!pace.isReady(10, 1, now));
}
