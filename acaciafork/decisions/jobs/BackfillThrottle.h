#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "acaciafork/core/Core.h"
#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// Bounds of the guard.
struct BackfillThrottleSettings
{
    /// Tails above this share of their target, in percent, count as in danger; below the second one
    /// as safe.
    std::int64_t dangerPercent = 100;
    std::int64_t safePercent = 85;
    /// Pause between two steps down, and between two steps up; figures cover half a second.
    Duration decreaseInterval = std::chrono::milliseconds(400);
    Duration increaseInterval = std::chrono::milliseconds(800);
    /// Share below which tasks that fill are paused at once.
    std::int64_t minPercent = 15;
};

/// Response times of one serving task.
struct TailReading
{
    /// What the task runs.
    std::string_view image;
    /// Milliseconds; -1 when unknown.
    std::int64_t tailMs = -1;
    std::int64_t targetMs = 0;
};

/// Decides at which share the tasks that fill one worker work.
///
/// Load pattern: tasks that fill disturb serving ones by amounts that differ by what they run and
/// change within seconds. The share is halved while a tail is in danger, and given back slowly.
class BackfillThrottle
{
public:
    explicit BackfillThrottle(const BackfillThrottleSettings &settings = {})
        : m_settings(settings)
    { }

    /// The share to work at from now on, in percent.
    /// @param[in] percent the share now
    /// @param[in] changedAt when it was last changed
    [[nodiscard]] std::int64_t decide(Timestamp now, std::int64_t percent, Timestamp changedAt,
                                      std::span<const TailReading> tails) const;

    /// True when the tail is near its target or over it.
    [[nodiscard]] bool isInDanger(const TailReading &tail) const
    {
        return tail.targetMs > 0
                && tail.tailMs * wholePercent > tail.targetMs * m_settings.dangerPercent;
    }

private:
    BackfillThrottleSettings m_settings;
};

} // namespace acaciafork::jobs
