#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

#include "acaciafork/core/Core.h"

namespace acaciafork::batch {

/// Kind of job whose members resemble each other in size and run time.
using FamilyName = Name<struct FamilyNameTag>;
/// Saved progress of a task, named by the worker that wrote it.
using CheckpointId = NumericId<struct CheckpointTag>;
/// Durable change that waits for its commit; unique while one leader holds the scheduler.
using ProposalId = NumericId<struct ProposalTag>;
/// Call to a worker that waits for its answer; unique while one leader holds the scheduler.
using CallId = NumericId<struct CallTag>;

/// Amounts of what a worker has and a task needs.
struct Resources
{
    /// Processor time in thousandths of a core.
    std::int32_t millicores = 0;
    /// Memory in megabytes.
    std::int32_t memoryMb = 0;
    /// Whole accelerators.
    std::int32_t accelerators = 0;
    /// Places for tasks.
    std::int32_t slots = 0;

    auto operator<=>(const Resources &) const = default;

    Resources &operator+=(const Resources &o)
    {
        millicores += o.millicores;
        memoryMb += o.memoryMb;
        accelerators += o.accelerators;
        slots += o.slots;
        return *this;
    }

    Resources &operator-=(const Resources &o)
    {
        millicores -= o.millicores;
        memoryMb -= o.memoryMb;
        accelerators -= o.accelerators;
        slots -= o.slots;
        return *this;
    }

    friend Resources operator+(Resources a, const Resources &b) { return a += b; }
    friend Resources operator-(Resources a, const Resources &b) { return a -= b; }

    /// True when every amount is at most that of `room`.
    [[nodiscard]] bool fitsIn(const Resources &room) const
    {
        return millicores <= room.millicores && memoryMb <= room.memoryMb
                && accelerators <= room.accelerators && slots <= room.slots;
    }
};

/// The larger of each amount.
inline Resources componentwiseMax(const Resources &a, const Resources &b)
{
    return { .millicores = std::max(a.millicores, b.millicores),
             .memoryMb = std::max(a.memoryMb, b.memoryMb),
             .accelerators = std::max(a.accelerators, b.accelerators),
             .slots = std::max(a.slots, b.slots) };
}

/// Life of a rack. Operators ask for Draining, Retiring and Active; the scheduler proposes Drained
/// and Retired once the rack is empty.
enum class RackState : std::uint8_t { Active, Draining, Drained, Retiring, Retired };

/// State of the move between buildings.
enum class MoveState : std::uint8_t { Planned, Running, Paused, RollingBack, Finished };

/// Where a task stands.
enum class TaskPhase : std::uint8_t {
    Queued, ///< waits for a place
    Leasing, ///< its lease is proposed
    Leased, ///< its lease is committed, its start is not reported yet
    Running, ///< a worker reported it running
    Finished,
    Failed,
    Cancelled,
    Unschedulable,
};

/// What a worker says about a task it was given.
enum class TaskStatus : std::uint8_t { Running, Stopped, Finished, Failed, Checkpointed };

/// Why a task failed, as far as its worker can tell.
enum class TaskFailureCause : std::uint8_t { Unknown, OutOfMemory, ExitCode, StartRefused };

/// Answer of a worker to a call, or its absence.
enum class CallAnswer : std::uint8_t { Ok, Failed, Timeout };

/// Why a job can never run.
enum class UnschedulableReason : std::uint8_t {
    None,
    TooManyCores, ///< no worker has that many cores
    TooMuchMemory, ///< no worker has that much memory
    TooManyAccelerators, ///< no worker has that many accelerators
    NoSuchShape, ///< each amount exists, but on no worker together
    OverTeamQuota, ///< larger than the whole quota of its team
    InvalidSize, ///< an amount is negative, or no cores are asked for
    FailsEverywhere, ///< failed on several workers that other jobs succeed on
};

/// Sentence for operators that says why a job can never run.
std::string_view describe(UnschedulableReason reason);

/// Stable lower-case name of a phase, such as "queued".
std::string_view taskPhaseName(TaskPhase phase);

} // namespace acaciafork::batch
