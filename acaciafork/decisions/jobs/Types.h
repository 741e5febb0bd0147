#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "acaciafork/core/Core.h"
#include "acaciafork/core/TaskResults.h"

namespace acaciafork::jobs {

/// Job, identified by the id that its client generated.
using JobId = NumericId<struct JobIdTag>;
/// Number of a run of a task. At a worker, a higher number fences all lower ones of the same task.
using RunNumber = NumericId<struct RunNumberTag>;
/// Number of a leadership term of the scheduler, from 1; fences the orders of earlier leaders.
using Tenure = NumericId<struct TenureTag>;
/// Worker in the scheduler's table; never reused within a tenure.
using WorkerId = NumericId<struct WorkerIdTag, std::uint32_t>;

/// One task of a job.
struct TaskKey
{
    JobId job;
    /// Which scheduled execution of the job, counted from 0.
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task = 0;

    auto operator<=>(const TaskKey &) const = default;
};

/// Name of a task in logs and in messages to workers: JOB.OCCURRENCE.STEP.TASK, with the job id in
/// 16 hexadecimal digits.
std::string taskName(const TaskKey &task);

/// One run of one task.
struct RunKey
{
    TaskKey task;
    RunNumber run;

    auto operator<=>(const RunKey &) const = default;
};

/// 100 percent.
inline constexpr std::int64_t wholePercent = 100;

/// Amounts of resources that a worker has or a task needs.
struct Size
{
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    auto operator<=>(const Size &) const = default;

    Size &operator+=(const Size &other)
    {
        millicores += other.millicores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }
    Size &operator-=(const Size &other)
    {
        millicores -= other.millicores;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }
    /// Resources of `n` tasks of the size.
    Size operator*(std::int64_t n) const
    {
        return { .millicores = millicores * n,
                 .memoryMb = memoryMb * n,
                 .accelerators = accelerators * n };
    }
    /// True when no amount exceeds that of `freeCapacity`.
    [[nodiscard]] bool fitsIn(const Size &freeCapacity) const
    {
        return millicores <= freeCapacity.millicores && memoryMb <= freeCapacity.memoryMb
                && accelerators <= freeCapacity.accelerators;
    }
};

/// Step of a job: a group of identical tasks; see wire::JobStep.
struct StepSpec
{
    std::uint32_t count = 1;
    Size size;
    Duration estimate {};
    std::vector<std::uint32_t> after;
    bool checkpoints = false;
    bool gang = false;
    bool sameRack = false;
    std::string label;
    RackName dataRack;
    /// Maximum number of tasks of the step on one worker; 0 means no limit.
    std::uint32_t maxPerWorker = 0;
    bool speculative = false;
    bool longRunning = false;
    std::string image;
    /// Target for the tail latency of a serving task; zero for a task that serves no requests.
    Duration tailTarget {};
    /// The tasks are backfill tasks: they reserve no processor time and use what other tasks leave
    /// unused.
    bool fills = false;
    std::uint32_t disruptionBudget = 0;

    /// True when the tasks are serving tasks, which answer requests of users.
    [[nodiscard]] bool serves() const { return tailTarget > Duration {}; }
    /// Resources to reserve on a worker for one task.
    [[nodiscard]] Size reserved() const
    {
        Size reserved = size;
        if (fills)
            reserved.millicores = 0;
        return reserved;
    }
};

/// Schedule of a recurring job.
struct Schedule
{
    /// Wall-clock time of the first execution, and the interval between executions.
    std::int64_t firstUs = 0;
    Duration interval {};
    std::uint32_t times = 1;
};

/// Definition of a job.
struct JobSpec
{
    std::vector<StepSpec> steps;
    /// False for a job that runs once, immediately.
    bool isScheduled = false;
    Schedule schedule;

    /// Number of executions of the job.
    [[nodiscard]] std::uint32_t occurrences() const { return isScheduled ? schedule.times : 1; }
    /// Number of tasks in one execution.
    [[nodiscard]] std::uint32_t tasks() const;
    /// Length of the critical path: the longest chain of estimated step durations.
    [[nodiscard]] Duration criticalPath() const;
    /// For each step, the longest chain of estimated durations from its start to the end of the
    /// job.
    [[nodiscard]] std::vector<Duration> remainingPaths() const;
};

/// Expected behaviour of the advisor of a queue. It answers after `decision` plus `perWorker` for
/// each worker in the request; its permits are valid for `validity`.
struct AdvicePolicy
{
    Duration decision {};
    Duration perWorker {};
    Duration validity {};

    bool operator==(const AdvicePolicy &) const = default;
};

/// Queue and the policy for its jobs.
struct QueueSpec
{
    std::string name;
    /// Host and path prefix under which callers reach the queue.
    std::string address;
    std::string pool;
    std::uint32_t priority = 0;
    /// Number of failed runs of one task after which its job fails.
    std::uint32_t maxAttempts = 1;
    double stretch = 1;
    Duration objective {};
    /// The pool's workers reject what exceeds their capacity.
    bool guardsCapacity = true;
    /// Set when an external advisor decides which workers may run a step.
    std::optional<AdvicePolicy> advice;

    bool operator==(const QueueSpec &) const = default;
};

/// A run of a task that has not ended, or that a crash of its worker has ended. Recorded before the
/// run is ordered, so that a later leader knows each task that a silent worker may be running.
struct CrashExposure
{
    RunNumber run;
    WorkerName worker;
    Incarnation born;
    /// Nothing else was starting on the worker when the run began.
    bool isTrial = false;
    /// The worker is known to have crashed.
    bool hasCrashed = false;
    /// The run has passed its trial: a crash of its worker is no evidence against the task.
    bool hasSurvived = false;
    /// The run is over, although no list of its worker has shown that.
    bool isOver = false;
    /// How strongly the crash speaks against the task, see CrashHistory::blameOf(); 0 if other
    /// tasks may have caused it.
    std::uint32_t blame = 0;

    bool operator==(const CrashExposure &) const = default;
};

/// Job as stored in the replicated state.
struct JobView
{
    JobId id;
    /// Definition of its queue, as last in force while the queue existed.
    QueueSpec queue;
    std::shared_ptr<const JobSpec> spec;
    std::int64_t submittedUs = 0;
    /// When the last end of one of its runs was recorded; 0 if none was.
    std::int64_t lastRunEndUs = 0;
    /// Size of its definition in the replicated state, in bytes.
    std::size_t storedBytes = 0;
    /// Which tasks are done.
    TaskResults results;
    /// Numbers of the failed runs, for tasks that have any.
    std::vector<std::pair<TaskKey, std::vector<std::uint64_t>>> failures;
    /// Crashes of workers to which its tasks were exposed.
    std::vector<std::pair<TaskKey, std::vector<CrashExposure>>> exposures;
};

/// One incarnation of a worker and its properties.
struct WorkerLife
{
    WorkerName name;
    Incarnation born;
    std::string pool;
    std::string address;
    std::string zone;
    std::vector<std::string> labels;
    RackName rack;
    Size capacity;
    /// The worker has announced that it will leave: nothing new is started there.
    bool draining = false;
};

/// Report of a worker about itself.
struct WorkerReport
{
    WorkerLife life;
    /// Number of the report; used to detect reports that arrive out of order.
    std::uint64_t sequence = 0;
    /// Reading of the worker's clock, in milliseconds.
    std::int64_t clockMs = 0;
    /// How much longer the worker is cold, that is, runs tasks more slowly than usual.
    Duration coldFor {};
};

/// How a run ended, as reported by its worker.
enum class RunEnd : std::uint8_t {
    Done,
    Failed, ///< the task or the worker failed
    Stopped, ///< stopped by an order
    Lapsed, ///< the worker's lease expired
    Broken, ///< another member of its gang ended
    Alone, ///< the other members of its gang did not start in time
};

/// Stable lower-case name of a run end, such as "done".
std::string_view runEndName(RunEnd end);

/// Entry in a worker's list of active runs.
struct RunningRow
{
    RunKey run;
    /// Newest checkpoint; empty for none.
    std::string checkpoint;
    /// Progress in percent; for a long-running task, 100 while it is working.
    std::int64_t percent = 0;
    /// For a serving task, its tail latency in milliseconds; for any other task, the millicores in
    /// use. -1 when unknown.
    std::int64_t load = -1;
};

/// Entry in a worker's list of ended runs.
struct EndedRow
{
    /// Position in the worker's list, counted from 1.
    std::uint64_t number = 0;
    RunKey run;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

/// Answer of a worker to a renewal of its lease.
struct RenewalAnswer
{
    /// When the renewal was sent.
    Timestamp sentAt;
    Incarnation born;
    std::int64_t clockMs = 0;
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;
    /// The list of ended runs was truncated at its maximum length.
    bool hasMore = false;
    /// Rows of both lists that could not be read; a run that is on neither may be one of them.
    std::uint32_t unreadableRows = 0;
};

/// Outcome of an order to a worker.
enum class OrderOutcome : std::uint8_t {
    Done,
    Unanswered, ///< no answer: the order may still be carried out, or never
    NotSent, ///< nothing was sent: the order will not be carried out
    Fenced, ///< the worker has accepted orders of a later leader
    OldRun, ///< the worker has stopped or ended a run with the same or a higher number
    Late, ///< the deadline of the order had passed
    NoRoom, ///< the worker has not enough free capacity
    NotHealthy, ///< the worker temporarily refuses work
    NoPermit, ///< the order had no permit that is valid on the worker
    OtherLife, ///< another incarnation answers at the address
    Refused, ///< refused for another reason
};

/// Stable lower-case name of an outcome, such as "no-room".
std::string_view orderOutcomeName(OrderOutcome outcome);

} // namespace acaciafork::jobs

template <>
struct std::hash<acaciafork::jobs::TaskKey>
{
    std::size_t operator()(const acaciafork::jobs::TaskKey &key) const noexcept
    {
        const std::uint64_t place = (static_cast<std::uint64_t>(key.occurrence) << 40)
                ^ (static_cast<std::uint64_t>(key.step) << 24) ^ key.task;
        return std::hash<std::uint64_t>()(key.job.value ^ (place * 0x9e3779b97f4a7c15U));
    }
};
