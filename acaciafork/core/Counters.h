#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "acaciafork/core/Histogram.h"

namespace acaciafork {

/// Content type of CounterRegistry::prometheusText().
inline constexpr std::string_view prometheusContentType = "text/plain; version=0.0.4";

/// Kind of a metric, as the Prometheus text format names it.
enum class MetricKind : std::uint8_t { Counter, Gauge };

/// One number that a process shows at /metrics.
struct Counter
{
    /// Metric name with labels, such as `entry_requests_total{outcome="answered"}`.
    std::string name;
    MetricKind kind = MetricKind::Counter;
    std::int64_t value = 0;

    /// Adds to the number; the only thing done on a hot path.
    void add(std::int64_t n = 1) { value += n; }
    /// Sets a gauge.
    void set(std::int64_t n) { value = n; }
};

/// The counters and histograms of one process, used by its one loop. References stay valid for its
/// lifetime.
class CounterRegistry
{
public:
    /// Counter of that name, made on first use.
    Counter &counter(std::string_view name, MetricKind kind = MetricKind::Counter);

    /// Histogram of that name, made on first use.
    Histogram &histogram(std::string_view name);

    /// All counters, then all histograms, in the Prometheus text format, in order of registration,
    /// prefix `acaciafork_`.
    [[nodiscard]] std::string prometheusText() const;

    /// Every counter, in order of registration.
    [[nodiscard]] const std::deque<Counter> &all() const { return m_counters; }

private:
    std::deque<Counter> m_counters;
    std::deque<Histogram> m_histograms;
};

} // namespace acaciafork
