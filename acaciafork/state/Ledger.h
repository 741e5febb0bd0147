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

/// Ledger entry of one non-idempotent request.
struct LedgerEntry
{
    std::string bodyDigest;
    AttemptId attempt;
    std::int64_t begunMicroseconds = 0;
    ProcessId entry;
    wire::LedgerOutcome outcome = wire::LEDGER_OUTCOME_NONE;
    std::uint32_t status = 0;
};

/// Ledger of requests marked non-idempotent, by service and idempotency key. Of all attempts to
/// begin a request with one key within the window, only one gets the outcome "begun now". Another
/// one can get it only after the first was recorded as not run.
class Ledger
{
public:
    /// Service and idempotency key.
    using Key = std::pair<std::string, std::string>;
    /// Entries by key.
    using Map = std::map<Key, LedgerEntry>;

    explicit Ledger(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Begins a request, or returns the state of an earlier one with the same key. A begin that is
    /// resent for the same attempt gets "begun now" again; this is safe because the entry process
    /// sends each attempt to an endpoint at most once.
    ApplyResult begin(const wire::LedgerBegin &command, std::int64_t nowMicroseconds);

    /// Records the outcomes of requests. A request that did not run is removed, which frees its
    /// key. A close whose attempt differs from the one in the ledger is rejected.
    ApplyResult end(const wire::LedgerEnd &command);

    /// Removes requests that began longer ago than StateLimits::ledgerWindow.
    void expire(std::int64_t nowMicroseconds);

    /// Returns the request with that key, or nullptr.
    [[nodiscard]] const LedgerEntry *find(const std::string &service, const std::string &key) const;
    /// Number of requests in the ledger.
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

    /// Appends every request to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Loads one snapshot record; returns false if it is not a valid request.
    bool load(const wire::LedgerRecord &record);

private:
    ApplyResult close(const wire::LedgerClose &command);
    void erase(Map::iterator it);

    const StateLimits &m_limits;
    Map m_entries;
    std::set<std::pair<std::int64_t, Key>> m_byBeginTime;
};

/// Stable lower-case name of a ledger outcome.
std::string_view ledgerOutcomeName(wire::LedgerOutcome outcome);

} // namespace acaciafork::state
