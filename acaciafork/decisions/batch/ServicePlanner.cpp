#include "acaciafork/decisions/batch/ServicePlanner.h"

namespace acaciafork::batch {

namespace {

/// Name of a service's task: stable by position, so that its epochs keep fencing.
TaskName replicaName(const ServiceName &service, std::size_t position)
{
    return TaskName { "@" + service.value + "/" + std::to_string(position) };
}

} // namespace

ServicePlanner::ServicePlanner(Model *model, TaskLifecycle *lifecycle)
    : m_model(model)
    , m_lifecycle(lifecycle)
{ }

void ServicePlanner::put(const PlacementRecord &placement)
{
    const Index index = m_model->services.intern(placement.service);
    if (index == m_services.size()) {
        m_services.emplace_back();
        m_model->serviceTasks.emplace_back();
    }
    Service &service = m_services[index];
    service.desired = placement;
    service.team = m_model->teams.intern(placement.team);

    // A new size holds for replicas that start from now on.
    for (const Replica &it : service.replicas)
        m_model->tasks[it.task].declared = placement.size;
}

void ServicePlanner::restore(const TaskRecord &record)
{
    // A service that is no longer wanted still has to leave.
    if (m_model->services.find(record.service) == noIndex)
        put({ .service = record.service, .removed = true });
    const Index index = m_model->services.find(record.service);
    Service &service = m_services[index];

    TaskRecord adjusted = record;
    adjusted.job.team = service.desired.team;
    adjusted.job.family = FamilyName { record.service.value };
    m_lifecycle->restore(adjusted);
    const Index task = m_model->tasks.find(record.job.task);
    Task &it = m_model->tasks[task];
    it.service = index;
    it.declared = service.desired.size;
    if (!it.onWorker())
        it.phase = TaskPhase::Finished;
    const ReplicaState state = it.onWorker() ? ReplicaState::Starting : ReplicaState::Idle;
    service.replicas.push_back({ .task = task, .state = state, .since = m_model->now });
    m_model->serviceTasks[index].push_back(task);
}

void ServicePlanner::onWarm(const TaskName &task)
{
    Replica *it = find(task);
    if (it != nullptr && it->state == ReplicaState::Starting)
        it->state = ReplicaState::Warm;
}

void ServicePlanner::onDrained(const TaskName &task)
{
    Replica *it = find(task);
    if (it != nullptr && it->state != ReplicaState::Idle)
        end(it);
}

void ServicePlanner::tick()
{
    m_leaving = 0;
    for (Index it = 0; it < m_services.size(); ++it)
        reconcile(it);
}

void ServicePlanner::reconcile(Index index)
{
    Service &service = m_services[index];
    for (Replica &it : service.replicas)
        updateReplica(&it);

    // Fill up to what is wanted, with a bounded surplus while others go away.
    const std::uint32_t desired = service.desired.removed ? 0 : service.desired.replicas;
    constexpr std::int64_t permilleScale = 1000;
    const auto surge = static_cast<std::uint32_t>(std::max<std::int64_t>(
            1, desired * m_model->settings.service.surgePermille / permilleScale));
    ReplicaCounts now = replicaCounts(service);
    while (now.staying < desired && now.staying + now.departing < desired + surge) {
        startReplica(index);
        ++now.staying;
    }

    // Make before break: a replica leaves only when enough warm ones remain without it.
    for (Replica &it : service.replicas) {
        if (it.state == ReplicaState::Leaving)
            ++m_leaving;
        const bool live = it.state == ReplicaState::Starting || it.state == ReplicaState::Warm;
        if (!live)
            continue;
        const bool warm = it.state == ReplicaState::Warm;
        const bool surplus = now.staying > desired;
        const bool mustLeave = !isStaying(it) && reachable(it);
        if (!mustLeave && !surplus)
            continue;
        const bool enoughWarm = now.stayingWarm >= desired || now.warm > desired;
        if (!enoughWarm)
            continue;
        if (!mustLeave) {
            --now.staying;
            now.stayingWarm -= warm ? 1 : 0;
        }
        now.warm -= warm ? 1 : 0;
        requestLeave(&it);
    }
}

void ServicePlanner::updateReplica(Replica *replica)
{
    const Task &task = m_model->tasks[replica->task];
    if (task.phase == TaskPhase::Finished)
        replica->state = ReplicaState::Idle;

    // A call may have been lost, or the lease may have been in the making when the end was wanted.
    if (replica->state == ReplicaState::Ending)
        end(replica);
    if (replica->state == ReplicaState::Leaving
        && m_model->now - replica->since > m_model->settings.service.leaveRetryInterval)
        requestLeave(replica);

    // One that does not get warm is given up; its place is taken by a new one.
    const bool warmUpTimedOut = replica->state == ReplicaState::Starting
            && task.phase == TaskPhase::Running
            && m_model->now - std::max(replica->since, task.startedAt)
                    > m_model->settings.service.warmUpTimeout;
    if (warmUpTimedOut && isStaying(*replica))
        requestLeave(replica);
}

ServicePlanner::ReplicaCounts ServicePlanner::replicaCounts(const Service &service) const
{
    ReplicaCounts replicaCounts;
    for (const Replica &it : service.replicas) {
        if (it.state != ReplicaState::Starting && it.state != ReplicaState::Warm)
            continue;
        const std::uint32_t warm = it.state == ReplicaState::Warm && reachable(it) ? 1 : 0;
        replicaCounts.warm += warm;
        if (isStaying(it)) {
            ++replicaCounts.staying;
            replicaCounts.stayingWarm += warm;
        } else if (reachable(it)) {
            ++replicaCounts.departing;
        }
    }
    return replicaCounts;
}

bool ServicePlanner::isStaying(const Replica &replica) const
{
    const Task &task = m_model->tasks[replica.task];
    if (!task.onWorker())
        return true;
    const Worker &worker = m_model->fleet.worker(task.worker);
    return worker.present && !m_model->fleet.rack(worker.rack).draining();
}

bool ServicePlanner::reachable(const Replica &replica) const
{
    const Task &task = m_model->tasks[replica.task];
    return !task.onWorker() || m_model->fleet.worker(task.worker).present;
}

void ServicePlanner::startReplica(Index index)
{
    Service &service = m_services[index];
    auto it = std::find_if(service.replicas.begin(), service.replicas.end(),
                           [](const Replica &r) { return r.state == ReplicaState::Idle; });
    if (it == service.replicas.end()) {
        std::size_t position = service.replicas.size();
        while (m_model->tasks.find(replicaName(service.desired.service, position)) != noIndex)
            ++position;
        const TaskName name = replicaName(service.desired.service, position);
        const Index task =
                m_lifecycle->addServiceTask(name, index, service.team, service.desired.size);
        m_model->serviceTasks[index].push_back(task);
        it = service.replicas.insert(it, { .task = task });
    }
    it->state = ReplicaState::Starting;
    it->since = m_model->now;
    m_model->tasks[it->task].leaving = false;
    m_model->enqueue(it->task, false);
}

void ServicePlanner::requestLeave(Replica *replica)
{
    // One that never ran has no endpoint to tell. Any other may have one, also where no sign of it
    // has reached this leader.
    const Task &task = m_model->tasks[replica->task];
    if (task.phase != TaskPhase::Running) {
        end(replica);
        return;
    }
    replica->state = ReplicaState::Leaving;
    m_model->tasks[replica->task].leaving = true;
    replica->since = m_model->now;
    m_model->outbox.send(EndpointLeave { .task = task.name });
}

void ServicePlanner::end(Replica *replica)
{
    Task &task = m_model->tasks[replica->task];
    if (task.phase == TaskPhase::Queued) {
        m_model->queue.remove(replica->task);
        task.phase = TaskPhase::Finished;
        replica->state = ReplicaState::Idle;
        return;
    }
    replica->state = ReplicaState::Ending;
    m_lifecycle->stop(replica->task);
}

ServicePlanner::Replica *ServicePlanner::find(const TaskName &task)
{
    const Index index = m_model->tasks.find(task);
    if (index == noIndex || !m_model->tasks[index].isService())
        return nullptr;
    for (Replica &it : m_services[m_model->tasks[index].service].replicas) {
        if (it.task == index)
            return &it;
    }
    return nullptr;
}

} // namespace acaciafork::batch
