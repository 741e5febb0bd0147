#include "acaciafork/decisions/jobs/BackfillThrottle.h"

#include <algorithm>

namespace acaciafork::jobs {
namespace {

/// A step up adds this much, in percent of the whole.
constexpr std::int64_t increasePercent = 25;

} // namespace

std::int64_t BackfillThrottle::decide(Timestamp now, std::int64_t percent, Timestamp changedAt,
                                      std::span<const TailReading> tails) const
{
    std::int64_t worst = 0;
    for (const TailReading &it : tails) {
        if (it.tailMs >= 0 && it.targetMs > 0)
            worst = std::max(worst, it.tailMs * wholePercent / it.targetMs);
    }
    if (worst > m_settings.dangerPercent && percent > 0
        && now - changedAt >= m_settings.decreaseInterval) {
        // Far over the target there is no time for small steps.
        const std::int64_t next = worst > 2 * wholePercent ? percent / 4 : percent / 2;
        return next < m_settings.minPercent ? 0 : next;
    }
    if (worst < m_settings.safePercent && percent < wholePercent
        && now - changedAt >= m_settings.increaseInterval)
        return std::min(wholePercent, percent + increasePercent);
    return percent;
}

} // namespace acaciafork::jobs
