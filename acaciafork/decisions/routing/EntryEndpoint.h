#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/decisions/routing/EndpointHealth.h"
#include "acaciafork/decisions/routing/RequestRecord.h"

namespace acaciafork::routing {

/// One endpoint at which this entry holds, or held, credit.
struct EntryEndpoint
{
    /// Read for each decision, so kept together at the front.
    std::uint32_t slots = 0;
    /// Attempts not known to have ended, lingering ones included.
    std::uint32_t inUse = 0;
    /// Connections that the entry may have open.
    std::uint32_t connections = 0;
    std::uint32_t openConnections = 0;
    std::uint32_t idleConnections = 0;
    /// Connections told to close and not yet closed.
    std::uint32_t closingConnections = 0;
    /// Sum of the expected ends of the attempts in use, in microseconds of the loop's clock.
    std::int64_t expectedEnds = 0;
    /// How much longer than expected its answers take, 1 for as expected.
    float slowness = 1;
    /// Place in the pool of available endpoints, or noIndex.
    TableIndex poolPosition = noIndex;
    TableIndex service = noIndex;
    TableIndex rackIndex = noIndex;
    bool local = false;
    bool leaving = false;
    /// True for a moment after a failed connect.
    bool heldOff = false;
    /// Slots as counted in its service.
    std::uint32_t countedHeld = 0;
    std::uint32_t countedEjected = 0;
    /// True while a probe is under way; it holds a connection.
    bool probing = false;
    EndpointHealth health;

    EndpointName name;
    std::string address;
    Incarnation incarnation;
    /// When credit was first held under this incarnation.
    Timestamp firstCredit;
    /// When something of it was last seen held or open.
    Timestamp lastUsedAt;
    /// When it was last probed.
    Timestamp lastProbedAt;
    /// Newest grant taken in.
    std::uint64_t grantNumber = 0;
    /// First report that must carry the holding as it is now; 0 when the leader has it.
    std::uint64_t unacknowledgedSince = 0;
    /// Refusals not yet taken in by the leader.
    std::uint32_t refusals = 0;
    /// Attempts given up on and not known to have ended.
    std::vector<AttemptId> lingering;

    /// True when a request can be started here now.
    [[nodiscard]] bool available() const
    {
        return inUse < slots && !leaving && !heldOff && health.serving()
                && (idleConnections > 0 || openConnections < connections);
    }
};

} // namespace acaciafork::routing
