#include "acaciafork/core/Histogram.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <spdlog/fmt/fmt.h>

namespace acaciafork {
namespace {

namespace bh = boost::histogram;

constexpr double microsecondsPerSecond = 1e6;

auto makeBuckets()
{
    // A bucket of the axis ends below its upper edge, one of Prometheus includes its bound. What
    // lies above the last one is the axis's overflow.
    std::array<double, Histogram::boundSeconds.size() + 1> edges {};
    std::ranges::transform(Histogram::boundSeconds, edges.begin() + 1, [](double bound) {
        return std::nextafter(bound, std::numeric_limits<double>::infinity());
    });
    return bh::make_histogram(bh::axis::variable<>(edges));
}

} // namespace

class Histogram::Impl
{
public:
    decltype(makeBuckets()) buckets = makeBuckets();
    double sum = 0;
    std::uint64_t count = 0;
};

Histogram::Histogram(std::string name)
    : m_name(std::move(name))
    , m_impl(std::make_unique<Impl>())
{ }

Histogram::~Histogram() = default;

void Histogram::observe(Duration length)
{
    const double seconds =
            std::max(0.0, static_cast<double>(length.count()) / microsecondsPerSecond);
    m_impl->buckets(seconds);
    m_impl->sum += seconds;
    ++m_impl->count;
}

std::uint64_t Histogram::count() const
{
    return m_impl->count;
}

std::string Histogram::prometheusText(std::string_view prefix) const
{
    const std::size_t brace = m_name.find('{');
    const std::string metric = std::string(prefix) + m_name.substr(0, brace);
    // Labels without their braces; the bound of a bucket comes after them.
    const std::string labels = brace == std::string::npos
            ? std::string()
            : m_name.substr(brace + 1, m_name.size() - brace - 2);
    const std::string separator = labels.empty() ? "" : ",";
    std::string text;
    double below = 0;
    for (std::size_t i = 0; i < boundSeconds.size(); ++i) {
        below += m_impl->buckets.at(static_cast<int>(i));
        text += fmt::format("{}_bucket{{{}{}le=\"{}\"}} {:.0f}\n", metric, labels, separator,
                            boundSeconds.at(i), below);
    }
    text += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", metric, labels, separator,
                        m_impl->count);
    const std::string braced = labels.empty() ? "" : '{' + labels + '}';
    text += fmt::format("{}_sum{} {}\n", metric, braced, m_impl->sum);
    text += fmt::format("{}_count{} {}\n", metric, braced, m_impl->count);
    return text;
}

} // namespace acaciafork
