#pragma once

#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/decisions/routing/RequestRecord.h"

namespace acaciafork::routing {

/// One attempt not known to have ended at its endpoint.
struct AttemptRecord
{
    AttemptId attempt;
    /// Its request; nullptr once nothing of it goes to a caller any more.
    RequestRecord *request = nullptr;
    TableIndex service = noIndex;
    TableIndex endpoint = noIndex;
    Lane lane = Lane::Short;
    /// True while it holds a connection.
    bool connected = true;
    /// True when it was given an idle connection.
    bool reusesConnection = false;
    /// True when nobody waits for it but the endpoint may still run it.
    bool lingering = false;
    /// True once it counts as long work.
    bool countsAsLong = false;
    Incarnation incarnation;
    std::uint64_t routeHash = 0;
    Timestamp startedAt;
    /// When it was given up on.
    Timestamp abandonedAt;
    /// End expected from what was learned, in microseconds of the loop's clock.
    std::int64_t expectedEnd = 0;
};

/// The attempts of one entry, by id. Ids carry the entry and its incarnation, so that no two
/// processes use the same one.
class AttemptTable
{
public:
    /// @param[in] process the entry
    /// @param[in] incarnation its start
    AttemptTable(ProcessId process, Incarnation incarnation);

    /// Adds an attempt under a fresh id. The record is valid until the next change of the table.
    AttemptRecord *add();

    /// Record of an attempt, or nullptr; valid until the next change of the table.
    [[nodiscard]] AttemptRecord *find(AttemptId attempt);

    /// Attempts at an endpoint, in order of their ids; looks at all attempts.
    [[nodiscard]] std::vector<AttemptId> at(TableIndex endpoint) const;

    /// Calls `visit` with each attempt, in no order.
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

/// Part of an attempt id that names the process and incarnation which made it.
std::uint64_t attemptIdPrefix(ProcessId process, Incarnation incarnation);

/// The prefix of an attempt id.
std::uint64_t attemptIdPrefix(AttemptId attempt);

} // namespace acaciafork::routing
