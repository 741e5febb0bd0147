#pragma once

#include <vector>

#include "acaciafork/decisions/batch/Placer.h"
#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

/// Places waiting tasks, once per tick: services first, then urgent jobs, evicted jobs and the
/// rest. Within a class, the team with the smallest dominant share goes next.
class PlacementRound
{
public:
    PlacementRound(Model *model, Placer *placer, TaskLifecycle *lifecycle, HealthTracker *health);

    /// Proposes a bounded number of leases.
    void run();

private:
    void runClass(QueueClass queueClass);
    /// Returns the team that goes next, or noIndex when no team has a task that may still be
    /// placed.
    Index nextTeam(QueueClass queueClass);
    /// Returns the size queue of the team whose first task goes next, or nullptr.
    WaitingQueue::SizeQueue *nextSizeQueue(QueueClass queueClass, Index team);
    void place(QueueClass queueClass, Index team);
    /// Ends the task as unschedulable if no worker of the fleet could ever hold it.
    bool rejectIfUnschedulable(Index task, const Resources &size);
    [[nodiscard]] bool isKnownUnplaceable(const Resources &size) const;

    Model *m_model;
    Placer *m_placer;
    TaskLifecycle *m_lifecycle;
    HealthTracker *m_health;
    /// Leases that may still be proposed in this round.
    std::int32_t m_budget = 0;
    std::uint64_t m_round = 0;
    /// Sizes for which this round found no room; anything at least as large is skipped.
    std::vector<Resources> m_unplaceableSizes;
    /// Value of `m_round` when each team last had nothing left to place; `m_round` advances with
    /// every class.
    std::vector<std::uint64_t> m_teamDoneRound;
};

} // namespace acaciafork::batch
