#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace acaciafork::batch {

/// Position of a thing in its table; dense, so that tables are plain vectors.
using Index = std::uint32_t;
/// "None" of every index.
inline constexpr Index noIndex = UINT32_MAX;

/// Gives names dense numbers in order of first use.
template <typename NameType>
class NameIndex
{
public:
    /// Number of `name`, new when it was not seen before.
    Index intern(const NameType &name)
    {
        const auto [it, isNew] = m_indexes.try_emplace(name, static_cast<Index>(m_names.size()));
        if (isNew)
            m_names.push_back(name);
        return it->second;
    }

    /// Number of `name`, or noIndex.
    [[nodiscard]] Index find(const NameType &name) const
    {
        const auto it = m_indexes.find(name);
        return it == m_indexes.end() ? noIndex : it->second;
    }

    /// Name of a number.
    [[nodiscard]] const NameType &name(Index index) const { return m_names[index]; }
    /// How many names there are.
    [[nodiscard]] std::size_t size() const { return m_names.size(); }

private:
    std::unordered_map<NameType, Index> m_indexes;
    std::vector<NameType> m_names;
};

} // namespace acaciafork::batch
