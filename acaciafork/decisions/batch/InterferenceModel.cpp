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

Index InterferenceModel::loadLevel(std::int64_t used, std::int64_t capacity)
{
    constexpr std::int64_t permilleScale = 1000;
    constexpr std::int64_t highPermille = 800;
    const std::int64_t permille = used * permilleScale / std::max<std::int64_t>(capacity, 1);
    if (permille < permilleScale / 2)
        return 0;
    return permille < highPermille ? 1 : 2;
}

std::size_t InterferenceModel::pairIndex(Index victim, Index aggressor, Index level)
{
    const std::size_t row = victim % familyCapacity;
    return (row * familyCapacity + aggressor % familyCapacity) * levelCount + level;
}

const PairEstimate &InterferenceModel::pair(Index victim, Index aggressor, Index level) const
{
    return m_pairs[pairIndex(victim, aggressor, level)];
}

void InterferenceModel::observe(Index victim, std::span<const CoRunner> coRunners, Index level,
                                double slowdown)
{
    if (coRunners.empty())
        return;
    ++m_observations;

    // What the present estimates foretell, and how unsure the foretelling is.
    double predicted = 0;
    double variance = m_settings.measurementNoise * m_settings.measurementNoise;
    for (const CoRunner &it : coRunners) {
        const PairEstimate &pair = m_pairs[pairIndex(victim, it.family, level)];
        predicted += it.count * pair.mean;
        variance += it.count * it.count * pair.variance;
    }

    // One wild measurement moves nothing further than a very unlikely one would.
    constexpr double maxDeviations = 3;
    const double bound = maxDeviations * std::sqrt(variance);
    const double error = std::clamp(slowdown - predicted, -bound, bound);
    const auto minVariance = static_cast<float>(m_settings.minDeviation * m_settings.minDeviation);
    for (const CoRunner &it : coRunners) {
        PairEstimate &pair = m_pairs[pairIndex(victim, it.family, level)];
        const double gain = it.count * pair.variance / variance;
        pair.mean += static_cast<float>(gain * error);
        pair.variance =
                std::max(minVariance, static_cast<float>(pair.variance * (1 - gain * it.count)));
    }
}

} // namespace acaciafork::batch
