#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace acaciafork {

/// Set of indices that fills from its lower end: all below a bound, and single ones above it. Takes
/// one bit for each index between the lowest missing and the highest present one.
class IndexSet
{
public:
    [[nodiscard]] bool contains(std::uint32_t index) const;
    /// Returns false if the index was in the set.
    bool insert(std::uint32_t index);
    [[nodiscard]] std::uint32_t size() const { return m_size; }
    /// All indices below this one are in the set.
    [[nodiscard]] std::uint32_t below() const { return m_below; }
    /// No index from this one on is in the set.
    [[nodiscard]] std::uint64_t end() const { return m_below + std::uint64_t { m_above.size() }; }
    /// The indices from below() on as a bitmap, the lowest bit of the first byte first.
    [[nodiscard]] std::string bitmap() const;
    /// Builds a set from what below() and bitmap() have returned.
    [[nodiscard]] static IndexSet restore(std::uint32_t below, std::string_view bitmap);
    /// Allocated memory.
    [[nodiscard]] std::size_t bytes() const { return m_above.capacity() / bitsPerByte; }

private:
    static constexpr std::size_t bitsPerByte = 8;

    std::uint32_t m_below = 0;
    std::uint32_t m_size = 0;
    /// Whether m_below, m_below + 1 and so on are in the set; the first never is.
    std::vector<bool> m_above;
};

} // namespace acaciafork
