#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Result.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin::Core;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(Milliseconds){};

TEST(Milliseconds, InstantsDifferByDurations)
{
    const Instant start(1000);
    CHECK(start + 5_ms - start == Duration(5));
    CHECK(start + 1_s > start);
}

TEST(Milliseconds, MarksAreOrderedByTermBeforePosition)
{
    CHECK((LogMark{2, 1} > LogMark{1, 9}));
    CHECK((LogMark{2, 3} > LogMark{2, 2}));
}

namespace {

ErrorOr<int> failing()
{
    return failure(ErrorCode::Timeout, "no answer");
}

ErrorOr<int> forwarding()
{
    return TRY(failing()) + 1;
}

} // namespace

TEST(Milliseconds, TryReturnsTheErrorOfTheCalledFunction)
{
    const auto result = forwarding();
    CHECK(!result.has_value());
    CHECK(result.error().code == ErrorCode::Timeout);
}
