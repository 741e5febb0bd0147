#pragma once

#include "benchmarks/routing/Workload.h"

namespace acaciafork::routing::bench {

/// Policies that the product is compared with.
enum class Baseline : std::uint8_t {
    RoundRobin, ///< each entry sends at once, to one endpoint after the other, without limits
    StaticSplit, ///< each entry queues for its own fixed part of the slots
    SingleQueue, ///< one queue that knows of every slot at once
};

/// Runs a workload under a baseline. Work that finds its endpoint full waits there in order.
/// @param[out] overshoots arrivals at an endpoint that was full
std::vector<Ended> runBaseline(Baseline baseline, const Deployment &deployment,
                               const std::vector<Arrival> &arrivals, Duration hop, int *overshoots);

} // namespace acaciafork::routing::bench
