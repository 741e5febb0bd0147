#include "benchmarks/batch/fakes/Audit.h"

namespace acaciafork::batch::fakes {

void Audit::onStart(const TaskName &task, LeaseEpoch epoch, CheckpointId from, bool service)
{
    ++starts;
    History &it = m_tasks[task];
    runsInTwoPlaces += it.running.empty() ? 0 : 1;
    repeatedEpochs += epoch.value <= it.lastEpoch ? 1 : 0;
    strangeCheckpoints += from.value > it.newestCheckpoint ? 1 : 0;
    startsAfterFinish += it.finished && !service ? 1 : 0;
    runsPastOutcome += it.outcome ? 1 : 0;
    it.running.insert(epoch.value);
    it.lastEpoch = std::max(it.lastEpoch, epoch.value);
}

void Audit::onEnd(const TaskName &task, LeaseEpoch epoch)
{
    m_tasks[task].running.erase(epoch.value);
}

void Audit::onRoom(const Resources &granted, const Resources &room)
{
    overRoom += granted.fitsIn(room) ? 0 : 1;
}

void Audit::onCheckpoint(const TaskName &task, CheckpointId checkpoint)
{
    History &it = m_tasks[task];
    it.newestCheckpoint = std::max(it.newestCheckpoint, checkpoint.value);
}

void Audit::onFinish(const TaskName &task)
{
    m_tasks[task].finished = true;
}

void Audit::onOutcome(const TaskName &task)
{
    History &it = m_tasks[task];
    runsPastOutcome += it.running.empty() ? 0 : 1;
    it.outcome = true;
}

} // namespace acaciafork::batch::fakes
