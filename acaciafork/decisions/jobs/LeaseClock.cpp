#include "acaciafork/decisions/jobs/LeaseClock.h"

#include <algorithm>

namespace acaciafork::jobs {
namespace {

std::int64_t toMilliseconds(Duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

/// Longest time for which the reading in an answer is on its way.
constexpr Duration longestAnswer = std::chrono::milliseconds(500);

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
        if (clockMs < least(now))
            return;
    }
    m_isKnown = true;
    m_clockMs = clockMs;
    m_readAt = now;
}

bool LeaseClock::continues(Timestamp now, std::int64_t clockMs) const
{
    return m_isKnown && clockMs >= least(now - longestAnswer)
            && clockMs <= estimate(now) + toMilliseconds(longestAnswer);
}

std::int64_t LeaseClock::least(Timestamp now) const
{
    return m_clockMs
            + toMilliseconds(now - m_readAt) * (wholePercent - maxClockLagPercent) / wholePercent;
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
    m_assumedExpiry = std::max(m_assumedExpiry, expiryOf(now, length));
}

Timestamp LeaseClock::expiryOf(Timestamp begin, Duration length)
{
    return begin + longestLocalTime(length) + expiryMargin;
}

Timestamp LeaseClock::expiresAt() const
{
    if (m_lastGrantedEndMs == 0)
        return m_assumedExpiry;
    const Duration left = std::chrono::milliseconds(m_lastGrantedEndMs - m_clockMs);
    return std::max(m_assumedExpiry, m_readAt + longestLocalTime(left) + expiryMargin);
}

} // namespace acaciafork::jobs
