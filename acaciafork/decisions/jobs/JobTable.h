#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/batch/Batch.h"
#include "acaciafork/decisions/jobs/CrashHistory.h"
#include "acaciafork/decisions/jobs/JobMemory.h"
#include "acaciafork/decisions/jobs/StepPermits.h"
#include "acaciafork/decisions/jobs/TailTracker.h"
#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// State of a run as known to the scheduler.
enum class RunPhase : std::uint8_t {
    None, ///< no run
    Recording, ///< the start order is sent once its exposure is recorded
    Starting, ///< the start order is in flight
    Running, ///< confirmed by the worker
    Stopping, ///< a stop order is in flight or answered; the worker has not listed its end yet
};

/// One run of a task.
struct Run
{
    RunNumber number;
    RunPhase phase = RunPhase::None;
    WorkerId worker;
    /// When the order was sent.
    Timestamp startedAt;
    /// When the worker last confirmed the run or its stop. Older lists of the worker do not count
    /// as evidence about the run.
    Timestamp confirmedAt;
    /// Incarnation of the worker whose list has shown the run; zero before. Its start has been
    /// carried out there, and can reach no other.
    Incarnation listedBy;
    /// Incarnation of the worker for which its start was ordered, see OrderTarget::life.
    std::uint32_t orderedFor = 0;
    /// The worker has confirmed a stop: once the run is missing from its list, it is over.
    bool stopConfirmed = false;
    /// A stop order is in flight.
    bool stopInFlight = false;
    /// When the order of its start expires, on the worker's clock: the worker rejects it from then
    /// on, however late it arrives. INT64_MAX when the order may reach another incarnation.
    std::int64_t startDeadlineMs = INT64_MAX;
    /// When a list without the run came that was made after that; Timestamp::max() before.
    Timestamp unlistedSince = Timestamp::max();
    Timestamp stopRetryAt;
    /// When its stop was first ordered; valid in RunPhase::Stopping.
    Timestamp stoppingSince;
    /// A stop by choice was denied, and logged.
    bool isStopDenied = false;
    /// Share of its processor time that it may use, in percent, as last ordered.
    std::int64_t percent = 100;
    /// When that share was last ordered, and how often it was given again since it changed.
    Timestamp pacedAt;
    std::uint32_t paceRepeats = 0;
    /// Time since which the run is paused; Timestamp::max() while it is not.
    Timestamp pausedSince = Timestamp::max();
    /// The run was started by PlacementMode::Overdue: it may disturb serving tasks beside it, and
    /// its share is limited to Placer::acceptablePercent().
    bool isOverdue = false;
    /// It is overdue, and its share may be below PlacerSettings::minOverduePercent.
    bool isSlow = false;
    /// Progress in percent according to the worker's last list; for a long-running task, 100 while
    /// it is working.
    std::int64_t progress = 0;
    /// Load according to the last list, see RunningRow::load; -1 when unknown.
    std::int64_t load = -1;
    /// Time since which its tail latency has exceeded its target, apart from single readings just
    /// below; Timestamp::max() if it does not.
    Timestamp overTargetSince = Timestamp::max();
    /// Time since which the readings after that are not above the target; Timestamp::max() if the
    /// last one is.
    Timestamp belowTargetSince = Timestamp::max();
    /// Its tail latency has exceeded its target and was not safe since. Requests that have queued
    /// up keep it high, whatever runs beside the task meanwhile.
    bool isTailRecovering = false;
    /// Its tail latency, for a serving task where exploratory starts are bounded.
    TailTracker tail;

    [[nodiscard]] bool exists() const { return phase != RunPhase::None; }
};

/// Maximum number of concurrent runs of one task: the run and, where allowed, one speculative copy.
inline constexpr std::size_t maxRunsPerTask = 2;

/// What is known of a task that has been started, in this tenure or an earlier one.
struct TaskRecord
{
    std::array<Run, maxRunsPerTask> runs;
    /// Highest run number assigned or seen in this tenure.
    RunNumber lastRun;
    /// Run numbers of its failed runs.
    std::vector<std::uint64_t> failedRuns;
    /// Latest checkpoint; empty for none.
    std::string checkpoint;
    /// Worker on which it failed last; the next run avoids it if possible.
    WorkerId lastFailedWorker;
    /// Number of its runs that were lost with their worker in this tenure.
    std::uint32_t lostRuns = 0;
    /// Crashes of workers to which it was exposed.
    CrashHistory crashes;

    [[nodiscard]] bool hasRun() const { return runs[0].exists() || runs[1].exists(); }
};

/// One task of a step. Kept small, since most tasks of a wide step only wait.
struct Task
{
    /// Null until the task is first started; see TaskRef::ensureRecord().
    std::unique_ptr<TaskRecord> ownRecord;
    /// When its turn came, or its last confirmed run ended; Timestamp::max() before, and while a
    /// worker has confirmed a run.
    Timestamp idleSince = Timestamp::max();
    bool done = false;
    /// The task is in its step's list of ready tasks.
    bool isReady = false;
    /// A worker has confirmed a run of it in this tenure, or an earlier leader has ordered one.
    bool hasRunBefore = false;
    /// It waits for a worker for a trial, apart from the ready tasks of its step.
    bool awaitsTrial = false;
    /// An earlier leader has ordered a run of it on a worker that has not answered this leader.
    bool mayRunUnseen = false;

    [[nodiscard]] bool hasRun() const { return ownRecord != nullptr && ownRecord->hasRun(); }
    /// Its record; an empty one if it has none.
    [[nodiscard]] const TaskRecord &record() const;
    [[nodiscard]] const CrashHistory &crashes() const { return record().crashes; }
};

struct Job;
struct Occurrence;

/// One step of an open occurrence of a job.
struct Step
{
    Job *job = nullptr;
    Occurrence *parent = nullptr;
    const StepSpec *spec = nullptr;
    /// Index of its image in the interference model.
    batch::Index image = batch::noIndex;
    std::uint32_t occurrence = 0;
    std::uint32_t number = 0;
    /// Number of preceding steps that are not done yet.
    std::uint32_t pendingPredecessors = 0;
    /// What the advisor has said of the step; null until the queue's policy first requires permits.
    std::unique_ptr<StepPermits> knownPermits;
    /// Number of tasks that are not done.
    std::uint32_t remainingTasks = 0;
    /// Its occurrence is not due yet.
    bool isDeferred = false;
    /// An earlier leader may have started its tasks, so they may run at workers not reached yet.
    bool mayRunUnseen = false;
    /// Time since which its tasks may start; it may be before this tenure.
    Timestamp readyAt;
    /// When its occurrence became due; for a job that runs once, when the job was accepted.
    Timestamp dueAt;
    /// For a gang: latest checkpoint of any member, from which all members start.
    std::string gangCheckpoint;
    /// Rack of the most recently started task, for steps that should stay on one rack; empty when
    /// none has started.
    RackName rack;
    std::vector<Task> tasks;
    /// Indices of the tasks that wait for a worker.
    std::deque<std::uint32_t> ready;
    /// While tasks wait: when the first of them began to wait or a task of the step last started.
    /// A start that fails does not count.
    Timestamp waitingSince;
    /// Consecutive starts of its tasks that were refused or not answered. After one, workers that
    /// confirm starts are preferred.
    std::uint32_t failedStarts = 0;
    /// When a placement round last tried the step. A round may end before it reaches all steps.
    Timestamp lastTriedAt;
    /// The bound on exploratory starts has held back its tasks.
    bool wasHeldBack = false;
    /// When the step was last tried as an overdue one.
    Timestamp lastTriedOverdueAt;
    /// When a worker was last looked for to be kept for a trial of its tasks.
    Timestamp reservedAt;
    /// It is long-running and comes before all others, as of the current placement round.
    bool isUrgent = false;
    /// When workers were last looked for to be kept for it as an urgent step.
    Timestamp lastPlannedAt;
    /// Longest chain of estimated durations from its start to the end of the job.
    Duration remainingPath {};
    /// Expected increase of a tail latency, as a share of its target, up to which a backfill task
    /// of it may start whatever else does, since its job has waited for long for a turn; see
    /// TurnQueue.
    double acceptedInterference = 0;
    /// The step is in the StepOrder.
    bool isQueued = false;
    /// Longest duration of a task that finished in this tenure, and the number of such tasks.
    Duration longestTaskTime {};
    std::uint32_t doneCount = 0;

    [[nodiscard]] bool mayStart() const { return pendingPredecessors == 0 && !isDeferred; }
    /// Permits to run on workers; null when the queue's policy requires none.
    [[nodiscard]] StepPermits *permits() const;
    [[nodiscard]] TaskKey key(std::uint32_t task) const;
    /// A task of this step runs for certain, so no earlier leader has started a step after it.
    void clearUnseenSuccessors() const;
    /// Checkpoint from which the next run of a task resumes; empty to start from the beginning.
    [[nodiscard]] const std::string &checkpointOf(const Task &task) const
    {
        return spec->gang ? gangCheckpoint : task.record().checkpoint;
    }
    /// When the first of its ready tasks began to wait; Timestamp::max() when none is ready.
    [[nodiscard]] Timestamp firstReadySince() const;
    /// The same for those that had a run before. Of an inherited job that is at work, any of them
    /// may have had one.
    [[nodiscard]] Timestamp firstDisplacedSince() const;
    /// Stores the checkpoint that a run of a task reported; ignores an empty one.
    void updateCheckpoint(std::uint32_t task, const std::string &checkpoint);
};

/// One execution of a job's steps. It is open from the time that it is due, or that a run of it is
/// known, until all its tasks are done; see JobTable::open().
struct Occurrence
{
    std::uint32_t number = 0;
    /// Number of tasks that are not done.
    std::uint32_t tasksLeft = 0;
    std::uint32_t runCount = 0;
    /// Its steps in order; never resized, since steps are referred to by address.
    std::vector<Step> steps;
};

/// The steps of open occurrences, ordered by occurrence.
class StepRange
{
public:
    using Occurrences = std::map<std::uint32_t, std::unique_ptr<Occurrence>>;

    class Iterator
    {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = Step;
        using difference_type = std::ptrdiff_t;
        using pointer = Step *;
        using reference = Step &;

        Iterator() = default;
        explicit Iterator(Occurrences::const_iterator occurrence)
            : m_occurrence(occurrence)
        { }

        Step &operator*() const { return m_occurrence->second->steps[m_step]; }
        Step *operator->() const { return &**this; }
        Iterator &operator++()
        {
            if (++m_step == m_occurrence->second->steps.size()) {
                ++m_occurrence;
                m_step = 0;
            }
            return *this;
        }
        Iterator operator++(int)
        {
            Iterator before = *this;
            ++*this;
            return before;
        }
        bool operator==(const Iterator &) const = default;

    private:
        Occurrences::const_iterator m_occurrence;
        std::size_t m_step = 0;
    };

    explicit StepRange(const Occurrences &occurrences)
        : m_occurrences(&occurrences)
    { }

    [[nodiscard]] Iterator begin() const { return Iterator(m_occurrences->begin()); }
    [[nodiscard]] Iterator end() const { return Iterator(m_occurrences->end()); }
    [[nodiscard]] Step &front() const { return *begin(); }

private:
    const Occurrences *m_occurrences;
};

/// State of a job as known to the scheduler.
enum class JobPhase : std::uint8_t {
    Active,
    Cancelled, ///< no task may run any more
    Failed, ///< a task has used up its attempts; no task may run any more
    Completed, ///< all tasks are done
};

/// Job in the scheduler's table. Volatile: a new leader rebuilds it from the replicated state and
/// from the workers' lists.
struct Job
{
    JobId id;
    JobMemory *memory = nullptr;
    /// @name Definition of its queue
    /// As last in force; see follow().
    /// @{
    std::string queue;
    std::string queueAddress;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    std::string pool;
    bool guardsCapacity = true;
    std::optional<AdvicePolicy> advice;
    /// Time allowed for the job, counted from its acceptance, or from each time that it becomes
    /// due.
    Duration objective {};
    /// @}
    std::shared_ptr<const JobSpec> spec;
    JobPhase phase = JobPhase::Active;
    /// When it was accepted, on this process's clock.
    Timestamp acceptedAt;
    /// How much longer than estimated its steps are expected to take, as a factor of at least 1.
    double stretch = 1;
    /// Its steps go before those of jobs that have not begun.
    bool isFinishedFirst = false;
    /// The job was accepted before this tenure: its tasks may already be running.
    bool isInherited = false;
    /// Number of tasks that are not done, over all occurrences.
    std::uint64_t tasksLeft = 0;
    std::uint32_t runCount = 0;
    /// When the last of its runs that a worker had confirmed was over; of an inherited job, when
    /// the last end of one was recorded. Timestamp {} if there is none.
    Timestamp lastRunOverAt;
    /// A worker has confirmed a start of one of its tasks, or has listed a run of it. A start that
    /// is ordered may be refused or lost.
    bool hasBegun = false;
    /// Open occurrences by number.
    std::map<std::uint32_t, std::unique_ptr<Occurrence>> open;
    /// Occurrences of which all tasks are done.
    IndexSet ended;
    /// The occurrences before this one have become due and were opened.
    std::uint32_t nextOccurrence = 0;
    /// Memory of its definition, and of its open occurrences without their runs.
    std::size_t definitionBytes = 0;
    std::size_t openBytes = 0;

    /// All steps of the open occurrences, ordered by occurrence.
    [[nodiscard]] StepRange steps() const { return StepRange(open); }
    /// When an occurrence is due on the wall clock.
    [[nodiscard]] std::int64_t dueUs(std::uint32_t occurrence) const
    {
        return spec->schedule.firstUs + spec->schedule.interval.count() * occurrence;
    }
    /// Adopts the definition of its queue. Runs that exist stay where they are.
    void follow(const QueueSpec &definition);
    /// The later of the given time and the end of its last run.
    [[nodiscard]] Timestamp afterLastRun(Timestamp since) const
    {
        return lastRunOverAt == Timestamp {} ? since : std::max(since, lastRunOverAt);
    }
    /// True when the job has begun or one of its runs is being started.
    [[nodiscard]] bool isUnderway() const { return hasBegun || runCount > 0; }
    /// True when a task runs or is being started. A run that waits for its end may be on no worker.
    [[nodiscard]] bool isAtWork() const;
};

/// Reference to a task of a step.
struct TaskRef
{
    Step *step = nullptr;
    std::uint32_t task = 0;

    [[nodiscard]] Task &get() const { return step->tasks[task]; }
    [[nodiscard]] TaskKey key() const { return step->key(task); }
    /// Record of the task; adds one if it has none.
    [[nodiscard]] TaskRecord &ensureRecord() const;
    explicit operator bool() const { return step != nullptr; }
};

/// Reference to one of the runs of a task.
struct RunRef
{
    TaskRef task;
    std::size_t slot = 0;

    bool operator==(const RunRef &other) const
    {
        return task.step == other.task.step && task.task == other.task.task && slot == other.slot;
    }
    /// The task must have a record.
    [[nodiscard]] Run &get() const
    {
        ACACIAFORK_ASSERT(task.get().ownRecord != nullptr);
        return task.get().ownRecord->runs.at(slot);
    }
    [[nodiscard]] bool exists() const { return task.get().record().runs.at(slot).exists(); }
    [[nodiscard]] RunKey key() const { return { .task = task.key(), .run = get().number }; }
};

/// Table of the jobs that have not ended or still have runs.
class JobTable
{
public:
    explicit JobTable(const JobMemorySettings &settings = {})
        : m_memory(settings)
    { }

    /// Adds a job from the replicated state and opens the occurrences of which anything is
    /// recorded; tasks recorded as done are marked done.
    Job *add(Timestamp now, std::int64_t wallUs, const JobView &view, const QueueSpec &queue);
    /// Opens an occurrence that is neither open nor ended. Its steps are deferred, except for a job
    /// without a schedule.
    Occurrence *open(Timestamp now, Job *job, std::uint32_t number);
    /// Closes an occurrence without any tasks left and without runs.
    void close(Job *job, std::uint32_t number);
    /// Gives a job the definition of its queue.
    void follow(Job *job, const QueueSpec &definition);
    /// Drops the record of a task that is done and has no run.
    void dropRecord(const TaskRef &task);
    /// Removes a job without any runs.
    void remove(JobId id);
    void clear();

    /// Job with that id, or null.
    [[nodiscard]] Job *find(JobId id) const;
    /// Task with that key; none unless its occurrence is open.
    [[nodiscard]] TaskRef find(const TaskKey &key) const;
    [[nodiscard]] JobMemory &memory() { return m_memory; }
    [[nodiscard]] const JobMemory &memory() const { return m_memory; }
    /// All jobs by id.
    [[nodiscard]] const std::unordered_map<JobId, std::unique_ptr<Job>> &all() const
    {
        return m_jobs;
    }

private:
    /// Opens the occurrences of which results, failures or exposures are recorded.
    void openRecorded(Timestamp now, Job *job, const JobView &view);
    void forgetOccurrence(Job *job, const Occurrence &occurrence);

    std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
    JobMemory m_memory;
};

/// Objective of a job, counted from its acceptance: its critical path multiplied by the queue's
/// stretch factor, plus the queue's fixed objective.
Duration objectiveOf(const JobSpec &spec, const QueueSpec &queue);

} // namespace acaciafork::jobs
