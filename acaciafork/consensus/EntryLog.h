#pragma once

#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "acaciafork/consensus/Entry.h"

namespace acaciafork::consensus {

/// The part of the replicated log that a member keeps in memory: everything after a base entry.
class EntryLog
{
public:
    EntryLog() = default;
    /// Starts behind the entry `baseIndex` of `baseTerm`, holding `entries`, which follow it.
    EntryLog(LogIndex baseIndex, Term baseTerm, std::vector<Entry> entries);

    /// Entry before the first one kept.
    [[nodiscard]] LogIndex baseIndex() const { return m_baseIndex; }
    /// Last entry, or the base when none is kept.
    [[nodiscard]] LogIndex lastIndex() const { return m_baseIndex + m_entries.size(); }
    /// Term of the last entry.
    [[nodiscard]] Term lastTerm() const;
    /// Term of an entry from the base on; none outside.
    [[nodiscard]] std::optional<Term> termAt(LogIndex index) const;
    /// Entry kept at `index`, which must lie after the base.
    [[nodiscard]] const Entry &at(LogIndex index) const;

    /// Adds an entry right behind the last one.
    void append(Entry entry);
    /// Drops `index` and all that follows.
    void truncateFrom(LogIndex index);
    /// Drops everything up to and with `index`, which becomes the base.
    void compactTo(LogIndex index);
    /// Forgets everything and starts behind the given base.
    void reset(LogIndex baseIndex, Term baseTerm);
    /// Entries of [first, last], as many as stay within `maxBytes` of payload, at least one.
    [[nodiscard]] std::vector<Entry> slice(LogIndex first, LogIndex last,
                                           std::size_t maxBytes) const;

private:
    LogIndex m_baseIndex = 0;
    Term m_baseTerm = 0;
    std::deque<Entry> m_entries;
};

} // namespace acaciafork::consensus
