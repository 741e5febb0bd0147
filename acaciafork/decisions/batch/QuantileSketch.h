#pragma once

#include <array>
#include <cstdint>

namespace acaciafork::batch {

/// Quantiles of a positive ratio, in logarithmic buckets of an eighth octave; older observations
/// fade, so that a change of habit shows.
class QuantileSketch
{
public:
    /// Adds one observation.
    void add(double ratio);
    /// Upper edge of the bucket that holds the quantile, but not more than the largest of late; 0
    /// without observations.
    [[nodiscard]] double quantile(double q) const;
    /// Weight of what was seen and has not faded.
    [[nodiscard]] double weight() const { return m_totalWeight; }

private:
    static constexpr int bucketsPerOctave = 8;
    static constexpr int octaves = 16;
    static constexpr int bucketCount = bucketsPerOctave * octaves;
    /// Ratio of the lowest edge: 2^-lowestOctave.
    static constexpr int lowestOctave = 8;
    /// Beyond this weight all is halved.
    static constexpr float maxWeight = 400;

    std::array<float, bucketCount> m_counts {};
    float m_totalWeight = 0;
    /// Largest since the latest fading, and in the period before.
    double m_recentLargest = 0;
    double m_previousLargest = 0;
};

} // namespace acaciafork::batch
