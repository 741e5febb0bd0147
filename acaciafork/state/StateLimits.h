#pragma once

#include <cstddef>
#include <cstdint>

#include "acaciafork/core/Time.h"

namespace acaciafork::state {

/// Bounds and retention of the replicated state. They decide results, so every member of a cell
/// must run with equal ones; the defaults are part of the format, not a setting.
struct StateLimits
{
    /// Versions of the configuration kept, the current one included.
    std::size_t configHistory = 64;
    /// Largest configuration document, in encoded bytes.
    std::size_t configBytes = 524'288;
    /// Most services in a configuration.
    std::size_t services = 1000;
    /// Most racks known.
    std::size_t racks = 10'000;
    /// Most placements.
    std::size_t placements = 10'000;
    /// Most teams.
    std::size_t teams = 1000;
    /// Most tasks known, ended ones included.
    std::size_t tasks = 1'000'000;
    /// Largest payload of a task, in bytes.
    std::size_t taskPayloadBytes = 16'384;
    /// How long an ended task can still be asked about and a resent submission is recognised.
    Duration endedTaskWindow = std::chrono::hours(1);
    /// Most plans of a move kept, ended ones included.
    std::size_t moves = 16;
    /// Most steps of one move.
    std::size_t moveSteps = 10'000;
    /// How long the ledger remembers a request from its begin on; a repeat within it never runs.
    Duration ledgerWindow = std::chrono::hours(1);
    /// Most requests in the ledger; past it a begin is refused, so that nothing is forgotten early.
    std::size_t ledgerEntries = 200'000;
    /// How long a resent operator request gets the first result again.
    Duration requestWindow = std::chrono::hours(24);
    /// Most operator results kept; past it a new request is refused.
    std::size_t requests = 50'000;
    /// Largest configuration of queues, in encoded bytes.
    std::size_t queueConfigBytes = 2'097'152;
    /// Most jobs known, ended ones included.
    std::size_t jobs = 1'000'000;
    /// Most tasks of one job, over all its occurrences.
    std::size_t jobTasks = 100'000;
    /// How long an ended job can still be asked about; longer than any client asks.
    Duration endedJobWindow = std::chrono::seconds(180);
    /// Most pairs of images that are known to disturb each other or not.
    std::size_t disturbancePairs = 4096;
    /// Most workers known.
    std::size_t workers = 100'000;
    /// Most commands in one batch.
    std::size_t batchCommands = 10'000;
};

/// Longest name or id in a command, in bytes.
inline constexpr std::size_t maxNameBytes = 160;
/// Longest free text (a reason, a checkpoint) in a command, in bytes.
inline constexpr std::size_t maxTextBytes = 1024;
/// Largest amount of one resource.
inline constexpr std::uint64_t maxResourceAmount = 1'000'000'000;

} // namespace acaciafork::state
