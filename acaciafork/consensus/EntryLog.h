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
    /// Starts with `entries`, which follow the base entry given by `baseIndex` and `baseTerm`.
    EntryLog(LogIndex baseIndex, Term baseTerm, std::vector<Entry> entries);

    /// Index of the entry before the first one kept.
    [[nodiscard]] LogIndex baseIndex() const { return m_baseIndex; }
    /// Index of the last entry, or of the base when no entry is kept.
    [[nodiscard]] LogIndex lastIndex() const { return m_baseIndex + m_entries.size(); }
    /// Term of the last entry.
    [[nodiscard]] Term lastTerm() const;
    /// Term of the entry at `index`, the base included; nothing outside the kept range.
    [[nodiscard]] std::optional<Term> termAt(LogIndex index) const;
    /// Entry at `index`, which must be after the base and not after the last entry.
    [[nodiscard]] const Entry &at(LogIndex index) const;
    /// Memory of the kept entries up to and including `index`, in bytes.
    [[nodiscard]] std::uint64_t bytesUpTo(LogIndex index) const;
    /// Index of the first entry such that it and those up to `last` take at most `maxBytes`, and
    /// are at most `maxEntries`; `last` + 1 if none does.
    [[nodiscard]] LogIndex firstWithin(LogIndex last, std::uint64_t maxEntries,
                                       std::uint64_t maxBytes) const;

    /// Adds an entry, whose index must directly follow the last one.
    void append(Entry entry);
    /// Removes the entry at `index` and all later ones.
    void truncateFrom(LogIndex index);
    /// Removes all entries up to and including `index`, which becomes the base.
    void compactTo(LogIndex index);
    /// Removes all entries and sets a new base.
    void reset(LogIndex baseIndex, Term baseTerm);
    /// Entries from `first` to `last`, limited to `maxBytes` of payload but at least one.
    [[nodiscard]] std::vector<Entry> slice(LogIndex first, LogIndex last,
                                           std::size_t maxBytes) const;

private:
    LogIndex m_baseIndex = 0;
    Term m_baseTerm = 0;
    std::deque<Entry> m_entries;
    /// Bytes of all entries that were appended up to and including each entry that is kept, and up
    /// to the base.
    std::deque<std::uint64_t> m_ends;
    std::uint64_t m_baseEnd = 0;
};

} // namespace acaciafork::consensus
