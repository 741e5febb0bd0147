#include "acaciafork/decisions/jobs/BackfillThrottle.h"

#include <algorithm>

namespace acaciafork::jobs {
namespace {

/// Increase of the share per step, in percentage points.
constexpr std::int64_t increasePercent = 25;

/// Highest tail latency in percent of its target; 0 when none is known.
std::int64_t worstPercent(std::span<const TailReading> tails)
{
    std::int64_t worst = 0;
    for (const TailReading &it : tails) {
        if (it.tailMs >= 0 && it.targetMs > 0)
            worst = std::max(worst, it.tailMs * wholePercent / it.targetMs);
    }
    return worst;
}

} // namespace

bool BackfillThrottle::isSafe(std::span<const TailReading> tails) const
{
    return worstPercent(tails) < m_settings.safePercent;
}

std::int64_t BackfillThrottle::decide(Timestamp now, std::int64_t percent, Timestamp changedAt,
                                      std::span<const TailReading> tails) const
{
    const std::int64_t worst = worstPercent(tails);
    if (worst > m_settings.dangerPercent && percent > 0
        && now - changedAt >= m_settings.decreaseInterval) {
        // At more than twice the target, the share is reduced faster.
        const std::int64_t next = worst > 2 * wholePercent ? percent / 4 : percent / 2;
        return next < m_settings.minPercent ? 0 : next;
    }
    if (worst < m_settings.safePercent && percent < wholePercent
        && now - changedAt >= m_settings.increaseInterval)
        return std::min(wholePercent, percent + increasePercent);
    return percent;
}

} // namespace acaciafork::jobs
