#pragma once

#include <cstdint>
#include <string_view>

#include "acaciafork/decisions/jobs/JobTable.h"

namespace acaciafork::jobs {

/// What a task of an active job is doing, or what it waits for. Every task is in exactly one of
/// these states.
enum class TaskState : std::uint8_t {
    Done,
    Running, ///< its worker has confirmed the run
    Recording, ///< its start is being recorded
    Starting, ///< a start order is in flight
    Stopping, ///< its run has been told to stop, and its worker has not listed the end yet
    Ready, ///< it waits for a worker
    AwaitsTrial, ///< it waits for a worker for a trial
    AwaitsTakeOver, ///< an earlier leader may have started it
    AwaitsSteps, ///< it waits for the end of earlier steps
    NotDue, ///< its occurrence is not due yet
    Astray, ///< none of these; a fault of the scheduler, since nothing will start it
};

/// Number of values of TaskState.
inline constexpr std::size_t taskStateCount = 11;

/// Stable lower-case name of a state, such as "awaits-trial".
std::string_view taskStateName(TaskState state);

/// For each task of a step whether the step is queued and lists it as ready.
std::vector<bool> listedTasks(const Step &step);

/// State of a task of an active job.
TaskState stateOf(const TaskRef &ref, bool isTakingOver);
/// The same for one of many tasks of a step.
/// @param[in] listed what listedTasks() returns for the step
TaskState stateOf(const TaskRef &ref, bool isTakingOver, const std::vector<bool> &listed);

/// True for the states in which callers see a task that could run and doesn't.
bool isWaiting(TaskState state);

/// How long a task in a waiting state has been without a run that its worker has confirmed; of a
/// run that is being stopped, how long that has taken.
Duration waitedFor(Timestamp now, const TaskRef &ref);

} // namespace acaciafork::jobs
