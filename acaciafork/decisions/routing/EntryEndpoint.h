#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/decisions/routing/EndpointHealth.h"
#include "acaciafork/decisions/routing/RequestRecord.h"

namespace acaciafork::routing {

/// One endpoint at which this entry holds or has held credit.
struct EntryEndpoint
{
    /// Slots held. The members up to `health` are read for each routing decision, so they stand
    /// together at the front.
    std::uint32_t slots = 0;
    /// Slots in use, by attempts that are not known to have ended, lingering ones included.
    std::uint32_t inUse = 0;
    /// Maximum number of connections that the entry may have open.
    std::uint32_t connections = 0;
    std::uint32_t openConnections = 0;
    std::uint32_t idleConnections = 0;
    /// Connections that are being closed.
    std::uint32_t closingConnections = 0;
    /// Sum of the expected ends of the attempts counted in `inUse`, in microseconds of the event
    /// loop's clock.
    std::int64_t expectedEnds = 0;
    /// Moving average of actual over expected service time: above 1 it is slower than expected.
    float slowness = 1;
    /// Position in the pool of available endpoints, or noIndex.
    TableIndex poolPosition = noIndex;
    TableIndex service = noIndex;
    TableIndex rackIndex = noIndex;
    bool local = false;
    bool leaving = false;
    /// True for a short time after a failed connect, in which it gets no requests.
    bool heldOff = false;
    /// Slots of this endpoint as included in the counts of its service.
    std::uint32_t countedHeld = 0;
    std::uint32_t countedEjected = 0;
    /// True while a probe, which uses one connection, is in progress.
    bool probing = false;
    EndpointHealth health;

    EndpointName name;
    std::string address;
    Incarnation incarnation;
    /// When credit was first held under this incarnation.
    Timestamp firstCredit;
    /// When it was last seen with credit, an attempt, a connection or an unacknowledged change.
    Timestamp lastUsedAt;
    /// When it was last probed.
    Timestamp lastProbedAt;
    /// Number of the newest grant applied.
    std::uint64_t grantNumber = 0;
    /// Number of the first report that contains the current holding; 0 once the leader has
    /// acknowledged it.
    std::uint64_t unacknowledgedSince = 0;
    /// Refused attempts since the last report.
    std::uint32_t refusals = 0;
    /// Attempts that the entry no longer waits for and that are not known to have ended.
    std::vector<AttemptId> lingering;

    /// True when a request can be started at this endpoint now.
    [[nodiscard]] bool available() const
    {
        return inUse < slots && !leaving && !heldOff && health.serving()
                && (idleConnections > 0 || openConnections < connections);
    }
};

} // namespace acaciafork::routing
