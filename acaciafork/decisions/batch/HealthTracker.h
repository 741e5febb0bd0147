#pragma once

#include <array>
#include <vector>

#include "acaciafork/decisions/batch/Model.h"

namespace acaciafork::batch {

/// How a failed attempt is recorded.
struct FailureVerdict
{
    /// It counts against the job.
    bool counted = true;
    /// The job has failed permanently.
    bool last = false;
};

/// Decides whether a failure is the fault of the worker or of the job. A worker is at fault when
/// several different jobs fail on it in a row and their families succeed elsewhere. A job is at
/// fault when it fails on different workers. Workers at fault are quarantined and then probed with
/// one job at a time.
class HealthTracker
{
public:
    explicit HealthTracker(Model *model);

    /// Called when a job has failed on its worker.
    FailureVerdict onFailure(Index task, TaskFailureCause cause);
    /// Called when a job has finished on its worker.
    void onSuccess(Index task);
    /// Called when a lease has ended without an outcome.
    void onStopped(Index task);

    /// Returns a quarantined worker with room for `size` whose probe is due, or noIndex.
    [[nodiscard]] Index findWorkerToProbe(const Task &task, const Resources &size) const;
    /// Called when a task is leased as a probe to a worker that findWorkerToProbe() returned.
    void onProbeLeased(Index worker, Index task);

private:
    /// Recent outcomes of the jobs of one family.
    struct Family
    {
        float finished = 0;
        float failed = 0;
        /// Different workers on which they failed, latest first.
        std::array<Index, 3> failedWorkers { noIndex, noIndex, noIndex };
    };

    Family &family(Index index);
    /// True when jobs of this family fail more often than they finish and have failed on several
    /// different workers.
    [[nodiscard]] bool failsAcrossWorkers(Index family) const;
    void recordWorkerFailure(Index worker, Index task);
    void quarantine(Index worker);

    Model *m_model;
    std::vector<Family> m_families;
    std::vector<Index> m_quarantined;
};

} // namespace acaciafork::batch
