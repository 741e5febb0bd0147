#include "acaciafork/consensus/EntryLog.h"

#include "acaciafork/core/Assert.h"

namespace acaciafork::consensus {

EntryLog::EntryLog(LogIndex baseIndex, Term baseTerm, std::vector<Entry> entries)
    : m_baseIndex(baseIndex)
    , m_baseTerm(baseTerm)
{
    for (Entry &it : entries)
        append(std::move(it));
}

Term EntryLog::lastTerm() const
{
    return m_entries.empty() ? m_baseTerm : m_entries.back().term;
}

std::optional<Term> EntryLog::termAt(LogIndex index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

const Entry &EntryLog::at(LogIndex index) const
{
    ACACIAFORK_ASSERT(index > m_baseIndex && index <= lastIndex());
    return m_entries[index - m_baseIndex - 1];
}

void EntryLog::append(Entry entry)
{
    ACACIAFORK_ASSERT(entry.index == lastIndex() + 1);
    ACACIAFORK_ASSERT(entry.term >= lastTerm());
    m_entries.push_back(std::move(entry));
}

void EntryLog::truncateFrom(LogIndex index)
{
    ACACIAFORK_ASSERT(index > m_baseIndex);
    while (lastIndex() >= index)
        m_entries.pop_back();
}

void EntryLog::compactTo(LogIndex index)
{
    ACACIAFORK_ASSERT(index <= lastIndex());
    while (m_baseIndex < index) {
        m_baseTerm = m_entries.front().term;
        m_entries.pop_front();
        ++m_baseIndex;
    }
}

void EntryLog::reset(LogIndex baseIndex, Term baseTerm)
{
    m_entries.clear();
    m_baseIndex = baseIndex;
    m_baseTerm = baseTerm;
}

std::vector<Entry> EntryLog::slice(LogIndex first, LogIndex last, std::size_t maxBytes) const
{
    std::vector<Entry> entries;
    std::size_t bytes = 0;
    for (LogIndex it = first; it <= last; ++it) {
        const Entry &entry = at(it);
        bytes += entry.size();
        if (bytes > maxBytes && !entries.empty())
            break;
        entries.push_back(entry);
    }
    return entries;
}

} // namespace acaciafork::consensus
