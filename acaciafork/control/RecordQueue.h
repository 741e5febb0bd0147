#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "acaciafork/core/Assert.h"

namespace acaciafork::control {

/// Records of one kind that are not known to be committed, in their order. A record that can't be
/// proposed holds those after it, and one whose outcome is not known is proposed again with all
/// after it: no record counts as committed before those ahead of it, and none is left behind a
/// later one that it would replace.
template <typename Record>
class RecordQueue
{
public:
    void add(Record record) { m_entries.push_back({ .record = std::move(record) }); }
    /// Forgets all records; outcomes of their proposals are ignored.
    void clear() { m_entries.clear(); }
    [[nodiscard]] bool isEmpty() const { return m_entries.empty(); }

    /// First record that is not proposed, or null.
    [[nodiscard]] const Record *next() const
    {
        const auto it = firstUnproposed();
        return it == m_entries.end() ? nullptr : &it->record;
    }
    /// The next record is proposed. @return number of the proposal
    std::uint64_t beginProposal()
    {
        const auto it = firstUnproposed();
        ACACIAFORK_ASSERT(it != m_entries.end());
        return it->proposal = ++m_lastProposal;
    }
    /// The outcome of a proposal is not known, or it could not be made.
    /// @return true when its record will be proposed again
    bool proposalFailed(std::uint64_t proposal)
    {
        const auto first = find(proposal);
        const bool isCurrent = first != m_entries.end();
        for (auto it = first; it != m_entries.end(); ++it) {
            it->proposal = 0;
            it->isCommitted = false;
        }
        return isCurrent;
    }
    void proposalCommitted(std::uint64_t proposal)
    {
        if (const auto it = find(proposal); it != m_entries.end())
            it->isCommitted = true;
    }
    /// Removes the first record if it is committed.
    std::optional<Record> takeCommitted()
    {
        if (m_entries.empty() || !m_entries.front().isCommitted)
            return std::nullopt;
        Record record = std::move(m_entries.front().record);
        m_entries.pop_front();
        return record;
    }

private:
    struct Entry
    {
        Record record;
        /// Number of its latest proposal; zero while it is not proposed.
        std::uint64_t proposal = 0;
        bool isCommitted = false;
    };
    using Entries = std::deque<Entry>;

    [[nodiscard]] typename Entries::const_iterator firstUnproposed() const
    {
        return std::ranges::find(m_entries, 0, &Entry::proposal);
    }
    [[nodiscard]] typename Entries::iterator firstUnproposed()
    {
        return std::ranges::find(m_entries, 0, &Entry::proposal);
    }
    [[nodiscard]] typename Entries::iterator find(std::uint64_t proposal)
    {
        return std::ranges::find(m_entries, proposal, &Entry::proposal);
    }

    Entries m_entries;
    std::uint64_t m_lastProposal = 0;
};

} // namespace acaciafork::control
