#include "acaciafork/core/TaskResults.h"

#include <algorithm>

namespace acaciafork {

TaskResults TaskResults::fromFlags(std::uint32_t occurrences, std::uint32_t tasks,
                                   std::string_view flags)
{
    TaskResults results(occurrences, tasks);
    const std::size_t n = std::min<std::size_t>(flags.size(), results.taskCount());
    for (std::size_t it = 0; it < n; ++it) {
        if (flags[it] != '\0')
            results.markDone(static_cast<std::uint32_t>(it / tasks),
                             static_cast<std::uint32_t>(it % tasks));
    }
    return results;
}

bool TaskResults::isDone(std::uint32_t occurrence, std::uint32_t task) const
{
    if (m_ended.contains(occurrence))
        return true;
    const auto it = m_open.find(occurrence);
    return it != m_open.end() && it->second.contains(task);
}

bool TaskResults::markDone(std::uint32_t occurrence, std::uint32_t task)
{
    if (m_ended.contains(occurrence))
        return false;
    const auto it = m_open.try_emplace(occurrence).first;
    if (!it->second.insert(task))
        return false;
    if (it->second.size() == m_tasks) {
        m_open.erase(it);
        m_ended.insert(occurrence);
    }
    return true;
}

std::uint64_t TaskResults::doneCount() const
{
    std::uint64_t n = std::uint64_t { m_ended.size() } * m_tasks;
    for (const auto &[occurrence, done] : m_open)
        n += done.size();
    return n;
}

bool TaskResults::restore(IndexSet ended, std::map<std::uint32_t, IndexSet> open)
{
    const auto isValid = [&](const auto &it) {
        const IndexSet &done = it.second;
        return it.first < m_occurrences && !ended.contains(it.first) && done.size() > 0
                && done.size() < m_tasks && done.end() <= m_tasks;
    };
    if (ended.end() > m_occurrences || !std::ranges::all_of(open, isValid))
        return false;
    m_ended = std::move(ended);
    m_open = std::move(open);
    return true;
}

std::size_t TaskResults::bytes() const
{
    // A node of the map holds three pointers and a colour beside its value.
    constexpr std::size_t nodeBytes = 4 * sizeof(void *);
    std::size_t n = m_ended.bytes();
    for (const auto &it : m_open)
        n += sizeof(it) + nodeBytes + it.second.bytes();
    return n;
}

} // namespace acaciafork
