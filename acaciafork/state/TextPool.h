#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace acaciafork::state {

/// Interns texts that many tasks share: each is stored once, for as long as a handle refers to it.
/// Not thread-safe; must outlive its handles.
class TextPool
{
public:
    /// The pool that holds a text, and the number of handles that refer to the text.
    struct Entry
    {
        TextPool *pool = nullptr;
        std::uint32_t refCount = 0;
    };
    /// Entries by text.
    using Map = std::map<std::string, Entry, std::less<>>;

    TextPool() = default;
    TextPool(const TextPool &) = delete;
    TextPool &operator=(const TextPool &) = delete;

    /// Number of distinct texts stored.
    [[nodiscard]] std::size_t size() const { return m_texts.size(); }

private:
    template <typename Name>
    friend class PooledText;

    Map::value_type *acquire(std::string_view text);
    void release(Map::value_type *text);

    Map m_texts;
};

/// Reference-counted handle to a text in a TextPool that converts to Name, which may be
/// std::string. Its size is one pointer; the empty text is not stored in a pool.
template <typename Name>
class PooledText
{
public:
    PooledText() = default;
    /// Creates a handle to `text` in `pool`.
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
    /// Returns a copy that does not depend on the pool.
    operator Name() const { return Name { std::string(view()) }; } // NOLINT: implicit on purpose

private:
    TextPool::Map::value_type *m_text = nullptr;
};

} // namespace acaciafork::state
