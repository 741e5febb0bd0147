#include "acaciafork/decisions/jobs/LeaseClock.h"

#include <algorithm>

namespace acaciafork::jobs {
namespace {

std::int64_t toMilliseconds(Duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

/// Longest time that `length` on a slow clock can take on ours.
Duration stretched(Duration length)
{
    return length * wholePercent / (wholePercent - LeaseClock::slownessPercent);
}

} // namespace

void LeaseClock::observe(Timestamp now, std::int64_t clockMs)
{
    if (m_isKnown) {
        // An answer that was long on its way shows an old time: the better reading stays.
        const std::int64_t least = m_clockMs
                + toMilliseconds(now - m_readAt) * (wholePercent - slownessPercent) / wholePercent;
        if (clockMs < least)
            return;
    }
    m_isKnown = true;
    m_clockMs = clockMs;
    m_readAt = now;
}

std::int64_t LeaseClock::estimate(Timestamp now) const
{
    return m_clockMs + toMilliseconds(now - m_readAt);
}

std::int64_t LeaseClock::grant(Timestamp now, Duration length)
{
    const std::int64_t end = estimate(now) + toMilliseconds(length);
    m_grantedMs = std::max(m_grantedMs, end);
    return end;
}

void LeaseClock::assume(Timestamp now, Duration length)
{
    m_assumedLapse = std::max(m_assumedLapse, now + stretched(length) + lapseMargin);
}

Timestamp LeaseClock::lapsedAt() const
{
    if (m_grantedMs == 0)
        return m_assumedLapse;
    const Duration left = std::chrono::milliseconds(m_grantedMs - m_clockMs);
    return std::max(m_assumedLapse, m_readAt + stretched(left) + lapseMargin);
}

} // namespace acaciafork::jobs
