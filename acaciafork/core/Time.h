#pragma once

#include <chrono>
#include <cstdint>

namespace acaciafork {

/// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Clock of a process's loop: monotonic, its origin is arbitrary. It has no now(), so that a
/// decision can only use the time it was handed.
struct LoopClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<LoopClock, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/// Moment on the loop's clock.
using Timestamp = LoopClock::time_point;

/// Moment as a process sees it: the loop's clock for decisions, the wall clock for time lines.
struct Moment
{
    Timestamp now;
    std::int64_t wallMicroseconds = 0;
};

/// Moment `us` microseconds after the clock's origin.
constexpr Timestamp timestampFromMicroseconds(std::int64_t us)
{
    return Timestamp(Duration(us));
}

/// Whole microseconds from the clock's origin to `at`.
constexpr std::int64_t toMicroseconds(Timestamp at)
{
    return at.time_since_epoch().count();
}

} // namespace acaciafork
