#pragma once

#include <span>
#include <vector>

#include "acaciafork/decisions/batch/NameIndex.h"
#include "acaciafork/decisions/batch/Types.h"

namespace acaciafork::batch {

/// Parameters for learning the interference between tasks.
struct InterferenceSettings
{
    /// Standard deviation of one measured slowdown.
    double measurementNoise = 0.15;
    /// Mean and standard deviation assumed for a pair before the first measurement.
    double priorMean = 0;
    double priorDeviation = 0.2;
    /// Lower bound of the standard deviation of a pair, because interference drifts over time.
    double minDeviation = 0.01;
};

/// Learned slowdown that one task of a family causes to one task of another, at one load level of
/// the worker.
struct PairEstimate
{
    float mean = 0;
    float variance = 0;
};

/// A family that ran on the same worker as the victim, and the number of its tasks there.
struct CoRunner
{
    Index family = noIndex;
    float count = 0;
};

/// Slowdown between pairs of families at three load levels. A measurement gives only the total
/// effect of all neighbours of a task. Each pair is an independent estimate with its own variance;
/// a measurement changes the least certain estimates most.
class InterferenceModel
{
public:
    /// Load levels: less than half of the cores in use, less than four fifths, and above.
    static constexpr Index levelCount = 3;
    /// Families beyond this number share estimates.
    static constexpr Index familyCapacity = 256;

    explicit InterferenceModel(const InterferenceSettings &settings);

    /// Load level of a worker with `used` of `capacity` cores in use.
    static Index loadLevel(std::int64_t used, std::int64_t capacity);

    /// Records a measured slowdown (0 is none) of a task of `victim` that ran beside `coRunners`.
    void observe(Index victim, std::span<const CoRunner> coRunners, Index level, double slowdown);

    /// Estimated slowdown that one task of `aggressor` causes to one task of `victim`.
    [[nodiscard]] const PairEstimate &pair(Index victim, Index aggressor, Index level) const;
    /// Sets an estimate that was learned elsewhere.
    void setPair(Index victim, Index aggressor, Index level, const PairEstimate &estimate)
    {
        m_pairs[pairIndex(victim, aggressor, level)] = estimate;
    }
    /// Expected slowdown: the estimated mean, but never negative.
    [[nodiscard]] double expected(Index victim, Index aggressor, Index level) const
    {
        return std::max(0.0F, pair(victim, aggressor, level).mean);
    }
    /// Number of recorded observations.
    [[nodiscard]] std::uint64_t observations() const { return m_observations; }

private:
    [[nodiscard]] static std::size_t pairIndex(Index victim, Index aggressor, Index level);

    InterferenceSettings m_settings;
    std::vector<PairEstimate> m_pairs;
    std::uint64_t m_observations = 0;
};

} // namespace acaciafork::batch
