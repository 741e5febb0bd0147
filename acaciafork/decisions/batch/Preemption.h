#pragma once

#include <vector>

#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

/// Makes room for urgent tasks by evicting other jobs at the least cost, and reserves workers for
/// tasks that have waited too long.
class Preemption
{
public:
    Preemption(Model *model, TaskLifecycle *lifecycle);

    /// Leases reserved workers to their tasks once there is room.
    void leaseReserved();
    /// Handles the tasks that the placement round left waiting.
    void tick();

private:
    /// A worker and the tasks to evict from it.
    struct Plan
    {
        Index worker = noIndex;
        double cost = 0;
        std::vector<Index> victims;
    };

    void preemptForUrgent();
    void preemptFor(Index task);
    void reserveForStarved();
    void reserveFor(Index task);
    void releaseReservations();
    /// Returns the cheapest victims on a worker that make room for `size`, or a plan without a
    /// worker if there are none below `costBound`.
    Plan planAt(Index worker, const Resources &size, double costBound);
    /// Cost of evicting a task.
    [[nodiscard]] double preemptionCost(const Task &task) const;
    void reserve(Index worker, Index task);
    [[nodiscard]] bool hasReservation(Index task) const;

    /// A worker reserved for a task.
    struct Reservation
    {
        Index worker = noIndex;
        TaskName task;
        Timestamp until {};
        bool starved = false;
    };

    Model *m_model;
    TaskLifecycle *m_lifecycle;
    std::vector<Reservation> m_reservations;
    Index m_cursor = 0;
    std::vector<std::pair<double, Index>> m_byCost;
};

} // namespace acaciafork::batch
