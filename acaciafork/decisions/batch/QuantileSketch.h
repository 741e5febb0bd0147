#pragma once

#include <array>
#include <cstdint>

namespace acaciafork::batch {

/// Estimates quantiles of a positive ratio with logarithmic buckets, each an eighth of an octave
/// wide. Older observations lose weight, so that the quantiles follow changes of behaviour.
class QuantileSketch
{
public:
    /// Adds one observation.
    void add(double ratio);
    /// Returns the upper edge of the bucket that contains the quantile, but no more than the
    /// largest recent observation; 0 without observations.
    [[nodiscard]] double quantile(double q) const;
    /// Total weight of the observations, after decay.
    [[nodiscard]] double weight() const { return m_totalWeight; }

private:
    static constexpr int bucketsPerOctave = 8;
    static constexpr int octaves = 16;
    static constexpr int bucketCount = bucketsPerOctave * octaves;
    /// The lower edge of the lowest bucket is 2^-lowestOctave.
    static constexpr int lowestOctave = 8;
    /// All counts are halved when the total weight reaches this value.
    static constexpr float maxWeight = 400;

    std::array<float, bucketCount> m_counts {};
    float m_totalWeight = 0;
    /// Largest observation since the counts were last halved, and in the period before that.
    double m_recentLargest = 0;
    double m_previousLargest = 0;
};

} // namespace acaciafork::batch
