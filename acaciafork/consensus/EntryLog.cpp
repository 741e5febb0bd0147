#include "acaciafork/consensus/EntryLog.h"

#include <algorithm>

#include "acaciafork/core/Assert.h"

namespace acaciafork::consensus {
namespace {

/// Memory of an entry; the payload's string and reference count are allocated with it.
std::uint64_t memoryOf(const Entry &entry)
{
    constexpr std::uint64_t overhead = 64;
    return sizeof(Entry) + overhead + entry.size();
}

} // namespace

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
    m_ends.push_back((m_ends.empty() ? m_baseEnd : m_ends.back()) + memoryOf(entry));
    m_entries.push_back(std::move(entry));
}

std::uint64_t EntryLog::bytesUpTo(LogIndex index) const
{
    if (index <= m_baseIndex || m_ends.empty())
        return 0;
    return m_ends[std::min(index, lastIndex()) - m_baseIndex - 1] - m_baseEnd;
}

LogIndex EntryLog::firstWithin(LogIndex last, std::uint64_t maxEntries,
                               std::uint64_t maxBytes) const
{
    const std::uint64_t end = bytesUpTo(last);
    LogIndex first = std::max(m_baseIndex, last - std::min(last, maxEntries)) + 1;
    while (first <= last && end - bytesUpTo(first - 1) > maxBytes)
        ++first;
    return first;
}

void EntryLog::truncateFrom(LogIndex index)
{
    ACACIAFORK_ASSERT(index > m_baseIndex);
    while (lastIndex() >= index) {
        m_entries.pop_back();
        m_ends.pop_back();
    }
}

void EntryLog::compactTo(LogIndex index)
{
    ACACIAFORK_ASSERT(index <= lastIndex());
    while (m_baseIndex < index) {
        m_baseTerm = m_entries.front().term;
        m_baseEnd = m_ends.front();
        m_entries.pop_front();
        m_ends.pop_front();
        ++m_baseIndex;
    }
}

void EntryLog::reset(LogIndex baseIndex, Term baseTerm)
{
    m_entries.clear();
    m_ends.clear();
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
