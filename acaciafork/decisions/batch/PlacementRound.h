#pragma once

#include <vector>

#include "acaciafork/decisions/batch/Placer.h"
#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

/// Gives waiting tasks places, once a tick: services first, then urgent jobs, evicted work, and the
/// rest; within a class the team with the least dominant share goes next.
class PlacementRound
{
public:
    PlacementRound(Model *model, Placer *placer, TaskLifecycle *lifecycle, HealthTracker *health);

    /// Proposes leases, a bounded number.
    void run();

private:
    void runClass(QueueClass queueClass);
    /// Team that goes next, or noIndex when none has a task that may still find a place.
    Index nextTeam(QueueClass queueClass);
    /// Line of the team whose head goes next, or nullptr.
    WaitingQueue::SizeQueue *nextSizeQueue(QueueClass queueClass, Index team);
    void place(QueueClass queueClass, Index team);
    /// Ends the task if no worker of the fleet could ever hold it.
    bool rejectIfUnschedulable(Index task, const Resources &size);
    [[nodiscard]] bool isKnownUnplaceable(const Resources &size) const;

    Model *m_model;
    Placer *m_placer;
    TaskLifecycle *m_lifecycle;
    HealthTracker *m_health;
    /// Leases that may still be proposed in this round.
    std::int32_t m_budget = 0;
    std::uint64_t m_round = 0;
    /// Sizes that found no room in this round; what is as large finds none either.
    std::vector<Resources> m_unplaceableSizes;
    /// Round in which each team was last found to have nothing left to place, by class.
    std::vector<std::uint64_t> m_teamDoneRound;
};

} // namespace acaciafork::batch
