#pragma once

#include <cstddef>
#include <cstdint>

#include "acaciafork/core/Time.h"

namespace acaciafork::state {

/// Size limits and retention times of the replicated state. They affect the results of commands, so
/// all members of a cell must use the same values; the defaults are part of the format and can't be
/// configured.
struct StateLimits
{
    /// Number of configuration versions kept, including the current one.
    std::size_t configHistory = 64;
    /// Maximum size of a configuration document, in encoded bytes.
    std::size_t configBytes = 524'288;
    /// Maximum number of services in a configuration.
    std::size_t services = 1000;
    /// Maximum number of racks.
    std::size_t racks = 10'000;
    /// Maximum number of placements.
    std::size_t placements = 10'000;
    /// Maximum number of teams.
    std::size_t teams = 1000;
    /// Maximum number of tasks kept, including ended ones.
    std::size_t tasks = 1'000'000;
    /// Maximum size of the payload of a task or job, in bytes.
    std::size_t taskPayloadBytes = 16'384;
    /// How long an ended task can still be queried, and a resent submission of it is recognised.
    Duration endedTaskWindow = std::chrono::hours(1);
    /// Maximum number of move plans kept, including ended ones.
    std::size_t moves = 16;
    /// Maximum number of steps in one move.
    std::size_t moveSteps = 10'000;
    /// How long the ledger keeps a request, from when it began. A repeat within this time is
    /// not run again.
    Duration ledgerWindow = std::chrono::hours(1);
    /// Maximum number of requests in the ledger. Beyond it new requests are rejected, so that no
    /// entry is removed before its window has passed.
    std::size_t ledgerEntries = 200'000;
    /// How long a resent operator request gets its original result again.
    Duration requestWindow = std::chrono::hours(24);
    /// Maximum number of operator results kept; beyond it new requests are rejected.
    std::size_t requests = 50'000;
    /// Maximum size of the queue configuration, in encoded bytes.
    std::size_t queueConfigBytes = 2'097'152;
    /// Maximum number of jobs kept, including ended ones.
    std::size_t jobs = 1'000'000;
    /// Maximum number of tasks in one job, over all its occurrences.
    std::size_t jobTasks = 100'000;
    /// Maximum number of crashed workers recorded for one task; beyond it the oldest are dropped.
    std::size_t taskCrashExposures = 8;
    /// How long an ended job can still be queried; longer than any client keeps querying.
    Duration endedJobWindow = std::chrono::seconds(180);
    /// Maximum number of image pairs whose interference, or lack of it, is recorded.
    std::size_t disturbancePairs = 4096;
    /// Maximum number of workers.
    std::size_t workers = 100'000;
    /// Maximum number of closed zones.
    std::size_t closedZones = 64;
    /// Maximum number of commands in one batch.
    std::size_t batchCommands = 10'000;
};

/// Maximum length of a name or id in a command, in bytes.
inline constexpr std::size_t maxNameBytes = 160;
/// Maximum length of free text (a reason, a checkpoint) in a command, in bytes.
inline constexpr std::size_t maxTextBytes = 1024;
/// Maximum amount of one resource.
inline constexpr std::uint64_t maxResourceAmount = 1'000'000'000;

} // namespace acaciafork::state
