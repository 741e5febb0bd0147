#pragma once

#include <cstdint>
#include <vector>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// Settings of one service, from the configuration in force. Fractions are in percent.
struct ServiceSettings
{
    ServiceName service;
    /// Maximum number of requests of the service that may wait at one entry.
    std::uint32_t queueBound = 4096;
    /// Timeout of a request that specifies none.
    Duration defaultTimeout = std::chrono::seconds(30);
    /// Longest timeout that a caller can request.
    Duration maxTimeout = std::chrono::minutes(60);
    /// Share of an entry's slots that is reserved for short work.
    std::uint32_t shortSlotsPercent = 25;
    /// Longest expected service time that counts as short work.
    Duration shortWork = std::chrono::milliseconds(250);
    /// Largest share of an entry's slots that streams may occupy.
    std::uint32_t streamSlotsPercent = 50;
    /// Retries allowed, as a percentage of the successes.
    std::uint32_t retryBudgetPercent = 10;
    /// Maximum number of attempts of one request, including the first.
    std::uint32_t maxAttempts = 3;
    /// Smallest share of the known endpoints that ejection leaves in service.
    std::uint32_t ejectionFloorPercent = 50;
    /// Consecutive failures after which an endpoint is ejected.
    std::uint32_t ejectionFailures = 5;
    /// Duration of the first ejection of an endpoint; doubles each time, up to 16 times this value.
    Duration ejectionTime = std::chrono::seconds(2);
    /// Time over which the load on a new endpoint is raised to its full share.
    Duration slowStart = std::chrono::seconds(5);
    /// Maximum number of endpoints at which one entry holds credit for the service; 0 for no limit.
    std::uint32_t aperture = 128;
    /// Time without an empty queue after which a burst of load counts as sustained overload.
    Duration overloadDetectionTime = std::chrono::seconds(5);
    /// Longest expected wait at which a request is accepted during a burst; a request with a longer
    /// service time may wait for that time.
    Duration maxBurstWait = std::chrono::milliseconds(1500);
    /// The same in sustained overload, when the newest request is served first.
    Duration maxOverloadWait = std::chrono::milliseconds(100);
    /// Longest delay in the queue that is added to a request because its route received much
    /// service in the last seconds.
    Duration maxAttainedDelay = std::chrono::seconds(2);
};

/// Settings of the credit protocol, the same in every process.
struct CreditSettings
{
    /// Time for which an entry may start requests after it sent its last answered report.
    Duration lease = std::chrono::seconds(6);
    /// Maximum time from sending a byte until it arrives, if it arrives at all.
    Duration maxNetworkDelay = std::chrono::seconds(1);
    /// Shortest time between two reports of one entry.
    Duration reportInterval = std::chrono::milliseconds(20);
    /// Longest time between two reports of one entry.
    Duration heartbeatInterval = std::chrono::seconds(1);
    /// Time without an announcement after which an endpoint gets no new grants.
    Duration announcementTimeout = std::chrono::seconds(4);
    /// Time for which the notice of a leaving endpoint is kept.
    Duration tombstoneTime = std::chrono::minutes(60);
    /// Time after which an endpoint closes the half-open connections of a lost process.
    Duration halfOpenTimeout = std::chrono::seconds(120);
    /// Connections granted with each slot, as far as the endpoint's limit allows.
    std::uint32_t connectionsPerSlot = 2;
};

/// Largest deviation of a clock's rate from real time, in percent. Two clocks may deviate in
/// opposite directions.
inline constexpr int clockRateSkewPercent = 1;

/// Time to wait on one clock so that `time` has certainly elapsed on another. Covers the largest
/// skew between the two clocks plus 1%.
constexpr Duration withClockSkewMargin(Duration time)
{
    return time * (100 + 2 * clockRateSkewPercent + 1) / 100;
}

} // namespace acaciafork::routing
