#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/jobs/BackfillThrottle.h"
#include "acaciafork/decisions/jobs/Commands.h"
#include "acaciafork/decisions/jobs/JobTable.h"
#include "acaciafork/decisions/jobs/Placer.h"
#include "acaciafork/decisions/jobs/StepOrder.h"
#include "acaciafork/decisions/jobs/TailInterference.h"
#include "acaciafork/decisions/jobs/WorkerTable.h"

namespace acaciafork::jobs {

/// Times of the scheduler.
struct JobSchedulerSettings
{
    /// Lease given to a worker with each order; the workers' own bound is 6 s.
    Duration lease = std::chrono::milliseconds(4000);
    /// How long a renewal may wait for an end.
    Duration renewalWait = std::chrono::milliseconds(1500);
    /// The same where a serving task and a task that fills meet, so that their interference shows.
    Duration mixedRenewalWait = std::chrono::milliseconds(500);
    /// Pause before ends are confirmed to a worker that runs nothing.
    Duration idleAcknowledgeDelay = std::chrono::milliseconds(500);
    /// Longest wait for the answer to a start. Workers answer within milliseconds or not at all,
    /// and a start without an answer is stopped before its task goes elsewhere.
    Duration startTimeout = std::chrono::milliseconds(400);
    /// Pause before an unanswered renewal or stop is sent again.
    Duration retryDelay = std::chrono::milliseconds(200);
    /// Longest time that a worker takes for a stop; until then a run that it does not list may
    /// still be at work.
    Duration stopTimeout = std::chrono::milliseconds(400);
    /// How long ends may wait to be recorded together.
    Duration recordDelay = std::chrono::milliseconds(15);
    /// A worker that refused work for want of room or health is left alone this long.
    Duration avoidAfterRefusal = std::chrono::milliseconds(500);
    /// A worker whose runs keep failing is left alone this long.
    Duration avoidAfterFailures = std::chrono::seconds(3);
    /// A tail that has been over its target for this long pauses all that fills beside it: half of
    /// the time after which it counts as harm, since tails also swing with their own load.
    Duration maxTimeOverTarget = std::chrono::milliseconds(2000);
    /// A silent worker without a lease is forgotten after this long.
    Duration forgetAfter = std::chrono::seconds(8);
    /// A copy of a task begins when it takes this much longer, in percent, than the longest of its
    /// step, once half of them are done.
    std::int64_t copyAfterPercent = 150;
    /// Pause between two rounds of placement while work is left over that found no worker.
    Duration placementInterval = std::chrono::milliseconds(20);
    /// Steps without a worker that are passed over in one round of placement.
    std::size_t maxFailedPlacements = 48;
    /// Most questions to the advisor at a time; it works on one.
    std::size_t maxPermitRequests = 2;
    /// Wait for an answer of the advisor beyond what it takes to decide.
    Duration advisorTimeoutMargin = std::chrono::seconds(1);
    PlacerSettings placer;
    BackfillThrottleSettings tails;
};

/// What the scheduler counts for metrics.
struct JobSchedulerCounts
{
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t lost = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t refused = 0;
    std::uint64_t copies = 0;
};

/// Decides which task runs on which worker, renews leases, and follows every run to its end. It
/// runs on the leader only; all it keeps is soft and is built anew by begin(). Pure: events come in
/// with their time, commands go out.
///
/// A task has at most one run that may be at work (two where copies are allowed). A run is over
/// when its worker lists its end, does not list it after a confirmed stop, has left or been reborn,
/// or when every lease that the worker may hold has surely run out.
class JobScheduler
{
public:
    explicit JobScheduler(const JobSchedulerSettings &settings = {});

    /// @name Tenure
    /// @{
    /// A tenure begins, with the replicated state as it is now.
    void begin(Moment at, Tenure tenure, std::span<const QueueSpec> queues,
               std::span<const JobView> jobs, std::span<const WorkerLife> workers,
               std::span<const InterferenceEstimate> estimates = {});
    /// The tenure is over; nothing is remembered.
    void end();
    /// A worker has obeyed a later leader: this one must give no more orders.
    [[nodiscard]] bool isFenced() const { return m_isFenced; }
    /// @}

    /// @name Replicated state, after it has changed
    /// @{
    void queuesChanged(std::span<const QueueSpec> queues);
    void jobAccepted(Moment at, const JobView &job);
    void jobCancelled(Moment at, JobId job);
    void endsRecorded(Moment at, std::uint64_t batch);
    void workersRecorded(Moment at, std::span<const WorkerName> names);
    /// @}

    /// @name Workers
    /// @{
    void workerReported(Moment at, const WorkerReport &report);
    void workerLeft(Moment at, const WorkerName &name, Incarnation born);
    void startAnswered(Moment at, WorkerId worker, const RunKey &run, OrderOutcome outcome);
    void stopAnswered(Moment at, WorkerId worker, const RunKey &run, OrderOutcome outcome);
    /// @param[in] answer null unless the outcome is Done
    void renewalAnswered(Moment at, WorkerId worker, bool wasImmediate, OrderOutcome outcome,
                         const RenewalAnswer *answer);
    /// @}

    /// The advisor has answered a question, or has not.
    /// @param[in] good workers that are allowed, with their permits; null when it has not answered
    void permitsAnswered(Moment at, const TaskKey &step,
                         const std::vector<std::pair<WorkerName, std::string>> *allowed,
                         Duration validity);

    /// Time has passed; every 10 ms.
    void tick(Moment at);
    /// Places what can be placed and hands out everything to be done; once a turn.
    Commands takeCommands(Moment at);

    /// @name Views
    /// @{
    /// Jobs of a queue none of whose tasks has begun.
    [[nodiscard]] std::uint32_t pending(const std::string &queue) const;
    [[nodiscard]] const JobTable &jobs() const { return m_jobs; }
    [[nodiscard]] const WorkerTable &workers() const { return m_workers; }
    [[nodiscard]] const JobSchedulerCounts &counts() const { return m_counts; }
    /// True while it waits to learn what earlier leaders have begun.
    [[nodiscard]] bool isTakingOver() const { return m_isTakingOver; }
    /// @}

private:
    /// Ends that are on their way into the replicated state.
    struct Batch
    {
        /// By worker, the life that the ends are of and the last of them.
        std::vector<std::tuple<WorkerId, Incarnation, std::uint64_t>> cursors;
    };
    /// An occurrence that waits for its time.
    struct ScheduledOccurrence
    {
        JobId job;
        std::uint32_t occurrence = 0;
    };

    [[nodiscard]] const QueueSpec &queueOf(const QueueSpec &accepted) const;
    [[nodiscard]] static OrderTarget targetOf(const Worker &worker);
    void note(std::string_view event, const RunKey &run, const Worker *worker, std::string detail);

    void addJob(Moment at, const JobView &view, bool isInherited);
    void deferUntilDue(Moment at, Job *job);
    void enqueueReadySteps(Timestamp now, Job *job, std::uint32_t occurrence);
    void makeReady(Timestamp now, Step *step);
    void requeue(Timestamp now, TaskRef task);
    void endJob(Timestamp now, Job *job, JobPhase phase);
    void removeIfFinished(Job *job);

    [[nodiscard]] RunNumber nextRunNumber(const Task &task) const;
    void startRun(Timestamp now, TaskRef task, Worker *worker, RunNumber number);
    bool adoptRun(Timestamp now, TaskRef task, const RunningRow &row, Worker *worker);
    /// Run that an answer of a worker is about; none when it is over here.
    RunRef findAnswered(WorkerId id, const RunKey &run, OrderOutcome outcome);
    void requestStop(Timestamp now, const RunRef &run, std::string_view reason);
    void releaseRun(const RunRef &run);
    [[nodiscard]] static RunRef findRun(TaskRef task, RunNumber number);

    void handleRunEnd(Timestamp now, Worker *worker, const EndedRow &row);
    void taskDone(Timestamp now, TaskRef task, RunNumber run, Worker *worker);
    void markDone(Timestamp now, TaskRef task, RunNumber run, Worker *worker);
    void dropFromReady(TaskRef task);
    void taskFailed(Timestamp now, TaskRef task, RunNumber run, Worker *worker);
    void reconcileRunning(Timestamp now, Worker *worker, const RenewalAnswer &answer);
    void releaseUnlisted(Timestamp now, Worker *worker, const RenewalAnswer &answer);
    void markRunsLost(Timestamp now, Worker *worker, std::string_view reason);
    void replaceIncarnation(Timestamp now, Worker *worker, const WorkerLife &life);
    void recordWorker(Worker *worker);
    void recordEnd(Timestamp now, const RunKey &run, bool failed, Worker *worker);
    void flushEnds(Timestamp now);

    void renewIfDue(Timestamp now, Worker *worker);
    void sendRenewal(Timestamp now, Worker *worker, Duration wait, bool isImmediate = false);
    void checkExpiredLeases(Timestamp now);
    void checkTakeover(Timestamp now);
    void startDueOccurrences(Moment at);
    void logSummary(Timestamp now);
    void recordInterference(Timestamp now);
    void startSpeculativeCopies(Timestamp now);
    void throttleBackfill(Timestamp now, Worker *worker);
    void readTails(Timestamp now, Worker *worker, std::vector<TailReading> *tails);
    bool pauseIfOverTarget(Timestamp now, Worker *worker);
    [[nodiscard]] bool isHarmless(const Worker &worker, const RunRef &run,
                                  std::span<const TailReading> tails) const;
    bool evictInterferingTasks(Timestamp now, Worker *worker, std::span<const TailReading> tails);
    void moveLongRunningTasks(Timestamp now, Worker *worker);
    bool place(Timestamp now);
    bool placeStep(Timestamp now, Step *step);
    bool placeGang(Timestamp now, Step *step, const RackName *rack);
    void requestPermits(Timestamp now, Step *step);
    void stopGang(Timestamp now, Step *step, std::string_view reason);

    JobSchedulerSettings m_settings;
    Placer m_placer;
    BackfillThrottle m_throttle;
    TailInterference m_interference;
    Tenure m_tenure;
    bool m_isFenced = false;
    bool m_isTakingOver = false;
    std::map<std::string, QueueSpec> m_queues;
    JobTable m_jobs;
    WorkerTable m_workers;
    StepOrder m_order;
    /// Occurrences by their time on the wall clock.
    std::multimap<std::int64_t, ScheduledOccurrence> m_scheduledOccurrences;
    /// Questions to the advisor that are on their way.
    std::size_t m_permitRequestsInFlight = 0;
    bool m_placementDue = false;
    Timestamp m_nextPlacement;

    std::vector<TaskEnd> m_ends;
    std::vector<JobId> m_failedJobs;
    std::map<std::uint64_t, Batch> m_batches;
    std::uint64_t m_lastBatch = 0;
    Timestamp m_oldestEndAt;
    bool m_flushEndsNow = false;

    /// Jobs that are over and run nothing any more.
    std::vector<JobId> m_finishedJobs;
    std::vector<WorkerLife> m_changedWorkers;
    std::vector<WorkerName> m_removedWorkers;
    Timestamp m_nextSlowCheck;
    Timestamp m_nextSummary;
    Timestamp m_nextInterferenceRecord;
    JobSchedulerCounts m_counts;
    Commands m_commands;
};

} // namespace acaciafork::jobs
