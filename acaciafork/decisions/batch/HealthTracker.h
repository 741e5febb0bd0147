#pragma once

#include <array>
#include <vector>

#include "acaciafork/decisions/batch/Model.h"

namespace acaciafork::batch {

/// What to record about a failed attempt.
struct FailureVerdict
{
    /// It counts against the job.
    bool counted = true;
    /// The job has failed for good.
    bool last = false;
};

/// Tells bad workers from bad jobs: a worker is at fault when different jobs fail there in a row
/// whose families succeed elsewhere; a job is at fault when it fails at different workers. Workers
/// at fault are quarantined, and probed with one job at a time.
class HealthTracker
{
public:
    explicit HealthTracker(Model *model);

    /// A job failed at its worker.
    FailureVerdict onFailure(Index task, TaskFailureCause cause);
    /// A job finished at its worker.
    void onSuccess(Index task);
    /// A lease ended without an outcome.
    void onStopped(Index task);

    /// A quarantined worker with room for `size` whose probe is due, or noIndex.
    [[nodiscard]] Index findWorkerToProbe(const Task &task, const Resources &size) const;
    /// A task is leased to a worker that findWorkerToProbe() gave.
    void onProbeLeased(Index worker, Index task);

private:
    /// How the jobs of one family fared of late.
    struct Family
    {
        float finished = 0;
        float failed = 0;
        /// Different workers at which they failed, latest first.
        std::array<Index, 3> failedWorkers { noIndex, noIndex, noIndex };
    };

    Family &family(Index index);
    /// True when jobs of this family fail on different workers, mostly.
    [[nodiscard]] bool failsAcrossWorkers(Index family) const;
    void recordWorkerFailure(Index worker, Index task);
    void quarantine(Index worker);

    Model *m_model;
    std::vector<Family> m_families;
    std::vector<Index> m_quarantined;
};

} // namespace acaciafork::batch
