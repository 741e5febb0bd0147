#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/batch/Batch.h"
#include "acaciafork/decisions/jobs/StepPermits.h"
#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// How far a run has come, as the scheduler believes.
enum class RunPhase : std::uint8_t {
    None, ///< no run
    Starting, ///< the order is on its way
    Running, ///< confirmed by the worker
    Stopping, ///< an order to stop it is on its way or answered; its end is not listed yet
};

/// One run of a task.
struct Run
{
    RunNumber number;
    RunPhase phase = RunPhase::None;
    WorkerId worker;
    /// When the order was sent.
    Timestamp startedAt;
    /// When the worker last confirmed it; an older list of the worker says nothing about it.
    Timestamp confirmedAt;
    /// The worker has confirmed a stop: a run that it does not list is gone for good.
    bool stopConfirmed = false;
    /// An order to stop it is on its way.
    bool stopInFlight = false;
    Timestamp stopRetryAt;
    /// Share at which it works, as last ordered.
    std::int64_t percent = 100;
    /// How far it has come by the worker's last list; of a task that lasts 100 when it is at work.
    std::int64_t progress = 0;
    /// Its worker's load figure of the last list; -1 when unknown.
    std::int64_t load = -1;
    /// Since when its tail has been over its target; none while it is not.
    Timestamp overTargetSince = Timestamp::max();

    [[nodiscard]] bool exists() const { return phase != RunPhase::None; }
};

/// Most runs of one task at a time: the run and, where it is allowed, one copy.
inline constexpr std::size_t maxRunsPerTask = 2;

/// One task of a step.
struct Task
{
    std::array<Run, maxRunsPerTask> runs;
    /// Highest run number given in this tenure, or seen.
    RunNumber lastRun;
    /// Numbers of its runs that failed.
    std::vector<std::uint64_t> failedRuns;
    bool done = false;
    /// It stands in its step's list of ready tasks.
    bool isReady = false;
    /// Newest checkpoint; empty for none.
    std::string checkpoint;
    /// Worker where it failed last; the next run goes elsewhere if it can.
    WorkerId lastFailedWorker;

    [[nodiscard]] bool hasRun() const { return runs[0].exists() || runs[1].exists(); }
};

struct Job;

/// One step of one occurrence of a job.
struct Step
{
    Job *job = nullptr;
    const StepSpec *spec = nullptr;
    /// Number of its image, by which disturbance is known.
    batch::Index image = batch::noIndex;
    std::uint32_t occurrence = 0;
    std::uint32_t number = 0;
    /// Steps before it that are not done yet.
    std::uint32_t pendingPredecessors = 0;
    /// Where it may run; null where its queue's policy sets no bounds.
    std::unique_ptr<StepPermits> permits;
    /// Tasks that are not done.
    std::uint32_t remainingTasks = 0;
    /// Its occurrence is not due yet.
    bool isDeferred = false;
    /// Since when its tasks may start.
    Timestamp readyAt;
    /// When its occurrence became due; of a job that runs once, when the job was accepted.
    Timestamp dueAt;
    /// Of a gang: newest checkpoint of any member, which all members start from.
    std::string gangCheckpoint;
    /// Where its first task of late went, for steps that belong on one rack; empty for nowhere.
    RackName rack;
    std::vector<Task> tasks;
    /// Numbers of tasks that wait for a worker.
    std::deque<std::uint32_t> ready;
    /// Longest chain of estimates from its beginning.
    Duration remainingPath {};
    /// It stands in the queue of steps.
    bool isQueued = false;
    /// Longest time that a done task took in this tenure, and how many have been done in it.
    Duration longestTaskTime {};
    std::uint32_t doneCount = 0;

    [[nodiscard]] bool mayStart() const { return pendingPredecessors == 0 && !isDeferred; }
    [[nodiscard]] TaskKey key(std::uint32_t task) const;
    /// What the next run of a task goes on from; empty for its beginning.
    [[nodiscard]] const std::string &checkpointOf(const Task &task) const
    {
        return spec->gang ? gangCheckpoint : task.checkpoint;
    }
    /// A run of a task has shown a checkpoint; empty ones say nothing.
    void updateCheckpoint(Task *task, const std::string &checkpoint);
};

/// Where a job stands for the scheduler.
enum class JobPhase : std::uint8_t {
    Active,
    Cancelled, ///< nothing of it may run any more
    Failed, ///< a task has failed too often; nothing of it may run any more
    Completed, ///< all tasks are done
};

/// A job as the scheduler works on it. Soft: a new leader builds it from the replicated state and
/// from the workers' lists.
struct Job
{
    JobId id;
    std::string queue;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    std::string pool;
    std::shared_ptr<const JobSpec> spec;
    JobPhase phase = JobPhase::Active;
    /// When it was accepted, on this process's clock.
    Timestamp acceptedAt;
    /// Time that it has from its acceptance, or from each time that it is due.
    Duration objective {};
    std::optional<AdvicePolicy> advice;
    /// It was accepted before this tenure: its tasks may run somewhere already.
    bool isInherited = false;
    std::uint32_t tasksLeft = 0;
    std::uint32_t runCount = 0;
    /// Some task of it has begun.
    bool hasBegun = false;
    /// By occurrence, then by step.
    std::vector<Step> steps;
};

/// A task within its step.
struct TaskRef
{
    Step *step = nullptr;
    std::uint32_t task = 0;

    [[nodiscard]] Task &get() const { return step->tasks[task]; }
    [[nodiscard]] TaskKey key() const { return step->key(task); }
    explicit operator bool() const { return step != nullptr; }
};

/// One of the runs of a task.
struct RunRef
{
    TaskRef task;
    std::size_t slot = 0;

    bool operator==(const RunRef &other) const
    {
        return task.step == other.task.step && task.task == other.task.task && slot == other.slot;
    }
    [[nodiscard]] Run &get() const { return task.get().runs[slot]; }
    [[nodiscard]] RunKey key() const { return { .task = task.key(), .run = get().number }; }
};

/// The jobs that are not over yet.
class JobTable
{
public:
    /// Adds a job as the replicated state shows it; tasks recorded as done are done.
    Job *add(Timestamp now, std::int64_t wallUs, const JobView &view, const QueueSpec &queue);
    /// Forgets a job none of whose tasks runs.
    void remove(JobId id);
    void clear() { m_jobs.clear(); }

    /// The job of that id, or null.
    [[nodiscard]] Job *find(JobId id) const;
    /// The task of that key, or none.
    [[nodiscard]] TaskRef find(const TaskKey &key) const;
    /// All jobs by id.
    [[nodiscard]] const std::unordered_map<JobId, std::unique_ptr<Job>> &all() const
    {
        return m_jobs;
    }

private:
    std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
};

/// Objective of a job, counted from its acceptance: its chain of work with the stretch that its
/// queue allows, and the queue's own objective more.
Duration objectiveOf(const JobSpec &spec, const QueueSpec &queue);

} // namespace acaciafork::jobs
