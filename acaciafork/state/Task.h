#pragma once

#include <cstdint>
#include <string>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/state/TextPool.h"
#include "wire/state.pb.h"

namespace acaciafork::state {

/// What a task asks for; compact, because there is one for each task.
struct TaskSize
{
    std::uint32_t millicores = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;

    auto operator<=>(const TaskSize &) const = default;
};

/// A batch job, or one replica of a service, and its lease.
struct Task
{
    /// Team that owns it; empty for a replica of a service.
    PooledText<TeamName> team;
    /// Placement that it is a replica of; empty for a batch job.
    ServiceName service;
    /// Jobs of one family resemble each other in size and run time.
    PooledText<std::string> family;
    /// What the worker is handed; opaque here.
    std::string payload;
    /// Worker of the live lease, or of the last one.
    PooledText<WorkerName> worker;
    /// Last checkpoint recorded; the next lease resumes from it.
    std::string checkpoint;
    /// Why it failed or can't run.
    PooledText<std::string> reason;
    /// Number of the live lease, or of the last one; 0 before the first.
    LeaseEpoch epoch;
    /// Run time that the team declared.
    std::uint64_t declaredRunMs = 0;
    std::int64_t submittedMicroseconds = 0;
    /// Last change of state.
    std::int64_t changedMicroseconds = 0;
    TaskSize size;
    /// What the live lease, or the last one, takes at its worker.
    TaskSize granted;
    std::uint32_t failures = 0;
    std::uint32_t evictions = 0;
    wire::TaskState state = wire::TASK_STATE_QUEUED;
    bool urgent = false;
    /// A cancellation that waits for the live lease to be stopped.
    bool cancelRequested = false;

    /// True while a worker may be running it.
    [[nodiscard]] bool hasLiveLease() const
    {
        return state == wire::TASK_STATE_LEASED || state == wire::TASK_STATE_RUNNING;
    }
    /// True for a replica of a service. It has no end of its own: its epochs go on, so that late
    /// reports of one lease never touch a later one.
    [[nodiscard]] bool isReplica() const { return !service.value.empty(); }
    /// True once nothing more happens to it.
    [[nodiscard]] bool isEnded() const { return state >= wire::TASK_STATE_FINISHED; }
};

} // namespace acaciafork::state
