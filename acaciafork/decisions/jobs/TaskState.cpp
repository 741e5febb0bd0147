#include "acaciafork/decisions/jobs/TaskState.h"

#include <algorithm>
#include <array>

namespace acaciafork::jobs {
namespace {

/// A confirmed run outweighs the others, as callers see it; of a task with two runs, one counts.
TaskState stateOfRuns(const Task &task)
{
    static constexpr std::array<std::pair<RunPhase, TaskState>, 4> states { {
            { RunPhase::Running, TaskState::Running },
            { RunPhase::Starting, TaskState::Starting },
            { RunPhase::Recording, TaskState::Recording },
            { RunPhase::Stopping, TaskState::Stopping },
    } };
    const auto &runs = task.record().runs;
    for (const auto &[phase, state] : states) {
        if (std::ranges::find(runs, phase, &Run::phase) != runs.end())
            return state;
    }
    return TaskState::Astray;
}

} // namespace

std::string_view taskStateName(TaskState state)
{
    static constexpr std::array<std::string_view, taskStateCount> names {
        "done",         "running",          "recording",    "starting", "stopping", "ready",
        "awaits-trial", "awaits-take-over", "awaits-steps", "not-due",  "astray",
    };
    return names.at(static_cast<std::size_t>(state));
}

std::vector<bool> listedTasks(const Step &step)
{
    std::vector<bool> listed(step.tasks.size());
    if (step.isQueued) {
        for (const std::uint32_t it : step.ready)
            listed[it] = true;
    }
    return listed;
}

TaskState stateOf(const TaskRef &ref, bool isTakingOver)
{
    return stateOf(ref, isTakingOver, listedTasks(*ref.step));
}

TaskState stateOf(const TaskRef &ref, bool isTakingOver, const std::vector<bool> &listed)
{
    const Task &task = ref.get();
    const Step &step = *ref.step;
    if (task.done)
        return TaskState::Done;
    if (task.hasRun())
        return stateOfRuns(task);
    if (step.isDeferred)
        return TaskState::NotDue;
    if (step.pendingPredecessors > 0)
        return TaskState::AwaitsSteps;
    if (task.mayRunUnseen || (isTakingOver && step.mayRunUnseen))
        return TaskState::AwaitsTakeOver;
    if (!task.isReady)
        return TaskState::Astray;
    if (task.awaitsTrial)
        return TaskState::AwaitsTrial;
    return listed[ref.task] ? TaskState::Ready : TaskState::Astray;
}

bool isWaiting(TaskState state)
{
    switch (state) {
    case TaskState::Recording:
    case TaskState::Starting:
    case TaskState::Stopping:
    case TaskState::Ready:
    case TaskState::AwaitsTrial:
    case TaskState::AwaitsTakeOver:
    case TaskState::Astray:
        return true;
    default:
        return false;
    }
}

Duration waitedFor(Timestamp now, const TaskRef &ref)
{
    const Task &task = ref.get();
    Timestamp since = task.idleSince;
    for (const Run &it : task.record().runs) {
        if (it.phase == RunPhase::Stopping)
            since = std::min(since, it.stoppingSince);
    }
    return now > since ? now - since : Duration {};
}

} // namespace acaciafork::jobs
