#include "acaciafork/decisions/jobs/CrashRate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace acaciafork::jobs {
namespace {

/// Assumed at first: one crash in ten minutes of one worker.
constexpr double initialCrashes = 0.5;
constexpr double initialWorkerSeconds = 300;
/// Time over which what was seen loses weight.
constexpr double memorySeconds = 60;

double secondsOf(Duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

void CrashRate::reset(Timestamp now)
{
    m_advancedAt = now;
    m_crashes = 0;
    m_workerSeconds = 0;
}

void CrashRate::advance(Timestamp now, std::size_t workers)
{
    const double seconds = secondsOf(now - m_advancedAt);
    m_advancedAt = now;
    const double kept = std::exp(-seconds / memorySeconds);
    m_crashes *= kept;
    m_workerSeconds = m_workerSeconds * kept + seconds * static_cast<double>(workers);
}

double CrashRate::probability(Duration length) const
{
    const double rate = (m_crashes + initialCrashes) / (m_workerSeconds + initialWorkerSeconds);
    return std::min(1.0, rate * secondsOf(length));
}

} // namespace acaciafork::jobs
