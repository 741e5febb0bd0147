#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "acaciafork/core/TaskResults.h"
#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// Identifies one task of a job: the occurrence of the schedule, the step, and the index of the
/// task within the step.
struct TaskKey
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task = 0;

    auto operator<=>(const TaskKey &) const = default;
};

/// An active job and the durable results of its tasks.
struct Job
{
    std::uint64_t id = 0;
    /// Its queue as last configured; what it was before the queue was removed, if it was.
    wire::Queue queue;
    std::shared_ptr<const wire::JobSpec> spec;
    std::int64_t submittedUs = 0;
    /// When the last end of one of its runs was recorded; 0 if none was.
    std::int64_t lastRunEndUs = 0;
    /// Position of the first task of each step within one occurrence; the last element is the
    /// number of tasks per occurrence.
    std::vector<std::uint32_t> stepStarts;
    /// Which tasks are done.
    TaskResults results;
    /// Run numbers of the failed runs of each task that is not done.
    std::map<TaskKey, std::vector<std::uint64_t>> failures;
    /// Runs that have not ended and runs that a crash of their worker has ended, in the order in
    /// which they were recorded.
    std::map<TaskKey, std::vector<wire::CrashExposure>> exposures;

    /// Returns the position of a task within its occurrence, or none if there is no such task.
    [[nodiscard]] std::optional<std::uint32_t> positionOf(const TaskKey &key) const;
    [[nodiscard]] bool isDone(const TaskKey &key) const;
    /// Number of times that the job runs: as often as its schedule says, or once if it has none.
    [[nodiscard]] std::uint32_t occurrences() const;
};

/// The jobs of all queues. A job is kept until it ends; its state, for StateLimits::endedJobWindow
/// longer.
class Jobs
{
public:
    explicit Jobs(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// What is wrong with a job that submit() would reject as invalid; empty if nothing is.
    [[nodiscard]] static std::string validationError(const wire::JobSpec &spec,
                                                     const StateLimits &limits = {});
    /// Accepts a job. If its id is known, the outcome is "already applied", even if the content
    /// differs.
    /// @param[in] config in force, which may be later than the one that the command was made with
    ApplyResult submit(const wire::SubmitJob &command, const wire::QueueConfig &config,
                       std::int64_t nowMicroseconds);
    /// Gives each active job the definition that its queue has in the configuration. A queue is
    /// known by its name, or else by its host and path prefix. Jobs of a queue that is not in the
    /// configuration keep its last definition.
    void configure(const wire::QueueConfig &config);
    /// Cancels an active job; a job that has ended is left unchanged.
    ApplyResult cancel(const wire::CancelJob &command, std::int64_t nowMicroseconds);
    /// Records the ends of task runs and failed jobs. Those of unknown and ended jobs are ignored.
    ApplyResult recordEnds(const wire::RecordTaskEnds &command, std::int64_t nowMicroseconds);
    /// Records which tasks were exposed to crashes of workers. Those of unknown and ended jobs, and
    /// of tasks that are done, are ignored.
    ApplyResult recordExposures(const wire::RecordCrashExposures &command);

    /// Forgets jobs that ended longer ago than StateLimits::endedJobWindow.
    void expire(std::int64_t nowMicroseconds);

    /// State of a job that is active or has ended; none if no such job is known.
    [[nodiscard]] std::optional<wire::JobState> stateOf(std::uint64_t id) const;
    /// Returns the active job with that id, or nullptr.
    [[nodiscard]] const Job *find(std::uint64_t id) const;
    /// All active jobs by id, in no particular order.
    [[nodiscard]] const std::unordered_map<std::uint64_t, Job> &all() const { return m_jobs; }

    /// Estimated memory of what is kept of the jobs that have ended, in bytes.
    [[nodiscard]] std::size_t endedBytes() const;
    /// Memory of the durable results of all tasks, in bytes.
    [[nodiscard]] std::size_t resultBytes() const;

    /// Appends every job to a snapshot: active jobs by id, then ended ones in the order in which
    /// they ended.
    void save(SnapshotWriter *writer) const;
    /// Loads one snapshot record; returns false if it is not a valid job.
    bool load(const wire::JobRecord &record);

private:
    /// Reads the results of an active job, also those that an earlier version wrote.
    [[nodiscard]] static bool loadResults(const wire::JobRecord &record, Job *job);
    void applyExposure(Job *job, const wire::TaskCrashExposure &change) const;
    /// Ends an active job; its definition and results are discarded.
    void end(std::uint64_t id, wire::JobState state, std::int64_t nowMicroseconds);

    const StateLimits &m_limits;
    std::unordered_map<std::uint64_t, Job> m_jobs;
    std::unordered_map<std::uint64_t, wire::JobState> m_endedStates;
    /// End time and id of each ended job, in the order in which they ended.
    std::deque<std::pair<std::int64_t, std::uint64_t>> m_ended;
};

} // namespace acaciafork::state
