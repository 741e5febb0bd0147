#include "acaciafork/decisions/jobs/CrashHistory.h"

#include <algorithm>
#include <cmath>

namespace acaciafork::jobs {

std::uint32_t CrashHistory::blameOf(double probability)
{
    constexpr double unit = 1000;
    constexpr double least = 1e-6;
    return static_cast<std::uint32_t>(
            std::lround(-unit * std::log(std::clamp(probability, least, 1.0))));
}

void CrashHistory::restore(std::span<const CrashExposure> exposures)
{
    m_exposures.assign(exposures.begin(), exposures.end());
}

void CrashHistory::open(const CrashExposure &exposure)
{
    ACACIAFORK_ASSERT(find(exposure.run) == nullptr);
    m_exposures.push_back(exposure);
}

const CrashExposure *CrashHistory::find(RunNumber run) const
{
    const auto it = std::ranges::find(m_exposures, run, &CrashExposure::run);
    return it == m_exposures.end() ? nullptr : &*it;
}

CrashExposure *CrashHistory::find(RunNumber run)
{
    const auto it = std::ranges::find(m_exposures, run, &CrashExposure::run);
    return it == m_exposures.end() ? nullptr : &*it;
}

void CrashHistory::clear(RunNumber run)
{
    std::erase_if(m_exposures, [run](const CrashExposure &it) { return it.run == run; });
}

void CrashHistory::survive(RunNumber run)
{
    for (CrashExposure &it : m_exposures) {
        it.blame = 0;
        it.hasSurvived = it.hasSurvived || it.run == run;
    }
}

void CrashHistory::markOver(RunNumber run)
{
    if (CrashExposure *known = find(run); known != nullptr)
        known->isOver = true;
}

std::size_t CrashHistory::crashes() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_exposures, &CrashExposure::hasCrashed));
}

std::uint32_t CrashHistory::blame() const
{
    std::uint32_t sum = 0;
    for (const CrashExposure &it : m_exposures)
        sum += it.blame;
    return sum;
}

bool CrashHistory::isConvicted(const CrashSettings &settings) const
{
    return blame() >= settings.convictingBlame
            || (crashes() >= settings.maxCrashes
                && blame() >= settings.convictingBlameAtMaxCrashes);
}

Duration CrashHistory::trialLength(const CrashSettings &settings) const
{
    const auto outsideTrials = std::ranges::count_if(
            m_exposures, [](const CrashExposure &it) { return it.hasCrashed && it.blame == 0; });
    Duration length = settings.trialLength;
    for (std::ptrdiff_t it = 1; it < outsideTrials && length < settings.maxTrialLength; ++it)
        length *= settings.trialGrowth;
    return std::min(length, settings.maxTrialLength);
}

} // namespace acaciafork::jobs
