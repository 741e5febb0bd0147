#pragma once

#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

/// Takes in workers' reports, renews their leases, and notices workers that fall silent.
class WorkerReports
{
public:
    WorkerReports(Model *model, TaskLifecycle *lifecycle);

    /// Takes one report; an older one than the latest taken is dropped.
    void onReport(const WorkerReport &report);
    /// Looks at a bounded number of workers for silence and expired leases.
    void tick();

private:
    void updateWorker(Index worker, const WorkerReport &report);
    void visitTasks(Index worker, const WorkerReport &report);

    Model *m_model;
    TaskLifecycle *m_lifecycle;
    Index m_sweepCursor = 0;
};

} // namespace acaciafork::batch
