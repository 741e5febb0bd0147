#include "acaciafork/decisions/jobs/TailTracker.h"

#include <algorithm>
#include <cmath>

namespace acaciafork::jobs {
namespace {

/// Upper part of the range in which ratios move with the own load (0.28 to 0.8): without a base, a
/// higher ratio is more likely due to interference.
constexpr double assumedBase = 0.65;
/// The own load changes a ratio by up to 0.12 a second, so an older base tells nothing.
constexpr Duration maxBaseAge = std::chrono::milliseconds(2500);
/// Increases up to this size may be the own load and the noise of two readings.
constexpr double usualGrowth = 0.15;
/// A stop and the reading that covers it take up to a second; then the increase halves with each
/// reading.
constexpr Duration decayDelay = std::chrono::seconds(1);

} // namespace

bool TailTracker::observe(Timestamp now, double ratio)
{
    if (ratio == m_ratio && now - m_readAt < readingSpan)
        return false;
    m_ratio = ratio;
    m_readAt = now;
    if (now - m_goneAt <= decayDelay)
        m_peak = std::max(m_peak, growth(now));
    return true;
}

void TailTracker::neighbourGone(Timestamp now)
{
    if (m_ratio < 0 || growth(now) <= usualGrowth)
        return;
    m_peak = growth(now);
    m_goneAt = now;
}

void TailTracker::rebase(Timestamp now)
{
    m_base = m_ratio;
    m_baseAt = now;
}

bool TailTracker::hasBase(Timestamp now) const
{
    return m_base >= 0 && now - m_baseAt <= maxBaseAge;
}

double TailTracker::base(Timestamp now) const
{
    if (m_base < 0)
        return assumedBase;
    // During a decay the last base is the best there is.
    return hasBase(now) || now - m_goneAt < maxDecay ? m_base : assumedBase;
}

bool TailTracker::isSettling(Timestamp now) const
{
    return now - m_goneAt < maxDecay && (now - m_goneAt < settleTime || growth(now) > usualGrowth);
}

bool TailTracker::decaysAsExpected(Timestamp now) const
{
    if (now - m_goneAt >= maxDecay)
        return false;
    const Duration decayed = std::max(now - m_goneAt - decayDelay, Duration {});
    const double halvings = static_cast<double>(decayed.count())
            / static_cast<double>(Duration(readingSpan).count());
    // The own load may have grown meanwhile.
    return growth(now) <= m_peak * std::exp2(-halvings) + 2 * usualGrowth;
}

} // namespace acaciafork::jobs
