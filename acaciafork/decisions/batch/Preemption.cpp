#include "acaciafork/decisions/batch/Preemption.h"

namespace acaciafork::batch {

Preemption::Preemption(Model *model, TaskLifecycle *lifecycle)
    : m_model(model)
    , m_lifecycle(lifecycle)
{ }

void Preemption::tick()
{
    releaseReservations();
    preemptForUrgent();
    reserveForStarved();
}

void Preemption::leaseReserved()
{
    for (const Reservation &it : m_reservations) {
        const Index task = m_model->tasks.find(it.task);
        if (task == noIndex || !m_model->queue.contains(task))
            continue;
        const Worker &worker = m_model->fleet.worker(it.worker);
        const bool usable = worker.reservedFor == task && worker.present && !worker.quarantined
                && !m_model->fleet.rack(worker.rack).draining();
        if (usable && m_model->sizeFor(m_model->tasks[task]).fitsIn(worker.freeRoom()))
            m_lifecycle->lease(task, it.worker);
    }
}

void Preemption::releaseReservations()
{
    // A reservation ends with its task's lease, or after a time.
    std::erase_if(m_reservations, [&](const Reservation &it) {
        const Index task = m_model->tasks.find(it.task);
        const bool waits = task != noIndex && m_model->queue.contains(task);
        if (waits && m_model->now < it.until)
            return false;
        m_model->fleet.worker(it.worker).reservedFor = noIndex;
        if (task != noIndex)
            m_model->tasks[task].reserved = noIndex;
        m_model->index.refresh(it.worker);
        return true;
    });
}

bool Preemption::hasReservation(Index task) const
{
    return m_model->tasks[task].reserved != noIndex;
}

void Preemption::reserve(Index worker, Index task)
{
    m_model->fleet.worker(worker).reservedFor = task;
    m_model->tasks[task].reserved = worker;
    m_model->index.refresh(worker);
}

void Preemption::preemptForUrgent()
{
    std::int32_t left = m_model->settings.preemption.tasksPerTick;
    if (m_model->queue.size(QueueClass::Urgent) == 0)
        return;
    for (Index team = 0; team < m_model->queue.teamCount(); ++team) {
        for (auto &[key, sizeQueue] : m_model->queue.sizeQueues(QueueClass::Urgent, team)) {
            if (!m_model->queue.pruneHead(&sizeQueue))
                continue;
            for (const auto &[task, ticket] : sizeQueue.tasks) {
                if (left <= 0)
                    return;
                const bool live = m_model->queue.contains(task) && m_model->tasks[task].urgent;
                if (!live || hasReservation(task))
                    continue;
                if (!m_model->teams.withinQuota(team, m_model->sizeFor(m_model->tasks[task])))
                    break;
                --left;
                preemptFor(task);
            }
        }
    }
}

void Preemption::preemptFor(Index task)
{
    const Resources size = m_model->sizeFor(m_model->tasks[task]);
    const PreemptionSettings &settings = m_model->settings.preemption;
    Plan best;

    // A bounded number of workers is weighed, from where the last search ended.
    const Index count = m_model->fleet.workerCount();
    std::int32_t left = settings.maxCandidateWorkers;
    for (Index n = 0; n < count && left > 0; ++n) {
        m_cursor = m_cursor + 1 < count ? m_cursor + 1 : 0;
        const Worker &worker = m_model->fleet.worker(m_cursor);
        if (!m_model->fleet.eligible(m_cursor) || !size.fitsIn(worker.room))
            continue;
        --left;
        Plan plan = planAt(m_cursor, size, best.worker == noIndex ? 1e18 : best.cost);
        if (plan.worker != noIndex)
            best = std::move(plan);
    }
    if (best.worker == noIndex)
        return;
    for (const Index victim : best.victims)
        m_lifecycle->evict(victim, settings.gracePeriod);
    m_model->counters.preemptions += best.victims.size();
    m_reservations.push_back({ .worker = best.worker,
                               .task = m_model->tasks[task].name,
                               .until = m_model->now + settings.reservationTimeout });
    reserve(best.worker, task);
}

Preemption::Plan Preemption::planAt(Index index, const Resources &size, double costBound)
{
    const Worker &worker = m_model->fleet.worker(index);
    Resources room = worker.freeRoom();
    m_byCost.clear();
    for (const Index it : worker.tasks) {
        const Task &task = m_model->tasks[it];
        const bool evictable = !task.isService() && !task.urgent && task.leased() && !task.proposed;
        if (!evictable)
            continue;

        // What is leaving already makes room at no further cost.
        if (task.intent != TaskIntent::Run)
            room += task.granted;
        else
            m_byCost.emplace_back(preemptionCost(task), it);
    }
    std::sort(m_byCost.begin(), m_byCost.end());

    Plan plan;
    for (const auto &[cost, victim] : m_byCost) {
        if (size.fitsIn(room))
            break;

        // One that frees nothing that is short stays.
        const Resources granted = m_model->tasks[victim].granted;
        const bool helps = (size.millicores > room.millicores && granted.millicores > 0)
                || (size.memoryMb > room.memoryMb && granted.memoryMb > 0)
                || (size.accelerators > room.accelerators && granted.accelerators > 0)
                || size.slots > room.slots;
        if (!helps)
            continue;
        plan.cost += cost;
        if (plan.cost >= costBound)
            return {};
        room += granted;
        plan.victims.push_back(victim);
    }
    if (size.fitsIn(room))
        plan.worker = index;
    return plan;
}

double Preemption::preemptionCost(const Task &task) const
{
    // Work since the latest checkpoint, by the cores it held, and a fixed part for the restart;
    // teams above their share lose first.
    constexpr double restartSeconds = 30;
    const Timestamp savedAt = std::max(task.startedAt, task.checkpointedAt);
    const auto lostSeconds = std::chrono::duration<double>(m_model->now - savedAt).count();
    const double share = m_model->teams.dominantShare(task.team);
    return (lostSeconds + restartSeconds) * task.granted.millicores / (1 + share);
}

void Preemption::reserveForStarved()
{
    // The oldest task of each line that has waited too long gets a worker kept clear.
    const PreemptionSettings &settings = m_model->settings.preemption;
    constexpr std::int64_t permilleScale = 1000;
    const std::int64_t maxStarvedReservations = std::max<std::int64_t>(
            1, m_model->fleet.workerCount() * settings.starvedWorkersPermille / permilleScale);
    auto starvedReservations = static_cast<std::int64_t>(
            std::count_if(m_reservations.begin(), m_reservations.end(),
                          [](const Reservation &it) { return it.starved; }));
    for (const QueueClass queueClass : { QueueClass::Evicted, QueueClass::Normal }) {
        if (m_model->queue.size(queueClass) == 0)
            continue;
        for (Index team = 0;
             team < m_model->queue.teamCount() && starvedReservations < maxStarvedReservations;
             ++team) {
            for (auto &[key, sizeQueue] : m_model->queue.sizeQueues(queueClass, team)) {
                if (starvedReservations >= maxStarvedReservations
                    || !m_model->queue.pruneHead(&sizeQueue))
                    continue;
                const Index task = sizeQueue.tasks.front().first;
                const bool starved =
                        m_model->now - m_model->tasks[task].queuedAt > settings.starvedAfter;
                if (!starved || hasReservation(task))
                    continue;
                reserveFor(task);
                ++starvedReservations;
            }
        }
    }
}

void Preemption::reserveFor(Index task)
{
    const Resources size = m_model->sizeFor(m_model->tasks[task]);
    if (!m_model->teams.withinQuota(m_model->tasks[task].team, size))
        return;

    // The worker with the fewest cores still to be given back.
    Index best = noIndex;
    std::int32_t fewestMissing = 0;
    for (Index index = 0; index < m_model->fleet.workerCount(); ++index) {
        const Worker &worker = m_model->fleet.worker(index);
        if (!m_model->fleet.eligible(index) || !size.fitsIn(worker.room))
            continue;
        const std::int32_t missingMillicores = size.millicores - worker.freeRoom().millicores;
        if (best == noIndex || missingMillicores < fewestMissing) {
            best = index;
            fewestMissing = missingMillicores;
        }
    }
    if (best == noIndex)
        return;
    m_reservations.push_back({ .worker = best,
                               .task = m_model->tasks[task].name,
                               .until = m_model->now + m_model->settings.preemption.starvedAfter,
                               .starved = true });
    reserve(best, task);
}

} // namespace acaciafork::batch
