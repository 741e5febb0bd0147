#pragma once

#include <cstdint>
#include <string>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/state/TextPool.h"
#include "wire/state.pb.h"

namespace acaciafork::state {

/// Resources of a task, in compact form because one is stored for each task.
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
    /// Service of which it is a replica; empty for a batch job.
    ServiceName service;
    /// Family of the task: jobs of one family are similar in size and run time.
    PooledText<std::string> family;
    /// Data passed to the worker; not interpreted here.
    std::string payload;
    /// Worker of the live lease, or of the most recent one.
    PooledText<WorkerName> worker;
    /// Last checkpoint recorded; the next lease resumes from it.
    std::string checkpoint;
    /// Why the task failed or can't run.
    PooledText<std::string> reason;
    /// Epoch of the live lease, or of the most recent one; 0 before the first.
    LeaseEpoch epoch;
    /// Expected run time, as declared by the team.
    std::uint64_t declaredRunMs = 0;
    std::int64_t submittedMicroseconds = 0;
    /// Time of the last change of state, checkpoint or cancellation request.
    std::int64_t changedMicroseconds = 0;
    TaskSize size;
    /// Resources that the live lease, or the most recent one, occupies on its worker.
    TaskSize granted;
    std::uint32_t failures = 0;
    std::uint32_t evictions = 0;
    wire::TaskState state = wire::TASK_STATE_QUEUED;
    bool urgent = false;
    /// Set when a cancellation waits for the live lease to end.
    bool cancelRequested = false;

    /// True while a worker may be running the task.
    [[nodiscard]] bool hasLiveLease() const
    {
        return state == wire::TASK_STATE_LEASED || state == wire::TASK_STATE_RUNNING;
    }
    /// True for a replica of a service. A replica never ends: when a lease ends, it is queued again
    /// and its epoch keeps increasing, so that late reports of one lease can't affect a later one.
    [[nodiscard]] bool isReplica() const { return !service.value.empty(); }
    /// True once the task is in an end state, which it never leaves.
    [[nodiscard]] bool isEnded() const { return state >= wire::TASK_STATE_FINISHED; }
};

} // namespace acaciafork::state
