#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

#include "acaciafork/core/Core.h"

namespace acaciafork::batch {

/// Group of jobs with similar size and run time; estimates are learned per family.
using FamilyName = Name<struct FamilyNameTag>;
/// Checkpoint of a task's progress; the worker that writes the checkpoint assigns the identifier.
using CheckpointId = NumericId<struct CheckpointTag>;
/// Durable change that awaits its commit; unique within one leadership term.
using ProposalId = NumericId<struct ProposalTag>;
/// Call to a worker that awaits its answer; unique within one leadership term.
using CallId = NumericId<struct CallTag>;

/// Resource amounts that a worker offers or a task needs.
struct Resources
{
    /// Processor time in thousandths of a core.
    std::int32_t millicores = 0;
    /// Memory in megabytes.
    std::int32_t memoryMb = 0;
    /// Whole accelerators.
    std::int32_t accelerators = 0;
    /// Task slots.
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

    /// Returns true when no amount exceeds the corresponding amount in `room`.
    [[nodiscard]] bool fitsIn(const Resources &room) const
    {
        return millicores <= room.millicores && memoryMb <= room.memoryMb
                && accelerators <= room.accelerators && slots <= room.slots;
    }
};

/// Returns the larger of the two values for each amount.
inline Resources componentwiseMax(const Resources &a, const Resources &b)
{
    return { .millicores = std::max(a.millicores, b.millicores),
             .memoryMb = std::max(a.memoryMb, b.memoryMb),
             .accelerators = std::max(a.accelerators, b.accelerators),
             .slots = std::max(a.slots, b.slots) };
}

/// Lifecycle state of a rack. Operators request Draining, Retiring and Active; the scheduler
/// proposes Drained and Retired once the rack is empty.
enum class RackState : std::uint8_t { Active, Draining, Drained, Retiring, Retired };

/// State of the move of all work from one building to another.
enum class MoveState : std::uint8_t { Planned, Running, Paused, RollingBack, Finished };

/// Lifecycle phase of a task.
enum class TaskPhase : std::uint8_t {
    Queued, ///< waits for a worker
    Leasing, ///< lease proposed, not yet committed
    Leased, ///< lease committed, start not reported yet
    Running, ///< reported as running by its worker
    Finished,
    Failed,
    Cancelled,
    Unschedulable,
};

/// Status of a leased task as reported by its worker.
enum class TaskStatus : std::uint8_t { Running, Stopped, Finished, Failed, Checkpointed };

/// Cause of a task failure as reported by its worker.
enum class TaskFailureCause : std::uint8_t { Unknown, OutOfMemory, ExitCode, StartRefused };

/// Result of a call to a worker; Timeout when no answer arrived.
enum class CallAnswer : std::uint8_t { Ok, Failed, Timeout };

/// Why a job can never run.
enum class UnschedulableReason : std::uint8_t {
    None,
    TooManyCores, ///< no worker has that many cores
    TooMuchMemory, ///< no worker has that much memory
    TooManyAccelerators, ///< no worker has that many accelerators
    NoSuchShape, ///< each amount is available, but not all on one worker
    OverTeamQuota, ///< larger than the whole quota of its team
    InvalidSize, ///< an amount is negative, or no cores are requested
    FailsEverywhere, ///< failed on several workers where other jobs succeed
};

/// Explanation for operators of why a job can never run.
std::string_view describe(UnschedulableReason reason);

/// Stable lower-case name of a phase, such as "queued".
std::string_view taskPhaseName(TaskPhase phase);

} // namespace acaciafork::batch
