#include "acaciafork/decisions/batch/InterferenceModel.h"

#include <cmath>

namespace acaciafork::batch {

InterferenceModel::InterferenceModel(const InterferenceSettings &settings)
    : m_settings(settings)
    , m_pairs(std::size_t { familyCapacity } * familyCapacity * levelCount,
              PairEstimate { .mean = static_cast<float>(settings.priorMean),
                             .variance = static_cast<float>(settings.priorDeviation
                                                            * settings.priorDeviation) })
{ }

Index InterferenceModel::levelOf(std::int64_t used, std::int64_t room)
{
    constexpr std::int64_t whole = 1000;
    constexpr std::int64_t highPermille = 800;
    const std::int64_t permille = used * whole / std::max<std::int64_t>(room, 1);
    if (permille < whole / 2)
        return 0;
    return permille < highPermille ? 1 : 2;
}

std::size_t InterferenceModel::place(Index victim, Index aggressor, Index level)
{
    const std::size_t row = victim % familyCapacity;
    return (row * familyCapacity + aggressor % familyCapacity) * levelCount + level;
}

const PairEstimate &InterferenceModel::pair(Index victim, Index aggressor, Index level) const
{
    return m_pairs[place(victim, aggressor, level)];
}

void InterferenceModel::observe(Index victim, std::span<const CoRunner> coRunners, Index level,
                                double slowdown)
{
    if (coRunners.empty())
        return;
    ++m_observations;

    // What the present estimates foretell, and how unsure the foretelling is.
    double foretold = 0;
    double variance = m_settings.measurementNoise * m_settings.measurementNoise;
    for (const CoRunner &it : coRunners) {
        const PairEstimate &pair = m_pairs[place(victim, it.family, level)];
        foretold += it.count * pair.mean;
        variance += it.count * it.count * pair.variance;
    }

    // One wild measurement moves nothing further than a very unlikely one would.
    constexpr double mostDeviations = 3;
    const double bound = mostDeviations * std::sqrt(variance);
    const double error = std::clamp(slowdown - foretold, -bound, bound);
    const auto least = static_cast<float>(m_settings.leastDeviation * m_settings.leastDeviation);
    for (const CoRunner &it : coRunners) {
        PairEstimate &pair = m_pairs[place(victim, it.family, level)];
        const double gain = it.count * pair.variance / variance;
        pair.mean += static_cast<float>(gain * error);
        pair.variance = std::max(least, static_cast<float>(pair.variance * (1 - gain * it.count)));
    }
}

} // namespace acaciafork::batch
