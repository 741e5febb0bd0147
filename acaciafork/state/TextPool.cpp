#include "acaciafork/state/TextPool.h"

namespace acaciafork::state {

TextPool::Map::value_type *TextPool::acquire(std::string_view text)
{
    auto it = m_texts.find(text);
    if (it == m_texts.end())
        it = m_texts.emplace(std::string(text), Entry { .pool = this }).first;
    ++it->second.refCount;
    return &*it;
}

void TextPool::release(Map::value_type *text)
{
    m_texts.erase(m_texts.find(text->first));
}

} // namespace acaciafork::state
