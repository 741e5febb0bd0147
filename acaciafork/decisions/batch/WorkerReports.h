#pragma once

#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

/// Processes worker reports, renews leases, and detects workers that stop reporting.
class WorkerReports
{
public:
    WorkerReports(Model *model, TaskLifecycle *lifecycle);

    /// Processes a report; drops it when it is not newer than the latest accepted one.
    void onReport(const WorkerReport &report);
    /// Checks a limited number of workers for missing reports and expired leases.
    void tick();

private:
    void updateWorker(Index worker, const WorkerReport &report);
    void visitTasks(Index worker, const WorkerReport &report);

    Model *m_model;
    TaskLifecycle *m_lifecycle;
    Index m_sweepCursor = 0;
};

} // namespace acaciafork::batch
