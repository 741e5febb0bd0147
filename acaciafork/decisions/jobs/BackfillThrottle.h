#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "acaciafork/core/Core.h"
#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// Settings of the throttle.
struct BackfillThrottleSettings
{
    /// Tail latencies above the first percentage of their target count as in danger, those below
    /// the second as safe.
    std::int64_t dangerPercent = 100;
    std::int64_t safePercent = 85;
    /// Minimum interval between two decreases, and between two increases; readings cover half a
    /// second.
    Duration decreaseInterval = std::chrono::milliseconds(400);
    Duration increaseInterval = std::chrono::milliseconds(800);
    /// Below this percentage, backfill tasks are paused instead.
    std::int64_t minPercent = 15;
};

/// Tail latency reading of one serving task.
struct TailReading
{
    /// Image that the task runs.
    std::string_view image;
    /// Tail latency in milliseconds; -1 when unknown.
    std::int64_t tailMs = -1;
    std::int64_t targetMs = 0;
};

/// Decides the share of processor time at which the backfill tasks on one worker run.
///
/// Backfill tasks slow down serving tasks by amounts that depend on their images and change within
/// seconds. The share is at least halved while a tail latency is in danger, and increased slowly
/// afterwards.
class BackfillThrottle
{
public:
    explicit BackfillThrottle(const BackfillThrottleSettings &settings = {})
        : m_settings(settings)
    { }

    /// New share, in percent.
    /// @param[in] percent current share
    /// @param[in] changedAt when the share was last changed
    [[nodiscard]] std::int64_t decide(Timestamp now, std::int64_t percent, Timestamp changedAt,
                                      std::span<const TailReading> tails) const;

    /// True when no tail latency exceeds the safety threshold.
    [[nodiscard]] bool isSafe(std::span<const TailReading> tails) const;
    /// True while a tail latency that has exceeded the danger threshold is not safe again.
    /// @param[in] wasRecovering the answer for the reading before
    [[nodiscard]] bool isRecovering(const TailReading &tail, bool wasRecovering) const
    {
        return isInDanger(tail) || (wasRecovering && !isSafe(std::span(&tail, 1)));
    }
    /// True when the tail latency exceeds the danger threshold.
    [[nodiscard]] bool isInDanger(const TailReading &tail) const
    {
        return tail.targetMs > 0
                && tail.tailMs * wholePercent > tail.targetMs * m_settings.dangerPercent;
    }

private:
    BackfillThrottleSettings m_settings;
};

} // namespace acaciafork::jobs
