#include "benchmarks/slopes/LineFit.h"

#include <algorithm>
#include <cmath>

#include "acaciafork/core/Core.h"

namespace acaciafork::slopes {

namespace {

double weightOf(const Point &point)
{
    return 1 / std::max(point.value * point.value, 1e-9);
}

} // namespace

LineFit fitLine(std::span<const Point> points)
{
    ACACIAFORK_ASSERT(points.size() >= 2);

    // Each point counts by its relative distance, so that small sizes say as much as large ones.
    double sum = 0;
    double sumSize = 0;
    double sumValue = 0;
    for (const Point &it : points) {
        const double weight = weightOf(it);
        sum += weight;
        sumSize += weight * it.size;
        sumValue += weight * it.value;
    }
    const double meanSize = sumSize / sum;
    const double meanValue = sumValue / sum;

    double covariance = 0;
    double variance = 0;
    for (const Point &it : points) {
        covariance += weightOf(it) * (it.size - meanSize) * (it.value - meanValue);
        variance += weightOf(it) * (it.size - meanSize) * (it.size - meanSize);
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
