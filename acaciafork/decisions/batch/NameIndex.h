#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace acaciafork::batch {

/// Position of an entry in its table. Indexes are dense, so that tables are plain vectors.
using Index = std::uint32_t;
/// Marks an index as unset.
inline constexpr Index noIndex = UINT32_MAX;

/// Assigns dense indexes to names in order of first use.
template <typename NameType>
class NameIndex
{
public:
    /// Returns the index of `name`; assigns a new one when the name is unknown.
    Index intern(const NameType &name)
    {
        const auto [it, isNew] = m_indexes.try_emplace(name, static_cast<Index>(m_names.size()));
        if (isNew)
            m_names.push_back(name);
        return it->second;
    }

    /// Returns the index of `name`, or noIndex.
    [[nodiscard]] Index find(const NameType &name) const
    {
        const auto it = m_indexes.find(name);
        return it == m_indexes.end() ? noIndex : it->second;
    }

    /// Returns the name at `index`.
    [[nodiscard]] const NameType &name(Index index) const { return m_names[index]; }
    /// Number of names.
    [[nodiscard]] std::size_t size() const { return m_names.size(); }

private:
    std::unordered_map<NameType, Index> m_indexes;
    std::vector<NameType> m_names;
};

} // namespace acaciafork::batch
