#include "acaciafork/decisions/jobs/LeaseClock.h"

#include <algorithm>

namespace acaciafork::jobs {
namespace {

std::int64_t toMilliseconds(Duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

/// Longest time on this process's clock in which `length` passes on a slow worker clock.
Duration longestLocalTime(Duration length)
{
    return length * wholePercent / (wholePercent - LeaseClock::maxClockLagPercent);
}

} // namespace

void LeaseClock::observe(Timestamp now, std::int64_t clockMs)
{
    if (m_isKnown) {
        // A reading from a delayed answer is out of date, so the earlier reading is kept.
        const std::int64_t least = m_clockMs
                + toMilliseconds(now - m_readAt) * (wholePercent - maxClockLagPercent)
                        / wholePercent;
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
    m_lastGrantedEndMs = std::max(m_lastGrantedEndMs, end);
    return end;
}

void LeaseClock::assumeGranted(Timestamp now, Duration length)
{
    m_assumedExpiry = std::max(m_assumedExpiry, now + longestLocalTime(length) + expiryMargin);
}

Timestamp LeaseClock::expiresAt() const
{
    if (m_lastGrantedEndMs == 0)
        return m_assumedExpiry;
    const Duration left = std::chrono::milliseconds(m_lastGrantedEndMs - m_clockMs);
    return std::max(m_assumedExpiry, m_readAt + longestLocalTime(left) + expiryMargin);
}

} // namespace acaciafork::jobs
