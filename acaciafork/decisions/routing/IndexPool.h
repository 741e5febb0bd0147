#pragma once

#include <vector>

#include "acaciafork/decisions/routing/RequestRecord.h"

namespace acaciafork::routing {

/// Unordered set of table rows with constant-time insertion, removal and random access. Each row
/// stores its position in `poolPosition`, so a row can be in at most one pool.
class IndexPool
{
public:
    /// Adds row `index` of `table` unless it is already in the pool.
    template <typename Table>
    void add(TableIndex index, Table *table)
    {
        if ((*table)[index].poolPosition != noIndex)
            return;
        (*table)[index].poolPosition = static_cast<TableIndex>(m_items.size());
        m_items.push_back(index);
    }

    /// Removes row `index` of `table` if it is in the pool. The last row moves to its position.
    template <typename Table>
    void remove(TableIndex index, Table *table)
    {
        const TableIndex position = (*table)[index].poolPosition;
        if (position == noIndex)
            return;
        const TableIndex last = m_items.back();
        m_items[position] = last;
        (*table)[last].poolPosition = position;
        (*table)[index].poolPosition = noIndex;
        m_items.pop_back();
    }

    [[nodiscard]] bool empty() const { return m_items.empty(); }
    [[nodiscard]] std::size_t size() const { return m_items.size(); }
    /// Row at a position below size().
    [[nodiscard]] TableIndex at(std::size_t position) const { return m_items[position]; }

private:
    std::vector<TableIndex> m_items;
};

} // namespace acaciafork::routing
