#include "acaciafork/decisions/batch/PlacementRound.h"

namespace acaciafork::batch {

PlacementRound::PlacementRound(Model *model, Placer *placer, TaskLifecycle *lifecycle,
                               HealthTracker *health)
    : m_model(model)
    , m_placer(placer)
    , m_lifecycle(lifecycle)
    , m_health(health)
{ }

void PlacementRound::run()
{
    m_budget = m_model->settings.tick.placementsPerTick;
    m_unplaceableSizes.clear();
    for (const QueueClass it :
         { QueueClass::Service, QueueClass::Urgent, QueueClass::Evicted, QueueClass::Normal })
        runClass(it);
}

void PlacementRound::runClass(QueueClass queueClass)
{
    if (m_model->queue.size(queueClass) == 0)
        return;
    ++m_round;
    m_teamDoneRound.resize(
            std::max(m_teamDoneRound.size(), std::size_t { m_model->queue.teamCount() }));
    while (m_budget > 0) {
        const Index team = nextTeam(queueClass);
        if (team == noIndex)
            return;
        place(queueClass, team);
    }
}

Index PlacementRound::nextTeam(QueueClass queueClass)
{
    Index best = noIndex;
    double bestShare = 0;
    for (Index team = 0; team < m_model->queue.teamCount(); ++team) {
        if (m_teamDoneRound[team] == m_round)
            continue;
        if (m_model->queue.sizeQueues(queueClass, team).empty()) {
            m_teamDoneRound[team] = m_round;
            continue;
        }
        const double share = m_model->teams.dominantShare(team);
        if (best == noIndex || share < bestShare) {
            best = team;
            bestShare = share;
        }
    }
    return best;
}

WaitingQueue::SizeQueue *PlacementRound::nextSizeQueue(QueueClass queueClass, Index team)
{
    WaitingQueue::SizeQueues &sizeQueues = m_model->queue.sizeQueues(queueClass, team);
    WaitingQueue::SizeQueue *best = nullptr;
    std::int32_t bestAccelerators = 0;
    for (auto it = sizeQueues.begin(); it != sizeQueues.end();) {
        WaitingQueue::SizeQueue &sizeQueue = it->second;
        if (!m_model->queue.pruneHead(&sizeQueue)) {
            it = sizeQueues.erase(it);
            continue;
        }
        ++it;
        if (sizeQueue.blockedInRound == m_round)
            continue;

        // Tasks that need accelerators go first, then the oldest.
        const std::int32_t accelerators =
                m_model->tasks[sizeQueue.tasks.front().first].declared.accelerators;
        if (best != nullptr && accelerators < bestAccelerators)
            break;
        if (best == nullptr || sizeQueue.tasks.front().second < best->tasks.front().second) {
            best = &sizeQueue;
            bestAccelerators = accelerators;
        }
    }
    return best;
}

void PlacementRound::place(QueueClass queueClass, Index team)
{
    WaitingQueue::SizeQueue *sizeQueue = nextSizeQueue(queueClass, team);
    if (sizeQueue == nullptr) {
        m_teamDoneRound[team] = m_round;
        return;
    }
    const Index index = sizeQueue->tasks.front().first;
    const Resources size = m_model->sizeFor(m_model->tasks[index]);

    // What can't be placed now holds up its own line for this round, no other.
    if (isKnownUnplaceable(size) || !m_model->teams.withinQuota(team, size)) {
        sizeQueue->blockedInRound = m_round;
        return;
    }
    if (const Index probe = m_health->findWorkerToProbe(m_model->tasks[index], size);
        probe != noIndex) {
        m_lifecycle->lease(index, probe);
        m_health->onProbeLeased(probe, index);
        --m_budget;
        return;
    }
    const Placement placement = m_placer->choose(index, size);
    if (!placement.anyRoom && rejectIfUnschedulable(index, size))
        return;
    if (placement.worker == noIndex) {
        sizeQueue->blockedInRound = m_round;
        if (!placement.anyRoom)
            m_unplaceableSizes.push_back(size);
        ++m_model->counters.failedPlacementSearches;
        return;
    }
    m_lifecycle->lease(index, placement.worker);
    --m_budget;
}

bool PlacementRound::rejectIfUnschedulable(Index index, const Resources &size)
{
    // Workers get some time to report first, to a new leader as well.
    const Task &task = m_model->tasks[index];
    const bool early = m_model->now - task.queuedAt < m_model->settings.health.unschedulableAfter;
    if (task.isService() || early)
        return false;
    const UnschedulableReason reason = m_model->fleet.unschedulableReason(size);
    if (reason == UnschedulableReason::None)
        return false;
    m_lifecycle->proposeUnschedulable(index, reason);
    return true;
}

bool PlacementRound::isKnownUnplaceable(const Resources &size) const
{
    return std::any_of(m_unplaceableSizes.begin(), m_unplaceableSizes.end(),
                       [&](const Resources &it) { return it.fitsIn(size); });
}

} // namespace acaciafork::batch
