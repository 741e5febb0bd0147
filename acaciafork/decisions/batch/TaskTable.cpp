#include "acaciafork/decisions/batch/TaskTable.h"

namespace acaciafork::batch {

Index TaskTable::add(const TaskName &name)
{
    Index index = static_cast<Index>(m_tasks.size());
    if (m_freeIndexes.empty()) {
        m_tasks.emplace_back();
    } else {
        index = m_freeIndexes.back();
        m_freeIndexes.pop_back();
    }
    m_tasks[index] = Task { .name = name };
    const bool isNew = m_indexes.emplace(name, index).second;
    ACACIAFORK_ASSERT(isNew);
    return index;
}

void TaskTable::remove(Index index)
{
    ACACIAFORK_ASSERT(!m_tasks[index].onWorker());
    m_indexes.erase(m_tasks[index].name);
    m_tasks[index] = Task {};
    m_freeIndexes.push_back(index);
}

Index TaskTable::find(const TaskName &name) const
{
    const auto it = m_indexes.find(name);
    return it == m_indexes.end() ? noIndex : it->second;
}

} // namespace acaciafork::batch
