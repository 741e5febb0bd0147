#include "benchmarks/slopes/LineFit.h"

#include <algorithm>
#include <cmath>

#include "acaciafork/core/Core.h"

namespace acaciafork::slopes {

LineFit fitLine(std::span<const Point> points)
{
    ACACIAFORK_ASSERT(points.size() >= 2);
    const auto n = static_cast<double>(points.size());
    double sumSize = 0;
    double sumValue = 0;
    for (const Point &it : points) {
        sumSize += it.size;
        sumValue += it.value;
    }
    const double meanSize = sumSize / n;
    const double meanValue = sumValue / n;

    double covariance = 0;
    double variance = 0;
    for (const Point &it : points) {
        covariance += (it.size - meanSize) * (it.value - meanValue);
        variance += (it.size - meanSize) * (it.size - meanSize);
    }
    LineFit fit { .slope = covariance / variance };
    fit.constant = meanValue - fit.slope * meanSize;
    for (const Point &it : points) {
        const double error =
                std::abs(fit.at(it.size) - it.value) / std::max(std::abs(it.value), 1e-9);
        fit.worstError = std::max(fit.worstError, error);
    }
    return fit;
}

} // namespace acaciafork::slopes
