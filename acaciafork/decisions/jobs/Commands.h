#pragma once

#include <string>
#include <variant>
#include <vector>

#include "acaciafork/decisions/jobs/TailInterference.h"
#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// Destination of an order: one incarnation of a worker.
struct OrderTarget
{
    WorkerId worker;
    WorkerName name;
    Incarnation born;
    std::string address;
    std::string zone;
    /// Counts the incarnations of the worker that the leader has come to know, from 0 in each
    /// tenure. Part of the fencing token, see orderToken().
    std::uint32_t life = 0;
    /// Number of the order where another control member carries it; its answer repeats it.
    std::uint64_t order = 0;
};

/// Number of fencing tokens of each tenure.
inline constexpr std::uint64_t livesPerTenure = 1U << 20U;

/// Fencing token of an order. It rises with each tenure and with each incarnation of the worker:
/// once an incarnation has seen its own, it refuses what was meant for an earlier one, which is
/// addressed by the same name.
std::uint64_t orderToken(Tenure tenure, const OrderTarget &target);

/// Starts a run. The answer goes to JobScheduler::startAnswered().
///
/// A new leader takes a task for idle unless the record names a worker for it. So the order is sent
/// only once its exposure is committed, after JobScheduler::confirmStart() has allowed it.
struct StartRun
{
    OrderTarget target;
    RunKey run;
    /// End of the worker's lease, on the worker's clock.
    std::int64_t leaseEndMs = 0;
    /// Checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
    /// Permit that the worker requires under the queue's policy; empty for none.
    std::string permit;
    /// Free millicores and memory on the worker before the start; for the log.
    Size freeBefore;
    /// How long the task was ready before it was placed.
    Duration waited {};
    /// How long its job had no run before, by its caller's clock; zero while it has others.
    Duration jobIdle {};
    /// Image of the step; for the log.
    std::string image;
    /// The start counts as unanswered after this time.
    Duration timeout {};
    /// RecordExposures::batch that has to be committed before; 0 for none.
    std::uint64_t recordedBy = 0;
};

/// Stops a run. The answer goes to JobScheduler::stopAnswered().
struct StopRun
{
    OrderTarget target;
    RunKey run;
    std::string_view reason;
};

/// Sets the share of its processor time that a run may use. The scheduler gets no answer.
struct PaceRun
{
    OrderTarget target;
    RunKey run;
    std::int64_t percent = 100;
};

/// Renews a worker's lease and requests its lists of running and ended runs. The answer goes to
/// JobScheduler::renewalAnswered().
struct RenewWorkerLease
{
    OrderTarget target;
    /// Run ends up to this number are recorded; the worker may forget them.
    std::uint64_t recordedEnds = 0;
    /// End of the lease on the worker's clock; 0 leaves the lease unchanged.
    std::int64_t leaseEndMs = 0;
    /// How long the worker may wait for a run to end before it answers.
    Duration wait {};
    /// Sent while a long-polling renewal is in flight; the answer repeats this flag.
    bool isImmediate = false;
};

/// Asks the advisor which workers may run a step. The answer goes to
/// JobScheduler::permitsAnswered().
struct RequestPermits
{
    /// First task of the step, which identifies the step.
    TaskKey step;
    std::vector<WorkerName> workers;
    /// The request counts as unanswered after this time.
    Duration timeout {};
};

/// Durable record of how a task ended.
struct TaskEnd
{
    TaskKey task;
    RunNumber run;
    bool failed = false;
};

/// Records run ends in the replicated state. JobScheduler::endsRecorded() is called once they are
/// committed.
struct RecordEnds
{
    std::uint64_t batch = 0;
    std::vector<TaskEnd> ends;
    std::vector<JobId> failedJobs;
};

/// What has happened to a run on a worker that may have crashed.
enum class ExposureChange : std::uint8_t {
    Opened, ///< the run is about to begin
    Crashed, ///< the worker has crashed
    Cleared, ///< the run has ended, and its worker had not crashed
    Survived, ///< the trial has passed: earlier crashes no longer speak against the task
    Over, ///< the run is over; whether its worker has crashed is not known
};

/// Durable record of the exposure of one task.
struct ExposureRecord
{
    TaskKey task;
    ExposureChange change = ExposureChange::Opened;
    CrashExposure exposure;
};

/// Records crash exposures in the replicated state. JobScheduler::exposuresRecorded() is called
/// once they are committed, and then the starts that wait for them are sent.
struct RecordExposures
{
    std::uint64_t batch = 0;
    std::vector<ExposureRecord> records;
};

/// Records workers in the replicated state. JobScheduler::workersRecorded() is called once they are
/// committed.
struct RecordWorkers
{
    std::vector<WorkerLife> put;
    std::vector<WorkerName> removed;
};

/// Records the estimates of interference between images in the replicated state.
struct RecordDisturbance
{
    std::vector<InterferenceEstimate> pairs;
};

/// Reports that a job has ended, for the log and the metrics.
struct JobEnded
{
    JobId job;
    /// "completed", "failed" or "cancelled".
    std::string_view outcome;
    /// Time since the job was accepted, and its objective.
    Duration age {};
    Duration objective {};
};

/// Decision or change of assumed state to be logged.
struct LogEvent
{
    /// Stable event name, such as "run-ended".
    std::string_view event;
    TaskKey task;
    RunNumber run;
    WorkerName worker;
    /// Additional `key=value` pairs.
    std::string detail;
};

/// Commands of the scheduler, to be carried out in order.
using Command =
        std::variant<StartRun, StopRun, PaceRun, RenewWorkerLease, RequestPermits, RecordEnds,
                     RecordExposures, RecordWorkers, RecordDisturbance, JobEnded, LogEvent>;
using Commands = std::vector<Command>;

} // namespace acaciafork::jobs
