#pragma once

#include <cstdint>

namespace acaciafork::batch {

/// What the scheduler counts, from its start; the daemon shows it at /metrics.
struct SchedulerCounters
{
    std::uint64_t leasesProposed = 0;
    std::uint64_t startsSent = 0;
    std::uint64_t startsRepeated = 0;
    std::uint64_t finished = 0;
    std::uint64_t failedAttempts = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t unschedulable = 0;
    std::uint64_t evictions = 0;
    std::uint64_t leasesExpired = 0;
    std::uint64_t workerRestarts = 0;
    std::uint64_t staleReports = 0;
    std::uint64_t foreignTasksStopped = 0;
    std::uint64_t proposalsRejected = 0;
    std::uint64_t workerCallsFailed = 0;
    std::uint64_t failedPlacementSearches = 0;
    std::uint64_t staleUsageReports = 0;
    std::uint64_t throttles = 0;
    std::uint64_t pressureEvictions = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t quarantines = 0;
    std::uint64_t probes = 0;
};

} // namespace acaciafork::batch
