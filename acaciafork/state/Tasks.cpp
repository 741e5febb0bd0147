#include "acaciafork/state/Tasks.h"

#include "acaciafork/core/Assert.h"
#include "acaciafork/state/Snapshot.h"
#include "acaciafork/state/TaskRecords.h"
#include "acaciafork/state/Teams.h"

namespace acaciafork::state {
namespace {

constexpr std::array<std::string_view, wire::TaskState_ARRAYSIZE> stateNames {
    "queued", "leased", "running", "evicted", "finished", "failed", "cancelled", "unschedulable",
};

constexpr std::array<std::string_view, wire::UnschedulableReason_ARRAYSIZE> reasonNames {
    "too-large",
    "no-such-resource",
    "over-quota",
    "fails-everywhere",
};

/// True when a job of this size can never run within a quota.
bool exceedsQuota(const wire::Resources &quota, const wire::Resources &size)
{
    return size.millicores() > quota.millicores() || size.memory_mb() > quota.memory_mb()
            || size.accelerators() > quota.accelerators();
}

ApplyResult noSuchTask(std::string_view task)
{
    return makeResult(wire::OUTCOME_NOT_FOUND, 0, "no task " + std::string(task));
}

ApplyResult wrongState(const Task &task)
{
    return makeResult(wire::OUTCOME_WRONG_STATE, task.epoch.value,
                      "the task is " + std::string(taskStateName(task.state)));
}

} // namespace

std::string_view taskStateName(wire::TaskState state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

std::string_view unschedulableReasonName(wire::UnschedulableReason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

ApplyResult Tasks::submit(const wire::SubmitTask &command, std::int64_t nowMicroseconds)
{
    if (std::string problem = validationError(command, m_limits.taskPayloadBytes); !problem.empty())
        return makeResult(wire::OUTCOME_INVALID, 0, std::move(problem));
    if (const Task *old = find(command.task()); old != nullptr) {
        if (isSameSubmission(command, *old))
            return makeResult(wire::OUTCOME_ALREADY_APPLIED, old->epoch.value);
        return makeResult(wire::OUTCOME_CONTENT_CONFLICT, old->epoch.value,
                          "the id belongs to another task");
    }
    if (m_tasks.size() >= m_limits.tasks)
        return makeResult(wire::OUTCOME_FULL, 0, "too many tasks");

    // A job over its team's whole quota could never run: it is told so now.
    if (!command.team().empty()) {
        const wire::Team *team = m_teams.find(command.team());
        if (team == nullptr)
            return makeResult(wire::OUTCOME_NOT_FOUND, 0, "no team " + command.team());
        if (exceedsQuota(team->quota(), command.size()))
            return makeResult(wire::OUTCOME_OVER_QUOTA, 0, "larger than the team's whole quota");
    }

    Task task = taskOf(command, &m_texts);
    task.submittedMicroseconds = nowMicroseconds;
    task.changedMicroseconds = nowMicroseconds;
    m_tasks.emplace(command.task(), std::move(task));
    ++m_counts.at(wire::TASK_STATE_QUEUED);
    return makeResult(wire::OUTCOME_APPLIED);
}

ApplyResult Tasks::lease(const wire::LeaseTask &command, std::int64_t nowMicroseconds)
{
    const auto it = m_tasks.find(command.task());
    if (it == m_tasks.end())
        return noSuchTask(command.task());
    Task &task = it->second;
    if (!isName(command.worker()))
        return makeResult(wire::OUTCOME_INVALID, task.epoch.value, "a lease needs a worker");

    if (!isBounded(command.granted()))
        return makeResult(wire::OUTCOME_INVALID, task.epoch.value, "the size is out of bounds");

    // The same lease once more changes nothing; any other while one is live is refused.
    if (task.hasLiveLease()) {
        if (command.epoch() == task.epoch.value && command.worker() == task.worker.view())
            return makeResult(wire::OUTCOME_ALREADY_APPLIED, task.epoch.value);
        return wrongState(task);
    }
    if (task.isEnded())
        return wrongState(task);
    if (command.epoch() != task.epoch.value + 1)
        return makeResult(wire::OUTCOME_STALE_EPOCH, task.epoch.value, "not the next epoch");
    if (command.checkpoint() != task.checkpoint)
        return makeResult(wire::OUTCOME_CONTENT_CONFLICT, task.epoch.value,
                          "not the last checkpoint recorded");
    if (!fitsQuota(task))
        return makeResult(wire::OUTCOME_OVER_QUOTA, task.epoch.value, "the team's quota is in use");

    task.epoch = { command.epoch() };
    task.worker = { &m_texts, command.worker() };
    task.granted = command.has_granted() ? sizeOf(command.granted()) : task.size;
    setState(it, wire::TASK_STATE_LEASED, nowMicroseconds);
    return makeResult(wire::OUTCOME_APPLIED, task.epoch.value);
}

ApplyResult Tasks::started(const wire::TaskStarted &command, std::int64_t nowMicroseconds)
{
    const Target target = findTarget(command.task(), command.epoch());
    if (target.refused)
        return target.refusal;
    if (target.it->second.state == wire::TASK_STATE_RUNNING)
        return makeResult(wire::OUTCOME_ALREADY_APPLIED, command.epoch());
    setState(target.it, wire::TASK_STATE_RUNNING, nowMicroseconds);
    return makeResult(wire::OUTCOME_APPLIED, command.epoch());
}

ApplyResult Tasks::checkpointed(const wire::TaskCheckpointed &command, std::int64_t nowMicroseconds)
{
    const Target target = findTarget(command.task(), command.epoch());
    if (target.refused)
        return target.refusal;
    if (command.checkpoint().empty() || command.checkpoint().size() > maxTextBytes)
        return makeResult(wire::OUTCOME_INVALID, command.epoch(), "a checkpoint needs a name");
    target.it->second.checkpoint = command.checkpoint();
    target.it->second.changedMicroseconds = nowMicroseconds;
    return makeResult(wire::OUTCOME_APPLIED, command.epoch());
}

ApplyResult Tasks::stopped(const wire::TaskStopped &command, std::int64_t nowMicroseconds)
{
    const Target target = findTarget(command.task(), command.epoch());
    if (target.refused)
        return target.refusal;
    if (command.checkpoint().size() > maxTextBytes || !wire::StopReason_IsValid(command.reason()))
        return makeResult(wire::OUTCOME_INVALID, command.epoch(), "wrong reason or checkpoint");
    Task &task = target.it->second;
    if (!command.checkpoint().empty())
        task.checkpoint = command.checkpoint();
    task.evictions += command.reason() == wire::STOP_REASON_EVICTED ? 1 : 0;
    const bool neverRan = command.reason() == wire::STOP_REASON_NEVER_STARTED;
    return release(target.it, neverRan ? wire::TASK_STATE_QUEUED : wire::TASK_STATE_EVICTED,
                   nowMicroseconds);
}

ApplyResult Tasks::finished(const wire::TaskFinished &command, std::int64_t nowMicroseconds)
{
    const Target target = findTarget(command.task(), command.epoch());
    if (target.refused)
        return target.refusal;
    setState(target.it,
             target.it->second.isReplica() ? wire::TASK_STATE_QUEUED : wire::TASK_STATE_FINISHED,
             nowMicroseconds);
    return makeResult(wire::OUTCOME_APPLIED, command.epoch());
}

ApplyResult Tasks::failed(const wire::TaskFailed &command, std::int64_t nowMicroseconds)
{
    const Target target = findTarget(command.task(), command.epoch());
    if (target.refused)
        return target.refusal;
    if (command.reason().size() > maxTextBytes)
        return makeResult(wire::OUTCOME_INVALID, command.epoch(), "the reason is too long");
    Task &task = target.it->second;
    ++task.failures;
    task.reason = { &m_texts, command.reason() };
    const bool isLast = command.final() && !task.isReplica();
    return release(target.it, isLast ? wire::TASK_STATE_FAILED : wire::TASK_STATE_QUEUED,
                   nowMicroseconds);
}

ApplyResult Tasks::cancel(const wire::CancelTask &command, std::int64_t nowMicroseconds)
{
    const auto it = m_tasks.find(command.task());
    if (it == m_tasks.end())
        return noSuchTask(command.task());
    Task &task = it->second;
    if (task.isReplica())
        return makeResult(wire::OUTCOME_WRONG_STATE, task.epoch.value,
                          "a replica goes with its placement");
    if (task.state == wire::TASK_STATE_CANCELLED || (task.cancelRequested && !task.isEnded()))
        return makeResult(wire::OUTCOME_ALREADY_APPLIED, task.epoch.value);
    if (task.isEnded())
        return wrongState(task);
    if (task.hasLiveLease()) {
        task.cancelRequested = true;
        task.changedMicroseconds = nowMicroseconds;
        return makeResult(wire::OUTCOME_APPLIED, task.epoch.value, "waits for the lease to end");
    }
    setState(it, wire::TASK_STATE_CANCELLED, nowMicroseconds);
    return makeResult(wire::OUTCOME_APPLIED, task.epoch.value);
}

ApplyResult Tasks::unschedulable(const wire::TaskUnschedulable &command,
                                 std::int64_t nowMicroseconds)
{
    const auto it = m_tasks.find(command.task());
    if (it == m_tasks.end())
        return noSuchTask(command.task());
    if (!wire::UnschedulableReason_IsValid(command.reason()))
        return makeResult(wire::OUTCOME_INVALID, 0, "no such reason");
    Task &task = it->second;
    if (task.state == wire::TASK_STATE_UNSCHEDULABLE)
        return makeResult(wire::OUTCOME_ALREADY_APPLIED, task.epoch.value);
    if (task.hasLiveLease() || task.isEnded())
        return wrongState(task);
    task.reason = { &m_texts, unschedulableReasonName(command.reason()) };
    if (!task.isReplica())
        setState(it, wire::TASK_STATE_UNSCHEDULABLE, nowMicroseconds);
    return makeResult(wire::OUTCOME_APPLIED, task.epoch.value);
}

void Tasks::expire(std::int64_t nowMicroseconds)
{
    const std::int64_t cutoff = nowMicroseconds - m_limits.endedTaskWindow.count();
    while (!m_ended.empty() && m_ended.begin()->first < cutoff) {
        const auto it = m_tasks.find(m_ended.begin()->second);
        ACACIAFORK_ASSERT(it != m_tasks.end() && it->second.isEnded());
        --m_counts.at(it->second.state);
        m_tasks.erase(it);
        m_ended.erase(m_ended.begin());
    }
}

const Task *Tasks::find(std::string_view task) const
{
    const auto it = m_tasks.find(task);
    return it == m_tasks.end() ? nullptr : &it->second;
}

Tasks::Usage Tasks::usageOf(std::string_view team) const
{
    const auto it = m_usage.find(team);
    return it == m_usage.end() ? Usage {} : it->second;
}

void Tasks::save(SnapshotWriter *writer) const
{
    for (const auto &[id, task] : m_tasks)
        fillRecord(id, task, writer->record().mutable_task());
}

bool Tasks::load(const wire::TaskRecord &record)
{
    if (!validationError(record.submitted(), m_limits.taskPayloadBytes).empty()
        || !isBounded(record.granted()) || !wire::TaskState_IsValid(record.state()))
        return false;
    const auto [it, isNew] =
            m_tasks.try_emplace(record.submitted().task(), taskOf(record, &m_texts));
    if (!isNew)
        return false;
    const Task &task = it->second;
    ++m_counts.at(task.state);
    if (task.hasLiveLease())
        addUsage(task);
    if (task.isEnded())
        m_ended.emplace(task.changedMicroseconds, it->first);
    return true;
}

Tasks::Target Tasks::findTarget(std::string_view task, std::uint64_t epoch)
{
    const auto it = m_tasks.find(task);
    if (it == m_tasks.end())
        return { .it = it, .refusal = noSuchTask(task), .refused = true };
    if (it->second.epoch.value != epoch)
        return { .it = it,
                 .refusal = makeResult(wire::OUTCOME_STALE_EPOCH, it->second.epoch.value,
                                       "another epoch is current"),
                 .refused = true };
    if (!it->second.hasLiveLease())
        return { .it = it, .refusal = wrongState(it->second), .refused = true };
    return { .it = it };
}

bool Tasks::fitsQuota(const Task &task) const
{
    if (task.team.empty())
        return true;
    const wire::Team *team = m_teams.find(task.team.view());
    ACACIAFORK_ASSERT(team != nullptr);
    const Usage usage = usageOf(task.team.view());
    return usage.millicores + task.size.millicores <= team->quota().millicores()
            && usage.memoryMb + task.size.memoryMb <= team->quota().memory_mb()
            && usage.accelerators + task.size.accelerators <= team->quota().accelerators();
}

void Tasks::setState(Map::iterator it, wire::TaskState state, std::int64_t nowMicroseconds)
{
    Task &task = it->second;
    ACACIAFORK_ASSERT(!task.isEnded());
    const bool wasLive = task.hasLiveLease();
    --m_counts.at(task.state);
    ++m_counts.at(state);
    task.state = state;
    task.changedMicroseconds = nowMicroseconds;
    if (!wasLive && task.hasLiveLease())
        addUsage(task);
    if (wasLive && !task.hasLiveLease())
        removeUsage(task);
    if (task.isEnded())
        m_ended.emplace(nowMicroseconds, it->first);
}

ApplyResult Tasks::release(Map::iterator it, wire::TaskState next, std::int64_t nowMicroseconds)
{
    const bool isCancelled = it->second.cancelRequested && next != wire::TASK_STATE_FAILED;
    setState(it, isCancelled ? wire::TASK_STATE_CANCELLED : next, nowMicroseconds);
    return makeResult(wire::OUTCOME_APPLIED, it->second.epoch.value);
}

void Tasks::addUsage(const Task &task)
{
    if (task.team.empty())
        return;
    Usage &usage = m_usage[std::string(task.team.view())];
    usage.millicores += task.size.millicores;
    usage.memoryMb += task.size.memoryMb;
    usage.accelerators += task.size.accelerators;
}

void Tasks::removeUsage(const Task &task)
{
    if (task.team.empty())
        return;
    Usage &usage = m_usage[std::string(task.team.view())];
    ACACIAFORK_ASSERT(usage.millicores >= task.size.millicores);
    usage.millicores -= task.size.millicores;
    usage.memoryMb -= task.size.memoryMb;
    usage.accelerators -= task.size.accelerators;
}

} // namespace acaciafork::state
