#include "acaciafork/decisions/batch/Model.h"

namespace acaciafork::batch {

Model::Model(const SchedulerSettings &schedulerSettings)
    : settings(schedulerSettings)
    , sizes(schedulerSettings.size)
    , interference(schedulerSettings.interference)
{ }

void Model::allocateRoom(Index task, Index worker, const Resources &granted)
{
    Task &it = tasks[task];
    ACACIAFORK_ASSERT(!it.onWorker());
    it.worker = worker;
    it.granted = granted;
    it.workerPosition = fleet.attach(worker, task, granted);
    teams[it.team].used += granted;
    index.refresh(worker);
}

void Model::releaseRoom(Index task)
{
    Task &it = tasks[task];
    ACACIAFORK_ASSERT(it.onWorker());
    const Index moved = fleet.detach(it.worker, it.workerPosition, it.granted);
    if (moved != noIndex)
        tasks[moved].workerPosition = it.workerPosition;
    teams[it.team].used -= it.granted;
    const Index worker = it.worker;
    recordPastRun(it);
    it.worker = noIndex;
    it.workerPosition = noIndex;
    index.refresh(worker);
}

void Model::recordPastRun(const Task &task)
{
    Worker &worker = fleet.worker(task.worker);
    if (task.throttlePermille < unthrottledPermille)
        --worker.throttledTasks;
    if (task.firstSeq == 0 || task.incarnation != worker.incarnation)
        return;

    // Use is reported late, but not later than this many reports.
    constexpr std::uint64_t rememberedReports = 64;
    std::erase_if(worker.pastRuns,
                  [&](const PastRun &it) { return it.lastSeq + rememberedReports < worker.seq; });
    worker.pastRuns.push_back(
            { .family = task.family, .firstSeq = task.firstSeq, .lastSeq = task.lastSeq });
}

void Model::enqueue(Index task, bool atFront)
{
    Task &it = tasks[task];
    it.phase = TaskPhase::Queued;
    it.intent = TaskIntent::Run;
    it.queuedAt = now;
    QueueClass queueClass = QueueClass::Normal;
    if (it.isService())
        queueClass = QueueClass::Service;
    else if (it.urgent)
        queueClass = QueueClass::Urgent;
    else if (atFront)
        queueClass = QueueClass::Evicted;
    queue.add(task, it.team, queueClass, sizeFor(it), atFront);
}

Resources Model::sizeFor(const Task &task) const
{
    if (task.isService()) {
        Resources size = task.declared;
        size.slots = std::max(size.slots, 1);
        return size;
    }
    Resources size = sizes.size(task.family, task.declared);
    size.memoryMb = std::max(size.memoryMb, task.memoryFloorMb);
    return size;
}

ServiceName Model::serviceName(const Task &task) const
{
    return task.isService() ? services.name(task.service) : ServiceName {};
}

void Model::setPresence(Index worker, bool present, const Resources &room)
{
    Worker &it = fleet.worker(worker);
    if (it.present)
        teams.removeRoom(it.room);
    it.present = present;
    it.room = room;
    if (present)
        teams.addRoom(room);
    index.refresh(worker);
}

void Model::refreshRack(Index rack)
{
    for (const Index worker : fleet.rack(rack).workers)
        index.refresh(worker);
}

} // namespace acaciafork::batch
