#pragma once

#include <vector>

#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

/// Makes room for urgent tasks by moving other work away at the least cost, and keeps workers clear
/// for large tasks that have waited too long.
class Preemption
{
public:
    Preemption(Model *model, TaskLifecycle *lifecycle);

    /// Leases reserved workers that have room by now.
    void leaseReserved();
    /// Looks at tasks that the placement round left waiting.
    void tick();

private:
    /// A worker and the tasks that would have to leave it.
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
    /// Cheapest victims at a worker, or a plan without a worker.
    Plan planAt(Index worker, const Resources &size, double costBound);
    /// What is lost when a task has to leave.
    [[nodiscard]] double preemptionCost(const Task &task) const;
    void reserve(Index worker, Index task);
    [[nodiscard]] bool hasReservation(Index task) const;

    /// A worker that is kept clear for a task.
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
