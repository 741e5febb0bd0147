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

/// Results of operator commands by request id. A request that is resent within the window, because
/// its reply was lost, gets the original result again.
class RequestLog
{
public:
    explicit RequestLog(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Returns the original result of a request id, or nullptr if the id is unknown. If the id was
    /// used for another command, the result is a content conflict.
    /// @param[in] contentHash hash of the command without its time
    [[nodiscard]] const ApplyResult *find(std::string_view requestId,
                                          std::uint64_t contentHash) const;

    /// True when one more result can be kept.
    [[nodiscard]] bool hasRoom() const { return m_records.size() < m_limits.requests; }

    /// Stores the original result of a request id.
    void add(const std::string &requestId, std::uint64_t contentHash, const ApplyResult &result,
             std::int64_t nowMicroseconds);

    /// Removes results older than StateLimits::requestWindow.
    void expire(std::int64_t nowMicroseconds);

    /// Number of results kept.
    [[nodiscard]] std::size_t size() const { return m_records.size(); }

    /// Appends every result to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Loads one snapshot record; returns false if it is not a valid result.
    bool load(const wire::RequestRecord &record);

private:
    const StateLimits &m_limits;
    const ApplyResult m_idReusedResult =
            makeResult(wire::OUTCOME_CONTENT_CONFLICT, 0, "the request id was used before");
    std::map<std::string, wire::RequestRecord, std::less<>> m_records;
    std::set<std::pair<std::int64_t, std::string>> m_byTime;
};

} // namespace acaciafork::state
