#pragma once

#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/decisions/routing/RequestRecord.h"

namespace acaciafork::routing {

/// One attempt that is not known to have ended at its endpoint.
struct AttemptRecord
{
    AttemptId attempt;
    /// Its request; nullptr once the answer no longer goes to a caller.
    RequestRecord *request = nullptr;
    TableIndex service = noIndex;
    TableIndex endpoint = noIndex;
    Lane lane = Lane::Short;
    /// True while it holds a connection.
    bool connected = true;
    /// True when it was assigned an idle connection.
    bool reusesConnection = false;
    /// True when the entry no longer waits for it but it may still run at the endpoint: its slot
    /// stays in use.
    bool lingering = false;
    /// True when it counts as long work: by its lane, or because it has run for long.
    bool countsAsLong = false;
    Incarnation incarnation;
    std::uint64_t routeHash = 0;
    Timestamp startedAt;
    /// When it became lingering.
    Timestamp abandonedAt;
    /// Expected end by the learned service time, in microseconds of the event loop's clock.
    std::int64_t expectedEnd = 0;
};

/// The attempts of one entry, by id. An id contains the process id of the entry and a hash of its
/// incarnation, so that no two processes use the same one.
class AttemptTable
{
public:
    /// @param[in] process process id of the entry
    /// @param[in] incarnation incarnation of that process
    AttemptTable(ProcessId process, Incarnation incarnation);

    /// Adds an attempt with a new id. The record is valid until the table next changes.
    AttemptRecord *add();

    /// Record of an attempt, or nullptr; valid until the table next changes.
    [[nodiscard]] AttemptRecord *find(AttemptId attempt);

    /// Attempts at an endpoint, ordered by id. Scans the whole table.
    [[nodiscard]] std::vector<AttemptId> attemptsAt(TableIndex endpoint) const;

    /// Calls `visit` with each attempt, in unspecified order.
    template <typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[id, record] : m_records)
            visit(record);
    }

    /// Removes an attempt.
    void remove(AttemptId attempt);

    [[nodiscard]] std::size_t size() const { return m_records.size(); }

private:
    std::uint64_t m_prefix;
    std::uint64_t m_lastSequence = 0;
    boost::unordered_flat_map<std::uint64_t, AttemptRecord> m_records;
};

/// Prefix of the attempt ids that a process of this incarnation assigns.
std::uint64_t attemptIdPrefix(ProcessId process, Incarnation incarnation);

/// The prefix of an attempt id.
std::uint64_t attemptIdPrefix(AttemptId attempt);

} // namespace acaciafork::routing
