#include <doctest/doctest.h>

#include "Schedule.h"

using namespace acaciafork::consensus;

namespace {

/// Runs `count` schedules with consecutive seeds; returns how many violate an
/// invariant. Reports the first one.
int violations(ScheduleSettings settings, std::uint64_t seed, int count)
{
    int broken = 0;
    for (int it = 0; it < count; ++it) {
        settings.seed = seed + static_cast<std::uint64_t>(it);
        settings.members = settings.seed % 2 == 0 ? 5 : 3;
        const ScheduleResult result = Schedule(settings).run();
        if (result.violation.empty())
            continue;
        if (broken == 0)
            MESSAGE("seed " << settings.seed << ": " << result.violation);
        ++broken;
    }
    return broken;
}

} // namespace

TEST_CASE("all invariants hold under seeded fault schedules")
{
    CHECK(violations({}, 1, 150) == 0);
}

TEST_CASE("fault schedules detect a disk that skips syncs")
{
    CHECK(violations({ .faults = { .skipSync = true } }, 1, 5) > 0);
}
