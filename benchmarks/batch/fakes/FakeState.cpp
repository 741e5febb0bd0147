#include "benchmarks/batch/fakes/FakeState.h"

namespace acaciafork::batch::fakes {

bool FakeState::submit(const JobRecord &job)
{
    return m_tasks.try_emplace(job.task, TaskRecord { .job = job }).second;
}

bool FakeState::cancel(const TaskName &task)
{
    const auto it = m_tasks.find(task);
    if (it == m_tasks.end())
        return false;
    it->second.cancelRequested = true;
    return true;
}

bool FakeState::apply(const DurableChange &change)
{
    return std::visit([this](const auto &it) { return on(it); }, change);
}

const TaskRecord *FakeState::task(const TaskName &task) const
{
    const auto it = m_tasks.find(task);
    return it == m_tasks.end() ? nullptr : &it->second;
}

TaskRecord *FakeState::leasedAt(const TaskName &task, LeaseEpoch epoch)
{
    const auto it = m_tasks.find(task);
    if (it == m_tasks.end() || !it->second.leased || it->second.lease.epoch != epoch)
        return nullptr;
    return &it->second;
}

bool FakeState::on(const LeaseTask &it)
{
    if (!it.service.value.empty())
        m_tasks.try_emplace(it.task,
                            TaskRecord { .job = { .task = it.task }, .service = it.service });
    const auto found = m_tasks.find(it.task);
    if (found == m_tasks.end())
        return false;
    TaskRecord &task = found->second;
    if (task.leased || task.cancelRequested || it.epoch.value != task.lastEpoch.value + 1
        || it.checkpoint != task.checkpoint)
        return false;
    task.leased = true;
    task.lastEpoch = it.epoch;
    task.lease = {
        .worker = it.worker, .epoch = it.epoch, .checkpoint = it.checkpoint, .granted = it.granted
    };
    return true;
}

bool FakeState::on(const RecordStarted &it)
{
    TaskRecord *task = leasedAt(it.task, it.epoch);
    if (task == nullptr)
        return false;
    task->lease.started = true;
    return true;
}

bool FakeState::on(const RecordCheckpointed &it)
{
    TaskRecord *task = leasedAt(it.task, it.epoch);
    if (task == nullptr || it.checkpoint <= task->checkpoint)
        return false;
    task->checkpoint = it.checkpoint;
    return true;
}

bool FakeState::on(const RecordStopped &it)
{
    TaskRecord *task = leasedAt(it.task, it.epoch);
    if (task == nullptr || it.checkpoint < task->checkpoint)
        return false;
    task->leased = false;
    task->checkpoint = it.checkpoint;
    return true;
}

bool FakeState::on(const RecordFinished &it)
{
    if (leasedAt(it.task, it.epoch) == nullptr)
        return false;
    m_tasks.erase(it.task);
    ++finished;
    return true;
}

bool FakeState::on(const RecordFailed &it)
{
    TaskRecord *task = leasedAt(it.task, it.epoch);
    if (task == nullptr)
        return false;
    task->leased = false;
    task->failures += it.counted ? 1 : 0;
    if (it.last) {
        ++failed;
        m_tasks.erase(it.task);
    }
    return true;
}

bool FakeState::on(const RecordCancelled &it)
{
    const auto found = m_tasks.find(it.task);
    if (found == m_tasks.end() || !found->second.cancelRequested
        || found->second.lastEpoch != it.epoch)
        return false;
    m_tasks.erase(found);
    ++cancelled;
    return true;
}

bool FakeState::on(const RecordUnschedulable &it)
{
    const auto found = m_tasks.find(it.task);
    if (found == m_tasks.end() || found->second.leased)
        return false;
    m_tasks.erase(found);
    unschedulable[it.task] = it.reason;
    return true;
}

bool FakeState::on(const RackDrained &it)
{
    m_racks.try_emplace(it.rack, RackRecord { .rack = it.rack });
    m_racks[it.rack].state = RackState::Drained;
    return true;
}

bool FakeState::on(const RackRetired &it)
{
    m_racks.try_emplace(it.rack, RackRecord { .rack = it.rack });
    m_racks[it.rack].state = RackState::Retired;
    return true;
}

bool FakeState::on(const MoveStepDone &it)
{
    if (it.stepsDone <= m_move.stepsDone || it.stepsDone > m_move.steps.size())
        return false;
    m_move.stepsDone = it.stepsDone;
    if (m_move.stepsDone == m_move.steps.size())
        m_move.state = MoveState::Finished;
    return true;
}

RestoredState FakeState::restored() const
{
    RestoredState state { .move = m_move };
    for (const auto &[name, it] : m_teams)
        state.teams.push_back(it);
    for (const auto &[name, it] : m_racks)
        state.racks.push_back(it);
    for (const auto &[name, it] : m_placements)
        state.placements.push_back(it);

    // In the order of names, so that a session replays whatever the hash.
    std::map<TaskName, const TaskRecord *> ordered;
    for (const auto &[name, it] : m_tasks)
        ordered.emplace(name, &it);
    for (const auto &[name, it] : ordered)
        state.tasks.push_back(*it);
    return state;
}

} // namespace acaciafork::batch::fakes
