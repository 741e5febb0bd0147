#include "acaciafork/core/Counters.h"

#include <algorithm>
#include <set>

namespace acaciafork {
namespace {

constexpr std::string_view prefix = "acaciafork_";

/// The type line of a metric, which stands once, before its first sample.
void describeType(std::string_view name, std::string_view type,
                  std::set<std::string_view> *described, std::string *text)
{
    const std::string_view metric = name.substr(0, name.find('{'));
    if (described->insert(metric).second)
        *text += "# TYPE " + std::string(prefix) + std::string(metric) + ' ' + std::string(type)
                + '\n';
}

} // namespace

Counter &CounterRegistry::counter(std::string_view name, MetricKind kind)
{
    const auto it = std::find_if(m_counters.begin(), m_counters.end(),
                                 [name](const Counter &c) { return c.name == name; });
    if (it != m_counters.end())
        return *it;
    return m_counters.emplace_back(Counter { .name = std::string(name), .kind = kind });
}

Histogram &CounterRegistry::histogram(std::string_view name)
{
    const auto it = std::ranges::find(m_histograms, name, &Histogram::name);
    return it != m_histograms.end() ? *it : m_histograms.emplace_back(std::string(name));
}

std::string CounterRegistry::prometheusText() const
{
    std::string text;
    std::set<std::string_view> described;
    for (const Counter &it : m_counters) {
        describeType(it.name, it.kind == MetricKind::Gauge ? "gauge" : "counter", &described,
                     &text);
        text += std::string(prefix) + it.name + ' ' + std::to_string(it.value) + '\n';
    }
    for (const Histogram &it : m_histograms) {
        describeType(it.name(), "histogram", &described, &text);
        text += it.prometheusText(prefix);
    }
    return text;
}

} // namespace acaciafork
