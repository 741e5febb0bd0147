#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// Results of operator commands by request id: a request resent after its answer was lost gets the
/// first result again, within the window.
class RequestLog
{
public:
    explicit RequestLog(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// First result of a request id, or nullptr. A content conflict when the id was used for
    /// another command.
    /// @param[in] contentHash hash of the command without its time
    [[nodiscard]] const ApplyResult *find(std::string_view requestId,
                                          std::uint64_t contentHash) const;

    /// True when one more result can be kept.
    [[nodiscard]] bool hasRoom() const { return m_records.size() < m_limits.requests; }

    /// Keeps the first result of a request id.
    void add(const std::string &requestId, std::uint64_t contentHash, const ApplyResult &result,
             std::int64_t nowMicroseconds);

    /// Forgets results older than the window.
    void expire(std::int64_t nowMicroseconds);

    /// How many results are kept.
    [[nodiscard]] std::size_t size() const { return m_records.size(); }

    /// Appends every result to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Takes in one record of a snapshot; false when it is no valid result.
    bool load(const wire::RequestRecord &record);

private:
    const StateLimits &m_limits;
    const ApplyResult m_idReusedResult =
            makeResult(wire::OUTCOME_CONTENT_CONFLICT, 0, "the request id was used before");
    std::map<std::string, wire::RequestRecord, std::less<>> m_records;
    std::set<std::pair<std::int64_t, std::string>> m_byTime;
};

} // namespace acaciafork::state
