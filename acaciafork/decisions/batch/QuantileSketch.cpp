#include "acaciafork/decisions/batch/QuantileSketch.h"

#include <algorithm>
#include <cmath>

namespace acaciafork::batch {

void QuantileSketch::add(double ratio)
{
    if (m_totalWeight >= maxWeight) {
        for (float &it : m_counts)
            it /= 2;
        m_totalWeight /= 2;
        m_previousLargest = m_recentLargest;
        m_recentLargest = 0;
    }
    const double position = (std::log2(std::max(ratio, 1e-9)) + lowestOctave) * bucketsPerOctave;
    ++m_counts[static_cast<std::size_t>(std::clamp(position, 0.0, bucketCount - 1.0))];
    ++m_totalWeight;
    m_recentLargest = std::max(m_recentLargest, ratio);
}

double QuantileSketch::quantile(double q) const
{
    if (m_totalWeight <= 0)
        return 0;
    double seen = 0;
    int bucket = 0;
    for (; bucket < bucketCount - 1; ++bucket) {
        seen += m_counts[static_cast<std::size_t>(bucket)];
        if (seen >= q * m_totalWeight)
            break;
    }
    const double edge =
            std::exp2(static_cast<double>(bucket + 1) / bucketsPerOctave - lowestOctave);
    return std::min(edge, std::max(m_recentLargest, m_previousLargest));
}

} // namespace acaciafork::batch
