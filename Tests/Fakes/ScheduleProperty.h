#pragma once

#include <Tests/Fakes/SeededProperty.h>

#include <Tests/Fakes/Schedule.h>

#include <iostream>
#include <vector>

namespace Chervilpin::Fakes {

inline void add(ScheduleCounts &sum, const ScheduleCounts &counts)
{
    sum.acknowledged += counts.acknowledged;
    sum.notRun += counts.notRun;
    sum.unknown += counts.unknown;
    sum.readsReleased += counts.readsReleased;
    sum.replicaReads += counts.replicaReads;
    sum.promotions += counts.promotions;
}

[[nodiscard]] inline std::vector<std::uint32_t> generateSteps()
{
    constexpr int mostSteps = 400;
    constexpr std::uint32_t stepBound = 40'000'000;
    const auto step = rc::gen::inRange<std::uint32_t>(0, stepBound);
    return *rc::gen::resize(mostSteps, rc::gen::container<std::vector<std::uint32_t>>(step));
}

/// Whether every promise holds over the generated schedules.
[[nodiscard]] inline bool keepsAll(const ScheduleOptions &options, const PropertyOptions &property,
                                   ScheduleCounts &sum)
{
    return holds("all promises hold", property, [&] {
        Schedule schedule(options);
        const Promise broken = schedule.run(generateSteps());
        add(sum, schedule.counts());
        if (broken != Promise::None)
            RC_FAIL(toString(broken));
    });
}

/// Whether one of the generated schedules breaks the promise before any other.
[[nodiscard]] inline bool canBreak(Promise promise, const ScheduleOptions &options,
                                   const PropertyOptions &property)
{
    return breaks("one promise holds", property, [&] {
        Schedule schedule(options);
        RC_ASSERT(schedule.run(generateSteps()) != promise);
    });
}

} // namespace Chervilpin::Fakes
