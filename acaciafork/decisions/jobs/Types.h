#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "acaciafork/core/Core.h"

namespace acaciafork::jobs {

/// A job, by the id that its client drew.
using JobId = NumericId<struct JobIdTag>;
/// Start of a task; a higher number of the same task fences the lower ones at a worker.
using RunNumber = NumericId<struct RunNumberTag>;
/// Leadership of the scheduler, counted from 1; fences the orders of earlier ones.
using Tenure = NumericId<struct TenureTag>;
/// Worker of this scheduler's table; never reused within a tenure.
using WorkerId = NumericId<struct WorkerIdTag, std::uint32_t>;

/// One task of a job.
struct TaskKey
{
    JobId job;
    /// Time that the job runs, counted from 0.
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task = 0;

    auto operator<=>(const TaskKey &) const = default;
};

/// Text of a task as logs and workers have it: JOB.OCCURRENCE.STEP.TASK, the job in 16 digits.
std::string taskName(const TaskKey &task);

/// One run of one task.
struct RunKey
{
    TaskKey task;
    RunNumber run;

    auto operator<=>(const RunKey &) const = default;
};

/// A whole, in percent.
inline constexpr std::int64_t wholePercent = 100;

/// Amounts of what a worker has or a task needs.
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
    /// True when every amount is at most that of `freeCapacity`.
    [[nodiscard]] bool fitsIn(const Size &freeCapacity) const
    {
        return millicores <= freeCapacity.millicores && memoryMb <= freeCapacity.memoryMb
                && accelerators <= freeCapacity.accelerators;
    }
};

/// Tasks of one kind within a job; see wire::JobStep.
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
    /// Most tasks of the step on one worker; 0 sets no bound.
    std::uint32_t maxPerWorker = 0;
    bool speculative = false;
    bool longRunning = false;
    std::string image;
    /// Bound of a serving task's own response times; zero for a task that serves nobody.
    Duration tailTarget {};
    /// The tasks take the processor time that others leave.
    bool fills = false;
    std::uint32_t disruptionBudget = 0;

    /// The tasks answer users of their own.
    [[nodiscard]] bool serves() const { return tailTarget > Duration {}; }
    /// What a worker has to set aside for one task.
    [[nodiscard]] Size reserved() const
    {
        Size reserved = size;
        if (fills)
            reserved.millicores = 0;
        return reserved;
    }
};

/// Times at which a job runs.
struct Schedule
{
    /// First time, and the pause to each further one, by the wall clock.
    std::int64_t firstUs = 0;
    Duration interval {};
    std::uint32_t times = 1;
};

/// What a job is made of.
struct JobSpec
{
    std::vector<StepSpec> steps;
    /// False for a job that runs once, at once.
    bool isScheduled = false;
    Schedule schedule;

    /// How many times the job runs.
    [[nodiscard]] std::uint32_t occurrences() const { return isScheduled ? schedule.times : 1; }
    /// Longest chain of estimates from the first step to the last.
    [[nodiscard]] Duration criticalPath() const;
    /// Longest chain of estimates from the beginning of each step.
    [[nodiscard]] std::vector<Duration> remainingPaths() const;
};

/// How the advisor of a queue answers: after `decision`, and `perWorker` more for each worker that
/// it is asked about. Its permits hold for `validity`.
struct AdvicePolicy
{
    Duration decision {};
    Duration perWorker {};
    Duration validity {};
};

/// A queue and how its jobs run.
struct QueueSpec
{
    std::string name;
    std::string pool;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    double stretch = 1;
    Duration objective {};
    /// Set where only an outside advisor knows which workers may run a step.
    std::optional<AdvicePolicy> advice;
};

/// A job as the replicated state holds it.
struct JobView
{
    JobId id;
    /// Its queue as it was configured when the job was accepted.
    QueueSpec queue;
    std::shared_ptr<const JobSpec> spec;
    std::int64_t submittedUs = 0;
    /// One byte a task, occurrence by occurrence and step by step: 1 when done; empty when none is.
    std::string_view done;
    /// Runs that failed, for tasks that have any.
    std::vector<std::pair<TaskKey, std::vector<std::uint64_t>>> failures;
};

/// A worker in one of its lives.
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
    /// It has said that it leaves: nothing new is started there.
    bool draining = false;
};

/// What a worker says of itself.
struct WorkerReport
{
    WorkerLife life;
    /// Counts its reports, so that a late one is known.
    std::uint64_t sequence = 0;
    /// The worker's own clock, in milliseconds.
    std::int64_t clockMs = 0;
};

/// How a run ended, as its worker lists it.
enum class RunEnd : std::uint8_t {
    Done,
    Failed, ///< by the task's own fault or the worker's
    Stopped, ///< by an order
    Lapsed, ///< the worker's lease ran out
    Broken, ///< another member of its gang ended
    Alone, ///< it waited too long for the others of its gang
};

/// Stable lower-case name of an end, such as "done".
std::string_view runEndName(RunEnd end);

/// A run on a worker's list of what runs.
struct RunningRow
{
    RunKey run;
    /// Newest checkpoint; empty for none.
    std::string checkpoint;
    /// How far it has come; of a task that lasts 100 when it is at work.
    std::int64_t percent = 0;
    /// Of a serving task the tail of its response times in milliseconds, of any other one the
    /// millicores in use; -1 when unknown.
    std::int64_t load = -1;
};

/// A run on a worker's list of what has ended.
struct EndedRow
{
    /// Place in the worker's list, counted from 1.
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
    /// The list of ends was cut at its longest length.
    bool hasMore = false;
};

/// What became of an order to a worker.
enum class OrderOutcome : std::uint8_t {
    Done,
    Unanswered, ///< it may be carried out now, later, or never
    NotSent, ///< no byte has left: it is never carried out
    Fenced, ///< a later leader has given orders
    OldRun, ///< a run that is not lower was stopped or has ended there
    Late, ///< its deadline had passed
    NoRoom, ///< it does not fit
    NotHealthy, ///< the worker refuses work for now
    NoPermit, ///< without a permit that holds there
    OtherLife, ///< another incarnation answers at the address
    Refused, ///< refused for a reason of another kind
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
