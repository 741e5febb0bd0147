#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace acaciafork::state {

/// Texts that many tasks have in common, each held once for as long as one of them uses it. For one
/// thread; must outlive the handles it gives out.
class TextPool
{
public:
    /// A text and how many handles refer to it.
    struct Entry
    {
        TextPool *pool = nullptr;
        std::uint32_t refCount = 0;
    };
    /// Texts held.
    using Map = std::map<std::string, Entry, std::less<>>;

    TextPool() = default;
    TextPool(const TextPool &) = delete;
    TextPool &operator=(const TextPool &) = delete;

    /// How many different texts are held.
    [[nodiscard]] std::size_t size() const { return m_texts.size(); }

private:
    template <typename Name>
    friend class PooledText;

    Map::value_type *acquire(std::string_view text);
    void release(Map::value_type *text);

    Map m_texts;
};

/// Handle on a pooled text that reads as a Name, or as a std::string. One pointer wide; the empty
/// text needs no pool.
template <typename Name>
class PooledText
{
public:
    PooledText() = default;
    /// Handle on `text` in `pool`.
    PooledText(TextPool *pool, std::string_view text)
        : m_text(text.empty() ? nullptr : pool->acquire(text))
    { }
    PooledText(const PooledText &other)
        : m_text(other.m_text)
    {
        if (m_text != nullptr)
            ++m_text->second.refCount;
    }
    PooledText(PooledText &&other) noexcept
        : m_text(std::exchange(other.m_text, nullptr))
    { }
    PooledText &operator=(PooledText other) noexcept
    {
        std::swap(m_text, other.m_text);
        return *this;
    }
    ~PooledText()
    {
        if (m_text != nullptr && --m_text->second.refCount == 0)
            m_text->second.pool->release(m_text);
    }

    /// The text.
    [[nodiscard]] std::string_view view() const
    {
        return m_text == nullptr ? std::string_view() : std::string_view(m_text->first);
    }
    /// True for the empty text.
    [[nodiscard]] bool empty() const { return m_text == nullptr; }
    /// A copy that needs no pool.
    operator Name() const { return Name { std::string(view()) }; } // NOLINT: reads as a Name

private:
    TextPool::Map::value_type *m_text = nullptr;
};

} // namespace acaciafork::state
