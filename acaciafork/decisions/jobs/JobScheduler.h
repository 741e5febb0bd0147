#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/jobs/BackfillDemand.h"
#include "acaciafork/decisions/jobs/BackfillThrottle.h"
#include "acaciafork/decisions/jobs/ClosedZones.h"
#include "acaciafork/decisions/jobs/Commands.h"
#include "acaciafork/decisions/jobs/CrashRate.h"
#include "acaciafork/decisions/jobs/DurationModel.h"
#include "acaciafork/decisions/jobs/GapPlanner.h"
#include "acaciafork/decisions/jobs/JobTable.h"
#include "acaciafork/decisions/jobs/OccurrenceQueue.h"
#include "acaciafork/decisions/jobs/OverdueStarts.h"
#include "acaciafork/decisions/jobs/PairExploration.h"
#include "acaciafork/decisions/jobs/PlacementRound.h"
#include "acaciafork/decisions/jobs/Placer.h"
#include "acaciafork/decisions/jobs/ServingRelocation.h"
#include "acaciafork/decisions/jobs/StepOrder.h"
#include "acaciafork/decisions/jobs/TailInterference.h"
#include "acaciafork/decisions/jobs/TurnQueue.h"
#include "acaciafork/decisions/jobs/WorkerTable.h"

namespace acaciafork::jobs {

/// Settings of the scheduler.
struct JobSchedulerSettings
{
    /// Lease granted to a worker with each order; the workers' own limit is 6 s.
    Duration lease = std::chrono::milliseconds(4000);
    /// Longest lease that a worker accepts; longer ones are shortened to it. Fixed by the worker
    /// interface.
    Duration maxLease = std::chrono::seconds(6);
    /// Longest time after which an order that got no answer may still be carried out, also by a
    /// later incarnation of its worker. Bounds the take-over: what earlier leaders ordered runs for
    /// no longer than this and maxLease after the tenure began.
    Duration maxOrderDelay = std::chrono::seconds(12);
    /// A new leader starts nothing that it has inherited until all workers have answered, for at
    /// most this long. From then on, only those tasks wait that a silent worker may be running.
    Duration listTimeout = std::chrono::milliseconds(300);
    /// How long a worker may wait for a run to end before it answers a renewal.
    Duration renewalWait = std::chrono::milliseconds(1500);
    /// The same on workers that run both serving and backfill tasks; shorter, so that interference
    /// is noticed sooner.
    Duration mixedRenewalWait = std::chrono::milliseconds(500);
    /// Delay before run ends are acknowledged to a worker that runs nothing.
    Duration idleAcknowledgeDelay = std::chrono::milliseconds(500);
    /// Time limit for the answer to a start. Workers answer within milliseconds or not at all, and
    /// an unanswered start has to be stopped before its task can run elsewhere.
    Duration startTimeout = std::chrono::milliseconds(400);
    /// Delay before an unanswered renewal or stop is sent again.
    Duration retryDelay = std::chrono::milliseconds(200);
    /// Maximum time that a worker takes to stop a run. Until then, a run missing from its list may
    /// still be active.
    Duration stopTimeout = std::chrono::milliseconds(400);
    /// How long run ends may wait to be recorded in one batch.
    Duration recordDelay = std::chrono::milliseconds(15);
    /// A start whose record takes longer than this is abandoned, and nothing else starts until the
    /// record is committed.
    Duration startRecordTimeout = std::chrono::seconds(2);
    /// How long a worker gets no new work after it refused a start or left it unanswered. Doubles
    /// with each further start that fails, up to the limit: such a worker is emptier than others
    /// and would be the first choice each time.
    Duration avoidAfterRefusal = std::chrono::milliseconds(500);
    Duration maxAvoidAfterRefusal = std::chrono::seconds(2);
    /// How long a worker gets no new work after repeated failures of its runs.
    Duration avoidAfterFailures = std::chrono::seconds(3);
    /// Backfill tasks are paused once a tail latency beside them has exceeded its target for this
    /// long. Half of the time after which it counts as harm, since tail latencies also vary with
    /// their own load.
    Duration maxTimeOverTarget = std::chrono::milliseconds(2000);
    /// A backfill task that has been paused for this long is stopped, to go on elsewhere.
    Duration maxPause = std::chrono::seconds(5);
    /// A worker that ends is asked to wait this long for its runs to be stopped.
    Duration leaveTimeout = std::chrono::milliseconds(600);
    /// A worker without a valid lease is forgotten after this time of silence.
    Duration forgetAfter = std::chrono::seconds(8);
    /// The same for a worker with exposed runs: its return will show whether it has crashed.
    Duration forgetExposedAfter = std::chrono::seconds(15);
    /// A speculative copy of a task starts when the task has run longer than this percentage of the
    /// longest finished task of its step, once half of the step is done.
    std::int64_t copyAfterPercent = 150;
    /// Interval between placement rounds while some tasks have no worker.
    Duration placementInterval = std::chrono::milliseconds(20);
    /// A placement round ends after this many steps that could not be placed.
    std::size_t maxFailedPlacements = 48;
    /// A step with waiting tasks is overdue when none of its tasks has started for this long and no
    /// task of its job runs; for long-running tasks, whether others run or not. It is tried apart
    /// from the placement rounds, which may end before they reach it. A job that could run counts
    /// as lost to its caller after 3 s without any run.
    Duration overdueAfter = std::chrono::milliseconds(1800);
    /// A long-running task that has lost its run comes before all others, wherever it fits, once it
    /// has been without one for this long. Until then short tasks come first, as they do before
    /// those that have had no run yet: these ask for capacity that they have not held.
    Duration urgentAfter = std::chrono::milliseconds(500);
    /// Maximum number of overdue steps tried in one check.
    std::size_t maxOverdueTries = 16;
    /// Maximum number of requests to the advisor in flight; it processes one at a time.
    std::size_t maxPermitRequests = 2;
    /// Time allowed for an answer of the advisor in addition to its decision time.
    Duration advisorTimeoutMargin = std::chrono::seconds(1);
    /// Limits how many backfill tasks start beside serving tasks with which their image has not
    /// been observed.
    bool cautiousBackfill = false;
    /// Starts the later steps of inherited jobs during a take-over where a list of runs shows that
    /// no earlier leader can have started them.
    bool promptTakeOver = false;
    /// Keeps room for large tasks that wait, by what will end soon.
    bool lookAhead = false;
    /// Corrects estimated durations by those of finished tasks.
    bool learnDurations = false;
    JobMemorySettings memory;
    TurnSettings turns;
    PlacerSettings placer;
    BackfillThrottleSettings throttle;
    CrashSettings crashes;
};

/// Counters of the scheduler, for metrics.
struct JobSchedulerCounts
{
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t lost = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t refused = 0;
    std::uint64_t copies = 0;
    /// Workers that ended without notice, and the most runs of one task that were lost with their
    /// workers.
    std::uint64_t workerCrashes = 0;
    std::uint32_t mostLostRuns = 0;
    /// Trials of suspected tasks, and tasks given up since they crash their workers.
    std::uint64_t trials = 0;
    std::uint64_t convictedTasks = 0;
    /// Backfill tasks that started as the first of a pair of images that is not known, starts that
    /// were seen to interfere, and tasks that were held back from such a start.
    std::uint64_t exploringStarts = 0;
    std::uint64_t harmfulStarts = 0;
    std::uint64_t heldBackStarts = 0;
    /// Workers kept for a large task now, and the kept gaps that were used or given up.
    std::size_t gapsKept = 0;
    std::uint64_t gapsUsed = 0;
    std::uint64_t gapsGivenUp = 0;
    /// Serving tasks that were stopped to be moved, and workers that are open to blocked backfill
    /// images now.
    std::uint64_t relocations = 0;
    std::size_t openWorkers = 0;
    /// Longest time for which tasks of a step have waited without any start, and the number of
    /// steps that have waited for long; as of the last summary.
    Duration longestWait {};
    std::size_t blockedSteps = 0;
    /// Longest time for which a task whose turn has come has no confirmed run, whatever it waits
    /// for, and the number of tasks that nothing will start; as of the last summary.
    Duration longestTaskWait {};
    std::size_t astrayTasks = 0;
    /// The same for long-running tasks alone, and how many of them have waited for long; as of the
    /// last summary.
    Duration longestLongRunningWait {};
    std::size_t waitingLongRunning = 0;
    /// Starts of other tasks on a worker with room for two of a long-running step that was overdue.
    std::uint64_t passedOver = 0;
};

/// Assigns tasks to workers, renews leases, and tracks every run to its end. Runs on the leader
/// only; all its state is volatile and is rebuilt by begin(). It does no I/O: events are passed in
/// with their time, and commands are returned.
///
/// A task has at most one run that may be active, or two where speculative copies are allowed. A
/// run is over when its worker lists its end, does not list it after a confirmed stop, has left or
/// restarted, or when every lease that the worker may hold has certainly expired.
class JobScheduler
{
public:
    explicit JobScheduler(const JobSchedulerSettings &settings = {});

    /// @name Tenure
    /// @{
    /// Begins a tenure with the current replicated state.
    void begin(Moment at, Tenure tenure, std::span<const QueueSpec> queues,
               std::span<const JobView> jobs, std::span<const WorkerLife> workers,
               std::span<const InterferenceEstimate> estimates = {},
               std::span<const std::string> closedZones = {});
    /// Ends the tenure and discards the state of jobs and workers.
    void end();
    /// True when a worker has accepted orders of a later leader: this scheduler must give no more
    /// orders.
    [[nodiscard]] bool isFenced() const { return m_isFenced; }
    /// @}

    /// @name Changes of the replicated state
    /// @{
    /// From now on, each job goes by the definition that its queue has here. What runs or is
    /// ordered stays where it is; what was decided and not taken yet is withdrawn where its pool
    /// has changed. Jobs of a queue that is not defined any more keep its last definition.
    void queuesChanged(Moment at, std::span<const QueueSpec> queues);
    void jobAccepted(Moment at, const JobView &job);
    void jobCancelled(Moment at, JobId job);
    void endsRecorded(Moment at, std::uint64_t batch);
    void exposuresRecorded(Moment at, std::uint64_t batch);
    /// The exposure of a start is recorded. Its lease begins now; a start that must not be ordered
    /// is taken back.
    /// @return true when the order is to be sent
    [[nodiscard]] bool confirmStart(Moment at, StartRun *start);
    void workersRecorded(Moment at, std::span<const WorkerName> names);
    /// From now on nothing starts in the given zones, also of what was decided and not taken yet.
    void zonesChanged(Moment at, std::span<const std::string> closed);
    /// @}

    /// @name Workers
    /// @{
    void workerReported(Moment at, const WorkerReport &report);
    /// A worker has said that it ends. It may work on until it is told that it may, and for seconds
    /// after that. So its runs are stopped, and their tasks wait for the ends that it lists, or for
    /// the end of its lease.
    /// @return true when the worker may end now; else it may once isLeaving() is false
    bool workerLeft(Moment at, const WorkerName &name, Incarnation born);
    /// True while a worker that has said that it ends should wait for its runs to be stopped.
    [[nodiscard]] bool isLeaving(Timestamp now, const WorkerName &name) const;
    void startAnswered(Moment at, WorkerId worker, const RunKey &run, OrderOutcome outcome);
    void stopAnswered(Moment at, WorkerId worker, const RunKey &run, OrderOutcome outcome);
    /// @param[in] answer null unless the outcome is Done
    void renewalAnswered(Moment at, WorkerId worker, bool wasImmediate, OrderOutcome outcome,
                         const RenewalAnswer *answer);
    /// @}

    /// Handles the answer of the advisor to a request, or the lack of an answer.
    /// @param[in] allowed allowed workers with their permits; null when the advisor did not answer
    /// @param[in] validity how long the permits hold; zero when the answer does not say
    void permitsAnswered(Moment at, const TaskKey &step,
                         const std::vector<std::pair<WorkerName, std::string>> *allowed,
                         Duration validity);

    /// Advances time; called every 10 ms.
    void tick(Moment at);
    /// Places ready tasks and returns all pending commands; called once per turn of the event loop.
    Commands takeCommands(Moment at);

    /// @name Views
    /// @{
    /// True for an order to an incarnation of the worker before the known one, or to a worker that
    /// was removed. Answers to such a renewal are dropped, and a fence that refused such an order
    /// isn't a later leader's.
    [[nodiscard]] bool isEarlierLife(WorkerId worker, std::uint32_t life) const;
    /// True when all tasks that a job has left run, or when its end is being recorded.
    /// @param[in] job accepted, and active in the replicated state
    [[nodiscard]] bool isAboutToEnd(JobId job) const;
    /// Memory of the jobs; submissions in progress are registered there.
    [[nodiscard]] JobMemory &memory() { return m_jobs.memory(); }
    /// Number of jobs of a queue that have not started any task.
    [[nodiscard]] std::uint32_t pending(const std::string &queue) const;
    [[nodiscard]] const JobTable &jobs() const { return m_jobs; }
    [[nodiscard]] const WorkerTable &workers() const { return m_workers; }
    [[nodiscard]] const ClosedZones &closedZones() const { return m_closedZones; }
    [[nodiscard]] const JobSchedulerCounts &counts() const { return m_counts; }
    /// True while the scheduler waits for the workers to report the runs that earlier leaders
    /// started.
    [[nodiscard]] bool isTakingOver() const { return m_isTakingOver; }
    /// @}

private:
    /// Run ends that are being written to the replicated state.
    struct Batch
    {
        /// For each worker: its incarnation and the number of its last run end in the batch.
        std::vector<std::tuple<WorkerId, Incarnation, std::uint64_t>> cursors;
        /// Exposures of failed runs, to be cleared once their ends are recorded: until then a new
        /// leader has to wait for the worker's list.
        std::vector<ExposureRecord> exposures;
        /// See JobMemory::held().
        std::size_t heldBytes = 0;
    };
    /// Trial whose start is ordered once it is recorded.
    struct PendingTrial
    {
        RunKey run;
        Size freeBefore;
    };
    /// Exposures that are being recorded, and the trials among them.
    struct ExposureBatch
    {
        Timestamp since;
        std::vector<PendingTrial> trials;
    };
    /// Suspected task that waits for a worker.
    struct WaitingSuspect
    {
        TaskKey task;
        Timestamp since;
        /// When a placement round last tried it.
        Timestamp triedAt;
    };
    /// Definition in force of a queue by its name, or else by its address: it may have been
    /// renamed. Null when there is none.
    [[nodiscard]] const QueueSpec *findQueue(const std::string &name,
                                             const std::string &address) const;
    void setQueues(std::span<const QueueSpec> queues);
    void updateUnguardedPools();
    /// Takes back the starts that were decided and not taken yet and for which `isObsolete`, which
    /// takes a StartRun, is true.
    template <typename Predicate>
    void withdrawStarts(Moment at, Predicate isObsolete);
    [[nodiscard]] static OrderTarget targetOf(const Worker &worker);
    void note(std::string_view event, const RunKey &run, const Worker *worker, std::string detail);

    void addJob(Moment at, const JobView &view, bool isInherited);
    /// Sets what the steps of an occurrence that was just opened need of this tenure.
    void prepare(Occurrence *occurrence);
    /// Task with that key, whose occurrence is opened if it is not: a worker has listed a run of
    /// it. None if there is no such task, or if its occurrence has ended.
    TaskRef findOrOpen(Timestamp now, const TaskKey &key);
    /// Opens the occurrences that are due, in turns, as far as there is memory for them and as
    /// m_openingsLeft allows.
    void openDueOccurrences(Moment at);
    /// Lets the tasks of an occurrence start.
    void becomeDue(Moment at, Occurrence *occurrence);
    void closeEndedOccurrences();
    /// Counts released memory as used until all ends so far are recorded.
    void holdUntilRecorded(std::size_t bytes);
    /// @param[in] since when the step's turn came, which may be before this tenure
    void makeReady(Timestamp now, Step *step, Timestamp since);
    void requeue(Timestamp now, TaskRef task);
    void endJob(Timestamp now, Job *job, JobPhase phase);
    void removeIfFinished(Job *job);

    [[nodiscard]] RunNumber nextRunNumber(const Task &task) const;
    void startRun(Timestamp now, TaskRef task, Worker *worker, RunNumber number,
                  PlacementMode mode = PlacementMode::Usual);
    /// Reserves a worker for a run.
    RunRef reserveRun(Timestamp now, TaskRef task, Worker *worker, RunNumber number,
                      PlacementMode mode);
    /// @param[in] recordedBy see StartRun
    void orderStart(Timestamp now, const RunRef &run, const Size &freeBefore,
                    std::uint64_t recordedBy);
    bool adoptRun(Timestamp now, TaskRef task, const RunningRow &row, Worker *worker);
    /// A start that the worker refused or left unanswered.
    void startFailed(Timestamp now, Worker *worker, const RunRef &run);
    void startConfirmed(Timestamp now, Worker *worker, const RunRef &run) const;
    /// A worker has shown that a run of the task has begun.
    static void noteRun(const TaskRef &task);
    /// Run that a worker's answer refers to; none when that run is already over.
    RunRef findAnswered(WorkerId id, const RunKey &run, OrderOutcome outcome);
    void requestStop(Timestamp now, const RunRef &run, std::string_view reason);
    /// Stops a run that could go on, unless that exceeds the disruption budget of its step.
    /// @return true when the stop is ordered; else it may be tried again
    bool stopByChoice(Timestamp now, const RunRef &run, std::string_view reason);
    void releaseRun(Timestamp now, const RunRef &run);
    [[nodiscard]] static RunRef findRun(TaskRef task, RunNumber number);

    void handleRunEnd(Timestamp now, Worker *worker, const EndedRow &row);
    /// Clears the exposure of a run that has ended, at the latest once its end is recorded.
    void clearEndedExposure(Timestamp now, TaskRef task, const EndedRow &row);
    void taskDone(Timestamp now, TaskRef task, RunNumber run, Worker *worker);
    void markDone(Timestamp now, TaskRef task, RunNumber run, Worker *worker);
    void dropFromReady(TaskRef task);
    void taskFailed(Timestamp now, TaskRef task, RunNumber run, Worker *worker);
    /// Ends the job of a task as failed.
    /// @param[in] worker on which the task ran last; null when that is not known
    void giveUpJob(Timestamp now, TaskRef task, const Worker *worker, std::string detail);
    /// True when the task has failed as often as its queue allows.
    [[nodiscard]] static bool hasUsedAttempts(const TaskRef &task);
    /// Gives up the job if one of its waiting tasks has used its attempts.
    void failIfExhausted(Timestamp now, Job *job);
    void reconcileRunning(Timestamp now, Worker *worker, const RenewalAnswer &answer);
    /// Lets nothing start on a worker until runs that are not in the table have had the time to
    /// stop.
    void awaitStrayRuns(Timestamp now, Worker *worker) const;
    /// The longest that a run is at work after its worker was told to stop it.
    [[nodiscard]] Duration longestStop() const;
    void releaseUnlisted(Timestamp now, Worker *worker, const RenewalAnswer &answer);
    /// True when a run is over of which neither the start nor a stop was answered: its worker does
    /// not list it, and its start has expired.
    bool isOverUnconfirmed(Timestamp now, Worker *worker, Run *run,
                           const RenewalAnswer &answer) const;
    /// Gives up the runs that an earlier incarnation has listed.
    void loseEarlierRuns(Timestamp now, Worker *worker);
    /// A run is over without an end.
    void loseUnlisted(Timestamp now, Worker *worker, const RunRef &run);
    void markRunsLost(Timestamp now, Worker *worker, std::string_view reason);
    void loseRun(Timestamp now, const Worker *worker, RunRef ref, std::string_view reason);
    /// The worker's incarnation has ended; that is a crash unless it had announced it.
    /// @param[in] evidence what shows it: "reborn" or "address"
    void workerEnded(Timestamp now, Worker *worker, std::string_view evidence);
    /// Keeps what is known of the worker as it falls silent.
    static void noteSilence(Timestamp now, Worker *worker);
    /// The worker's process is over and will not come back as the same worker.
    void retireWorker(Timestamp now, Worker *worker);
    /// Records that a run is about to begin, so that a later leader knows what a crash of its
    /// worker ended.
    void openExposure(Timestamp now, Worker *worker, const RunRef &run, bool isTrial);
    void clearExposure(Timestamp now, TaskRef task, RunNumber run);
    /// Records that a run whose worker may have crashed is over, unless its start may still come.
    void endExposure(Timestamp now, const RunRef &run);
    void markOver(Timestamp now, TaskRef task, RunNumber run);
    /// Clears the exposures of runs that a worker in touch no longer has.
    void clearOldExposures(Timestamp now, Worker *worker);
    /// True for a run that no list has shown: where its worker has crashed, the next incarnation
    /// may have carried out the order, or may do so.
    [[nodiscard]] static bool mayRunInNextLife(const RunRef &run);
    /// True for a run whose start is not confirmed: its order may still be on its way.
    [[nodiscard]] static bool mayStartLate(const RunRef &run);
    /// Takes back the exposure of a run that has not been ordered after all.
    void undoExposure(const RunRef &run);
    void recordExposure(Timestamp now, const TaskKey &task, ExposureChange change,
                        const CrashExposure &exposure);
    void flushExposures(Timestamp now);
    /// Counts a crash under the task and gives it up if it is convicted.
    void countCrash(Timestamp now, TaskRef task, const CrashExposure &exposure,
                    std::uint32_t blame);
    /// Probability of the crash of a worker during a trial if the task on trial has no part in it.
    [[nodiscard]] double ordinaryCrashProbability(const Worker &worker) const;
    /// Takes over the exposures that earlier leaders recorded.
    void restoreExposures(Timestamp now);

    void placeTrials(Timestamp now);
    /// @param[in] candidates see Placer::trialCandidates()
    bool placeTrial(Timestamp now, TaskRef task, Timestamp waitingSince,
                    std::span<const TrialCandidate> candidates);
    void beginTrial(Timestamp now, TaskRef task, Worker *worker, RunNumber number,
                    PlacementMode mode);
    /// True while a record of exposures has taken longer than startRecordTimeout.
    [[nodiscard]] bool isRecordOverdue(Timestamp now) const;
    /// Abandons the starts that wait for an overdue record, so that their workers are usable again.
    void abandonOverdueStarts(Timestamp now);
    /// Takes back a run that has not been ordered.
    void abandonStart(Timestamp now, const RunRef &run);
    /// True while nothing of the step may start, since not all workers have answered this leader.
    [[nodiscard]] bool awaitsTakeOver(const Step &step) const
    {
        return m_isTakingOver && step.mayRunUnseen;
    }
    /// Keeps workers for the trials that found none, until these begin, for a bounded time.
    void reserveForTrials(Timestamp now);
    /// True while a suspected task of the step waits for a worker.
    [[nodiscard]] static bool needsTrial(const Step &step);
    /// Isolation time: how long a worker must have started nothing before a trial of the task. It
    /// is the length of the trial, and the shortest length for an overdue task.
    /// @param[in] waited how long the task has waited for a trial
    [[nodiscard]] Duration isolationTime(const Task &task, Duration waited) const;
    /// Longest isolation time of the suspected tasks of the step.
    [[nodiscard]] Duration longestIsolation(const Step &step) const;
    void finishTrials(Timestamp now, Worker *worker, const RenewalAnswer &answer);
    [[nodiscard]] std::size_t trialsInProgress() const;
    void replaceIncarnation(Timestamp now, Worker *worker, const WorkerLife &life);
    void recordWorker(Worker *worker);
    /// True when a later worker is in touch at the address: the report was held up on its way.
    [[nodiscard]] bool isOutdated(Timestamp now, const WorkerLife &life) const;
    void recordEnd(Timestamp now, const RunKey &run, bool failed, Worker *worker);
    /// The worker's run ends count as recorded once the next batch is.
    void joinNextBatch(Worker *worker);
    /// The worker's run ends count as recorded once all that is being recorded now is: an end that
    /// needs no record of its own may repeat one that is in it.
    void joinOpenBatch(Worker *worker);
    void flushEnds(Timestamp now);

    void renewIfDue(Timestamp now, Worker *worker);
    void sendRenewal(Timestamp now, Worker *worker, Duration wait, bool isImmediate = false);
    void checkExpiredLeases(Timestamp now);
    void checkTakeover(Timestamp now);
    /// Notes for which tasks of an inherited job an earlier leader has ordered a run.
    void noteUnseenRuns(Job *job);
    /// True while an earlier leader's run of the task may be at work on a worker that has not
    /// answered.
    [[nodiscard]] bool mayRunUnseen(Timestamp now, const Task &task) const;
    /// Lets inherited tasks start, except those that a silent worker may be running.
    void admitInherited(Timestamp now);
    /// Lets those of the excepted tasks start that no worker can be running.
    void admitSeenTasks(Timestamp now);
    /// Records that the task's runs under earlier leaders are over, on workers whose leases have
    /// lapsed.
    void endLapsedExposures(Timestamp now, const TaskRef &task);
    /// @return base of the run numbers of this tenure
    [[nodiscard]] std::uint64_t firstRunNumber() const;
    /// Workers that may have runs of earlier leaders which this one has not seen.
    [[nodiscard]] std::vector<const Worker *> unseenWorkers(Timestamp now) const;
    void startDueOccurrences(Moment at);
    void logSummary(Timestamp now);
    void logBlockedSteps(Timestamp now);
    /// Processor time that backfill tasks use, and what keeps the images with the most waiting
    /// tasks from the workers.
    void logBackfill(Timestamp now);
    void logWaitingTasks(Timestamp now);
    void logLongRunningWaits(Timestamp now);
    /// How many workers each obstacle excludes for a task of the step.
    [[nodiscard]] std::string describeObstacles(Timestamp now, const Step &step) const;
    void logTakeover(Timestamp now);
    void logMemory();
    /// A worker has accepted orders of a later leader.
    void becomeFenced(const Worker *worker);
    void recordInterference(Timestamp now);
    void startSpeculativeCopies(Timestamp now);
    void throttleBackfill(Timestamp now, Worker *worker);
    void readTails(Timestamp now, Worker *worker, std::vector<TailReading> *tails);
    /// Updates since when the run's tail latency has exceeded its target.
    static void observeTarget(Timestamp now, std::int64_t targetMs, Run *run);
    bool pauseIfOverTarget(Timestamp now, Worker *worker);
    [[nodiscard]] bool isHarmless(const Worker &worker, const RunRef &run,
                                  std::span<const TailReading> tails) const;
    /// @return true when every task known to interfere is told to stop, and there are some
    bool evictInterferingTasks(Timestamp now, Worker *worker, std::span<const TailReading> tails);
    /// @name Cautious backfill
    /// @{
    /// Counts the start of a backfill task against the bound on exploratory starts.
    void explorePairs(Timestamp now, Worker *worker, const RunRef &run);
    /// A backfill run has ended or is told to stop: tail latencies beside it decay.
    void neighbourGone(Timestamp now, const Worker &worker, const Step &step);
    /// Counts the waiting tasks of a step for which no worker was found, once, if its image is
    /// being explored.
    void countHeldBack(Step *step);
    void throttleCautiously(Timestamp now, Worker *worker);
    void learnFromTail(Timestamp now, const Worker &worker, const RunRef &serving);
    void blameStart(Timestamp now, const Worker &worker, const RunRef &serving,
                    const RunRef &filling, double share);
    /// True when the run's image is not known beside an image served on the worker.
    [[nodiscard]] bool isUnknownBeside(const Worker &worker, const RunRef &filling) const;
    /// Highest share in percent at which the run is expected to keep the tail latencies safe.
    [[nodiscard]] std::int64_t allowedPercent(Timestamp now, const Worker &worker,
                                              const RunRef &filling) const;
    void limitHarmfulRuns(Timestamp now, Worker *worker);
    void raisePercent(Timestamp now, Worker *worker);
    /// @}
    /// True when a worker that has said that it ends surely runs nothing any more.
    [[nodiscard]] bool hasLeft(Timestamp now, const Worker &worker) const;
    void stopLeaving(Timestamp now, const Worker &worker);
    void removeLeft(Timestamp now, Worker *worker);
    /// Removes a worker from the table and from the record.
    void forget(const Worker &worker);
    /// Stops the long-running tasks of a draining worker; those that exceed their budget are tried
    /// again while it drains.
    void moveLongRunningTasks(Timestamp now, const Worker &worker);
    void checkDrainingWorkers(Timestamp now);
    bool place(Timestamp now);
    /// True when a serving run may be stopped now to run elsewhere.
    [[nodiscard]] static bool mayRelocate(Timestamp now, const Worker &worker, const RunRef &run);
    void relocateServing(Timestamp now);
    /// Starts the tasks that have stopped to be moved, at their new workers.
    void placeRelocated(Timestamp now);
    /// Starts one task of each job whose turn is due, where there is room.
    void placeTurns(Timestamp now);
    /// Starts one task of a step as usual.
    /// @return false when there is no worker for it
    bool placeOne(Timestamp now, Step *step);
    void findOverdueLongRunning(Timestamp now);
    /// True when the step is long-running and comes before all others.
    [[nodiscard]] bool isUrgent(Timestamp now, const Step &step) const;
    /// @return true when none of them is left without a worker
    bool placeUrgentSteps(Timestamp now);
    /// True when a task of an overdue long-running step would fit twice on the worker.
    [[nodiscard]] bool passesOverLongRunning(const Worker &worker) const;
    /// Steps in order from the given one that were not tried for long, the longest first.
    [[nodiscard]] std::vector<Step *>
    unreachedSteps(Timestamp now, std::map<StepOrder::Rank, Step *>::const_iterator from);
    bool placeStep(Timestamp now, Step *step);
    /// Keeps workers for large tasks that have waited; after the steps were tried.
    void keepGaps(Timestamp now);
    /// True when the bound on turns that reserve processor time allows one of the step now.
    [[nodiscard]] bool mayTakeTurn(Timestamp now, const Step &step) const;
    void turnTaken(Timestamp now, const Step &step);
    /// Keeps a worker for each job whose turn is due and whose tasks reserve processor time.
    void keepGapsForTurns(Timestamp now);
    void keepGaps(Timestamp now, const Step &step, std::size_t count, bool isUrgent);
    /// Workers on which a task of the step is expected to fit soonest, apart from kept ones, at
    /// most the given number, the soonest first.
    /// @param[in] takesOver a worker that is kept for a step that is not urgent counts as well
    [[nodiscard]] std::vector<std::pair<const Worker *, GapForecast>>
    findSoonest(Timestamp now, const Step &step, std::size_t count, bool takesOver) const;
    void giveUpGaps(Timestamp now);
    bool placeGang(Timestamp now, Step *step, PlacementMode mode);
    bool placeGang(Timestamp now, Step *step, const RackName *rack, PlacementMode mode);
    /// Steps that are overdue, those first whose last try as such was longest ago.
    [[nodiscard]] std::vector<Step *> overdueSteps(Timestamp now) const;
    void updateOverdueStarts(Timestamp now);
    void placeOverdueSteps(Timestamp now);
    void placeOverdueTask(Timestamp now, Step *step);
    void paceOverdueRuns(Timestamp now, Worker *worker, std::span<const TailReading> tails);
    void movePausedRuns(Timestamp now, const Worker &worker);
    void orderPace(Timestamp now, const Worker &worker, const RunRef &run, std::int64_t percent);
    void repeatLostPaces(Timestamp now, const Worker &worker);
    void requestPermits(Timestamp now, Step *step);
    void stopGang(Timestamp now, Step *step, std::string_view reason);

    JobSchedulerSettings m_settings;
    PairExploration m_exploration;
    GapPlanner m_gaps;
    OverdueStarts m_overdueStarts;
    TurnQueue m_turns;
    /// Earliest next turn that reserves processor time, by pool.
    std::map<std::string, Timestamp> m_nextTurnAt;
    ServingRelocation m_relocation;
    Timestamp m_nextRelocation;
    BackfillDemand m_backfillDemand;
    Timestamp m_nextGapPlanning;
    Placer m_placer;
    PlacementRound m_round;
    BackfillThrottle m_throttle;
    TailInterference m_interference;
    ClosedZones m_closedZones;
    Tenure m_tenure;
    bool m_isFenced = false;
    bool m_isTakingOver = false;
    /// Inherited tasks may start, except those in m_unseenTasks.
    bool m_hasAdmittedInherited = true;
    Timestamp m_tenureBeganAt;
    Timestamp m_inheritedAdmittedAt;
    /// Number of the incarnation of the next worker that is added, see OrderTarget::life.
    std::uint32_t m_nextLife = 0;
    /// Tasks with Task::mayRunUnseen, and some that had it.
    std::vector<TaskKey> m_unseenTasks;
    /// The leases that late orders of earlier leaders may bring to workers.
    LeaseClock m_earlierLeases;
    std::map<std::string, QueueSpec> m_queues;
    /// Pools whose workers start what exceeds their capacity.
    std::set<std::string> m_unguardedPools;
    JobTable m_jobs;
    WorkerTable m_workers;
    StepOrder m_order;
    /// Long-running steps that are overdue or urgent; and the urgent ones among them, those first
    /// that were tried longest ago. Empty outside of place() and placeOverdueSteps().
    std::vector<Step *> m_overdueLongRunning;
    std::vector<Step *> m_urgentSteps;
    /// JobSchedulerCounts::passedOver at the last summary.
    std::uint64_t m_passedOverBefore = 0;
    OccurrenceQueue m_occurrences;
    /// How many occurrences may be opened until the next tick.
    std::size_t m_openingsLeft = 0;
    /// Occurrences that were opened for what is known of their runs and are not known to be due,
    /// each by one of its tasks.
    std::vector<TaskKey> m_reopened;
    /// Tasks that were done, or whose last run was over, in this turn.
    std::vector<TaskKey> m_doneTasks;
    /// Of the batch that is open; see Batch::heldBytes.
    std::size_t m_heldBytes = 0;
    /// Number of requests to the advisor that have no answer yet.
    std::size_t m_permitRequestsInFlight = 0;
    bool m_placementDue = false;
    Timestamp m_nextPlacement;

    std::vector<TaskEnd> m_ends;
    /// Of the batch that is open; see Batch::exposures.
    std::vector<ExposureRecord> m_endedExposures;
    /// Workers with a run end in the batch that is open.
    std::vector<WorkerId> m_batchWorkers;
    std::vector<JobId> m_failedJobs;
    std::map<std::uint64_t, Batch> m_batches;
    std::uint64_t m_lastBatch = 0;
    Timestamp m_oldestEndAt;
    bool m_flushEndsNow = false;

    DurationModel m_durations;
    CrashRate m_crashRate;
    /// Exposures to record, trials that wait for the record to come, and those that wait for the
    /// records in progress.
    std::vector<ExposureRecord> m_exposureRecords;
    Timestamp m_oldestExposureAt;
    bool m_flushExposuresNow = false;
    std::vector<PendingTrial> m_pendingTrials;
    std::map<std::uint64_t, ExposureBatch> m_exposureBatches;
    std::uint64_t m_lastExposureBatch = 0;
    /// Suspected tasks without a run, in the order in which they began to wait; entries whose task
    /// no longer waits are dropped in the next placement round.
    std::vector<WaitingSuspect> m_waitingSuspects;
    /// Steps of the suspected tasks that have no worker after the placement round, one entry each.
    std::vector<Step *> m_unplacedTrials;

    /// Ended jobs without any runs left; removed at the end of the turn.
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
