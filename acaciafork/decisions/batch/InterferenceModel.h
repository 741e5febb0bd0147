#pragma once

#include <span>
#include <vector>

#include "acaciafork/decisions/batch/NameIndex.h"
#include "acaciafork/decisions/batch/Types.h"

namespace acaciafork::batch {

/// How disturbance between tasks is learned.
struct InterferenceSettings
{
    /// Standard deviation of one measured slowdown.
    double measurementNoise = 0.15;
    /// What is assumed of a pair before it was measured, and how unsure that is.
    double priorMean = 0;
    double priorDeviation = 0.2;
    /// Uncertainty that a pair keeps, because disturbance drifts.
    double minDeviation = 0.01;
};

/// Learned slowdown that one task of a family causes to one of another, by load of the worker.
struct PairEstimate
{
    float mean = 0;
    float variance = 0;
};

/// A family beside the victim, and how many of its tasks ran there.
struct CoRunner
{
    Index family = noIndex;
    float count = 0;
};

/// Slowdown between pairs of families at three levels of load, learned from sums: a measured task
/// had all its neighbours at once. Each pair is an independent estimate with its variance; a
/// measurement moves the unsure ones most.
class InterferenceModel
{
public:
    /// Levels of load: below half of the cores in use, below four fifths, above.
    static constexpr Index levelCount = 3;
    /// Families beyond this many share estimates.
    static constexpr Index familyCapacity = 256;

    explicit InterferenceModel(const InterferenceSettings &settings);

    /// Level of a worker of which `used` of `capacity` cores are in use.
    static Index loadLevel(std::int64_t used, std::int64_t capacity);

    /// Takes a measured slowdown (0 is none) of a task of `victim` beside `coRunners`.
    void observe(Index victim, std::span<const CoRunner> coRunners, Index level, double slowdown);

    /// Slowdown that one task of `aggressor` causes to one of `victim`.
    [[nodiscard]] const PairEstimate &pair(Index victim, Index aggressor, Index level) const;
    /// Sets what was learnt of a pair elsewhere.
    void setPair(Index victim, Index aggressor, Index level, const PairEstimate &estimate)
    {
        m_pairs[pairIndex(victim, aggressor, level)] = estimate;
    }
    /// What to reckon with: the mean, never negative.
    [[nodiscard]] double expected(Index victim, Index aggressor, Index level) const
    {
        return std::max(0.0F, pair(victim, aggressor, level).mean);
    }
    /// Observations taken.
    [[nodiscard]] std::uint64_t observations() const { return m_observations; }

private:
    [[nodiscard]] static std::size_t pairIndex(Index victim, Index aggressor, Index level);

    InterferenceSettings m_settings;
    std::vector<PairEstimate> m_pairs;
    std::uint64_t m_observations = 0;
};

} // namespace acaciafork::batch
