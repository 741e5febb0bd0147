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
    /// Requests of the service that may wait at one entry.
    std::uint32_t queueBound = 4096;
    /// Time allowed to a request that names no deadline.
    Duration defaultTimeout = std::chrono::seconds(30);
    /// Longest time that a caller can ask for.
    Duration maxTimeout = std::chrono::minutes(60);
    /// Slots of an entry that only short work may take.
    std::uint32_t shortSlotsPercent = 25;
    /// Work expected to take at most this long is short.
    Duration shortWork = std::chrono::milliseconds(250);
    /// Most slots of an entry that streams may take.
    std::uint32_t streamSlotsPercent = 50;
    /// Retries allowed, of the successes.
    std::uint32_t retryBudgetPercent = 10;
    /// Attempts of one request, the first included.
    std::uint32_t maxAttempts = 3;
    /// Least share of the known endpoints that ejection leaves in service.
    std::uint32_t ejectionFloorPercent = 50;
    /// Failures in a row that eject an endpoint.
    std::uint32_t ejectionFailures = 5;
    /// Time for which an endpoint is first ejected; doubles up to sixteen times this.
    Duration ejectionTime = std::chrono::seconds(2);
    /// Time over which a new endpoint is loaded up.
    Duration slowStart = std::chrono::seconds(5);
    /// Endpoints of the service at which one entry holds credit at most; 0 for no bound.
    std::uint32_t aperture = 128;
    /// Time without an empty queue that tells lasting overload from a crest.
    Duration overloadDetectionTime = std::chrono::seconds(5);
    /// Longest wait that a request is accepted for at a crest, unless it takes longer itself.
    Duration maxBurstWait = std::chrono::milliseconds(1500);
    /// The same in lasting overload; the newest request is then served first.
    Duration maxOverloadWait = std::chrono::milliseconds(100);
    /// Time in the queue that the service of its route in the last seconds can cost a request.
    Duration maxAttainedDelay = std::chrono::seconds(2);
};

/// Settings of the credit protocol, the same in every process.
struct CreditSettings
{
    /// Time for which an entry may start requests after it last asked.
    Duration lease = std::chrono::seconds(6);
    /// Longest time that a byte, once handed to the network, still arrives.
    Duration maxNetworkDelay = std::chrono::seconds(1);
    /// Least time between two reports of one entry.
    Duration reportInterval = std::chrono::milliseconds(20);
    /// Most time between two reports of one entry.
    Duration heartbeatInterval = std::chrono::seconds(1);
    /// Time without an announcement after which an endpoint gets no new grants.
    Duration announcementTimeout = std::chrono::seconds(4);
    /// Time for which word of a leaving endpoint is kept.
    Duration tombstoneTime = std::chrono::minutes(60);
    /// Time after which connections of a lost process are closed by the endpoint.
    Duration halfOpenTimeout = std::chrono::seconds(120);
    /// Connections granted with each slot, where the endpoint has room for them.
    std::uint32_t connectionsPerSlot = 2;
};

/// Most that the rates of two clocks differ, in percent.
inline constexpr int clockRateSkewPercent = 1;

/// Time on one clock that is surely over once `time` is over on the other.
constexpr Duration withClockSkewMargin(Duration time)
{
    return time * (100 + 2 * clockRateSkewPercent + 1) / 100;
}

} // namespace acaciafork::routing
