#include <Core/SteadyClock.h>

#include <ctime>

namespace Chervilpin::Core {

namespace {
constexpr std::int64_t microsecondsPerSecond = 1'000'000;
constexpr std::int64_t microsecondsPerMillisecond = 1'000;
constexpr std::int64_t nanosecondsPerMicrosecond = 1'000;
} // namespace

std::int64_t SteadyClock::nowMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time.tv_sec * microsecondsPerSecond + time.tv_nsec / nanosecondsPerMicrosecond;
}

Instant SteadyClock::now()
{
    return Instant(nowMicroseconds() / microsecondsPerMillisecond);
}

} // namespace Chervilpin::Core
