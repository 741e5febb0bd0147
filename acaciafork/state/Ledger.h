#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "acaciafork/core/Ids.h"
#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// One non-idempotent request in the ledger.
struct LedgerEntry
{
    std::string bodyDigest;
    AttemptId attempt;
    std::int64_t begunMicroseconds = 0;
    ProcessId entry;
    wire::LedgerOutcome outcome = wire::LEDGER_OUTCOME_NONE;
    std::uint32_t status = 0;
};

/// Ledger of requests marked non-idempotent, by service and idempotency key. Of all begins of one
/// key within the window, only one is told "begun now", unless that one truly did not run.
class Ledger
{
public:
    /// Service and idempotency key.
    using Key = std::pair<std::string, std::string>;
    /// Requests by key.
    using Map = std::map<Key, LedgerEntry>;

    explicit Ledger(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Begins a request, or says what became of the one begun before. A begin resent by the same
    /// attempt is told "begun now" once more; the entry sends each attempt at most once.
    ApplyResult begin(const wire::LedgerBegin &command, std::int64_t nowMicroseconds);

    /// Records outcomes. One that did not run frees its key. A close that names another attempt
    /// than the one in the ledger is refused.
    ApplyResult end(const wire::LedgerEnd &command);

    /// Forgets requests that began longer ago than the window.
    void expire(std::int64_t nowMicroseconds);

    /// Request of that key, or nullptr.
    [[nodiscard]] const LedgerEntry *find(const std::string &service, const std::string &key) const;
    /// How many requests are remembered.
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

    /// Appends every request to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Takes in one record of a snapshot; false when it is no valid request.
    bool load(const wire::LedgerRecord &record);

private:
    ApplyResult close(const wire::LedgerClose &command);
    void erase(Map::iterator it);

    const StateLimits &m_limits;
    Map m_entries;
    std::set<std::pair<std::int64_t, Key>> m_byBeginTime;
};

/// Stable lower-case name of an outcome in the ledger.
std::string_view ledgerOutcomeName(wire::LedgerOutcome outcome);

} // namespace acaciafork::state
