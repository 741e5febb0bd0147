#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"

namespace acaciafork::workers {

/// What a worker is asked to do with a task.
enum class WorkerAction : std::uint8_t {
    Start, ///< run under the lease, from the checkpoint where one is given
    Renew, ///< go on for another lease duration
    Throttle, ///< run slower
    Checkpoint, ///< write a checkpoint and stop
    Stop, ///< stop at once
};

/// Stable lower-case name of an action, such as "start".
std::string_view workerActionName(WorkerAction action);

/// One command: `PUT /tasks/<task>` at the worker.
struct WorkerCommand
{
    TaskName task;
    WorkerAction action = WorkerAction::Start;
    /// The lease; a worker refuses one below what it has seen for the task.
    LeaseEpoch epoch;
    /// How long the lease lasts, counted from when the worker sent report `reportSequence` of
    /// `incarnation`; so a command that arrives late extends nothing. For Start and Renew.
    Duration leaseDuration = Duration::zero();
    Incarnation incarnation;
    std::uint64_t reportSequence = 0;
    /// Share of its processors that the task may use, in thousandths; for Throttle only.
    std::int64_t perMille = 1'000;
    /// The task's end is recorded: the worker may drop it from its reports. For Stop only.
    bool release = false;
    /// What to run; for Start only.
    std::string payload;
    /// Where to resume from; for Start only, empty for the beginning.
    std::string checkpoint;
};

/// Decodes the body of a command, for workers that use this library.
/// @param[in] task the id in the path
/// Fails with Failure InvalidArgument that names the field at fault.
Result<WorkerCommand> decodeWorkerCommand(std::string_view task, std::string_view json);

/// Encodes a command as its body.
std::string encodeWorkerCommand(const WorkerCommand &command);

} // namespace acaciafork::workers
