#include "acaciafork/core/Counters.h"

#include <algorithm>
#include <set>

namespace acaciafork {

Counter &CounterRegistry::counter(std::string_view name, MetricKind kind)
{
    const auto it = std::find_if(m_counters.begin(), m_counters.end(),
                                 [name](const Counter &c) { return c.name == name; });
    if (it != m_counters.end())
        return *it;
    return m_counters.emplace_back(Counter { .name = std::string(name), .kind = kind });
}

std::string CounterRegistry::prometheusText() const
{
    std::string text;
    std::set<std::string_view> described;
    for (const Counter &it : m_counters) {
        // The type line stands once per metric, before its first sample.
        const std::string_view metric = std::string_view(it.name).substr(0, it.name.find('{'));
        if (described.insert(metric).second) {
            text += "# TYPE acaciafork_";
            text += metric;
            text += it.kind == MetricKind::Gauge ? " gauge\n" : " counter\n";
        }
        text += "acaciafork_" + it.name + ' ' + std::to_string(it.value) + '\n';
    }
    return text;
}

} // namespace acaciafork
