#include "acaciafork/decisions/jobs/DurationModel.h"

#include <algorithm>
#include <span>

namespace acaciafork::jobs {
namespace {

/// Fewer steps than this say too little of a queue.
constexpr std::size_t minSteps = 8;
/// A larger ratio only shows that a step was held up by something else than its work.
constexpr double maxRatio = 8;

} // namespace

void DurationModel::observe(const std::string &queue, Duration estimate, Duration took)
{
    if (estimate <= Duration {} || took <= Duration {})
        return;
    const double ratio = static_cast<double>(took.count()) / static_cast<double>(estimate.count());
    Window &window = m_queues[queue];
    window.ratios.at(window.next) = static_cast<float>(std::min(ratio, maxRatio));
    window.next = (window.next + 1) % Window::length;
    window.count = std::min(window.count + 1, Window::length);
    if (window.count < minSteps)
        return;
    std::array<float, Window::length> sorted = window.ratios;
    const std::span<float> known = std::span(sorted).first(window.count);
    const auto quantile = known.begin() + static_cast<std::ptrdiff_t>(known.size() * 3 / 4);
    std::nth_element(known.begin(), quantile, known.end());
    window.upper = std::max(1.0F, *quantile);
}

double DurationModel::stretch(const std::string &queue) const
{
    const auto it = m_queues.find(queue);
    return it == m_queues.end() ? 1 : it->second.upper;
}

} // namespace acaciafork::jobs
