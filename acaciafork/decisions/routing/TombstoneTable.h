#pragma once

#include <deque>
#include <unordered_map>
#include <vector>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/decisions/routing/Messages.h"

namespace acaciafork::routing {

/// Endpoints that have said that they leave. A tombstone outlives late announcements, so that none
/// brings the endpoint back; only a higher incarnation does.
class TombstoneTable
{
public:
    /// @param[in] retention time for which a tombstone is kept
    explicit TombstoneTable(Duration retention);

    /// Adds a tombstone. @return true when it was not known yet
    bool add(Timestamp now, const LeavingNotice &notice);

    /// True when this incarnation of the endpoint has left or is leaving.
    [[nodiscard]] bool covers(const EndpointName &endpoint, Incarnation incarnation) const;

    /// The latest tombstones, at most as many as fit one message.
    [[nodiscard]] std::vector<LeavingNotice> latest() const;

    /// Drops the tombstones whose time is over.
    void expire(Timestamp now);

    /// Number of tombstones kept.
    [[nodiscard]] std::size_t size() const { return m_incarnations.size(); }

private:
    struct Expiry
    {
        Timestamp at;
        EndpointName endpoint;
        Incarnation incarnation;
    };

    Duration m_retention;
    std::unordered_map<EndpointName, Incarnation> m_incarnations;
    std::deque<Expiry> m_expiries;
};

} // namespace acaciafork::routing
