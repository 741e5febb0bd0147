#include "acaciafork/decisions/jobs/CrashHistory.h"

#include <algorithm>
#include <cmath>
#include <map>

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
    clear(run);
    for (CrashExposure &it : m_exposures)
        it.blame = 0;
}

std::size_t CrashHistory::crashes() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_exposures, &CrashExposure::hasCrashed));
}

std::uint32_t CrashHistory::blame(const CrashSettings &settings) const
{
    std::map<WorkerName, std::pair<std::uint32_t, std::uint32_t>> byWorker;
    for (const CrashExposure &it : m_exposures) {
        if (it.blame == 0)
            continue;
        auto &[greatest, crashes] = byWorker[it.worker];
        greatest = std::max(greatest, it.blame);
        ++crashes;
    }
    std::uint32_t sum = 0;
    for (const auto &[worker, evidence] : byWorker) {
        const auto &[greatest, crashes] = evidence;
        const std::uint32_t repeated = std::min(greatest, settings.repeatedCrashBlame);
        sum += std::min(greatest + (crashes - 1) * repeated, settings.maxBlamePerWorker);
    }
    return sum;
}

bool CrashHistory::hasCrashed(const WorkerName &worker) const
{
    return std::ranges::any_of(m_exposures, [&](const CrashExposure &it) {
        return it.hasCrashed && it.worker == worker;
    });
}

bool CrashHistory::isConvicted(const CrashSettings &settings) const
{
    const std::uint32_t sum = blame(settings);
    return sum >= settings.convictingBlame
            || (crashes() >= settings.maxCrashes && sum >= settings.convictingBlameAtMaxCrashes);
}

std::size_t CrashHistory::maxSharedRuns(const CrashSettings &settings) const
{
    const std::size_t n = std::max<std::size_t>(crashes(), 1);
    return settings.maxSharedRuns.at(std::min(n, settings.maxSharedRuns.size()) - 1);
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
