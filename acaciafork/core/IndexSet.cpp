#include "acaciafork/core/IndexSet.h"

#include <algorithm>

namespace acaciafork {

bool IndexSet::contains(std::uint32_t index) const
{
    if (index < m_below)
        return true;
    const std::size_t position = index - m_below;
    return position < m_above.size() && m_above[position];
}

bool IndexSet::insert(std::uint32_t index)
{
    if (contains(index))
        return false;
    ++m_size;
    const std::size_t position = index - m_below;
    if (position >= m_above.size())
        m_above.resize(position + 1);
    m_above[position] = true;
    const auto missing = std::ranges::find(m_above, false);
    m_below += static_cast<std::uint32_t>(missing - m_above.begin());
    m_above.erase(m_above.begin(), missing);
    if (m_above.empty())
        m_above.shrink_to_fit();
    return true;
}

std::string IndexSet::bitmap() const
{
    std::string bytes((m_above.size() + bitsPerByte - 1) / bitsPerByte, '\0');
    for (std::size_t it = 0; it < m_above.size(); ++it) {
        if (m_above[it])
            bytes[it / bitsPerByte] |= static_cast<char>(1U << (it % bitsPerByte));
    }
    return bytes;
}

IndexSet IndexSet::restore(std::uint32_t below, std::string_view bitmap)
{
    IndexSet set;
    set.m_below = below;
    set.m_size = below;
    for (std::size_t it = 0; it < bitmap.size() * bitsPerByte; ++it) {
        const auto byte = static_cast<unsigned char>(bitmap[it / bitsPerByte]);
        if ((byte >> (it % bitsPerByte) & 1U) != 0)
            set.insert(below + static_cast<std::uint32_t>(it));
    }
    return set;
}

} // namespace acaciafork
