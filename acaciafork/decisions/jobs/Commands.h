#pragma once

#include <string>
#include <variant>
#include <vector>

#include "acaciafork/decisions/jobs/TailInterference.h"
#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// Where an order goes: the worker, in the life that it is meant for.
struct OrderTarget
{
    WorkerId worker;
    WorkerName name;
    Incarnation born;
    std::string address;
};

/// Starts a run. JobScheduler::startAnswered() follows.
struct StartRun
{
    OrderTarget target;
    RunKey run;
    /// End of the worker's lease, on its own clock.
    std::int64_t leaseEndMs = 0;
    /// Where the task goes on from; empty for its beginning.
    std::string checkpoint;
    /// What the worker wants to see of the queue's policy; empty for none.
    std::string permit;
    /// Why this worker, for the log: free millicores and memory there before the start.
    Size freeBefore;
    /// How long the task had been ready.
    Duration waited {};
    /// Without an answer by then the start counts as unanswered.
    Duration timeout {};
};

/// Stops a run. JobScheduler::stopAnswered() follows.
struct StopRun
{
    OrderTarget target;
    RunKey run;
    std::string_view reason;
};

/// Sets the share at which a run works. JobScheduler::paceAnswered() follows.
struct PaceRun
{
    OrderTarget target;
    RunKey run;
    std::int64_t percent = 100;
};

/// Renews a worker's lease and asks for its lists. JobScheduler::renewalAnswered() follows.
struct RenewWorkerLease
{
    OrderTarget target;
    /// Ends up to this number are recorded and may be forgotten.
    std::uint64_t recordedEnds = 0;
    /// End of the lease on the worker's clock; 0 leaves it as it is.
    std::int64_t leaseEndMs = 0;
    /// How long the worker may wait for an end before it answers.
    Duration wait {};
    /// Sent beside a renewal that waits; the answer names it again.
    bool isImmediate = false;
};

/// Asks the advisor which workers may run a step. JobScheduler::permitsAnswered() follows.
struct RequestPermits
{
    /// The step, by its first task.
    TaskKey step;
    std::vector<WorkerName> workers;
    /// Without an answer by then the question counts as unanswered.
    Duration timeout {};
};

/// Durable record of how a task ended.
struct TaskEnd
{
    TaskKey task;
    RunNumber run;
    bool failed = false;
};

/// Records ends in the replicated state. JobScheduler::endsRecorded() follows once committed.
struct RecordEnds
{
    std::uint64_t batch = 0;
    std::vector<TaskEnd> ends;
    std::vector<JobId> failedJobs;
};

/// Records workers in the replicated state. JobScheduler::workersRecorded() follows.
struct RecordWorkers
{
    std::vector<WorkerLife> put;
    std::vector<WorkerName> removed;
};

/// Records what has been learnt of images in the replicated state.
struct RecordDisturbance
{
    std::vector<InterferenceEstimate> pairs;
};

/// A job is over, for the log and the metrics.
struct JobEnded
{
    JobId job;
    /// "completed", "failed" or "cancelled".
    std::string_view outcome;
    /// Time since it was accepted, and what its objective was.
    Duration age {};
    Duration objective {};
};

/// A decision or a change of belief that is worth a line of the log.
struct LogEvent
{
    /// Stable name, such as "run-ended".
    std::string_view event;
    TaskKey task;
    RunNumber run;
    WorkerName worker;
    /// Further `key=value` words.
    std::string detail;
};

/// What the scheduler wants done, in order.
using Command = std::variant<StartRun, StopRun, PaceRun, RenewWorkerLease, RequestPermits,
                             RecordEnds, RecordWorkers, RecordDisturbance, JobEnded, LogEvent>;
using Commands = std::vector<Command>;

} // namespace acaciafork::jobs
