#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// One task of a job: the time that the job runs, the step, and the place in the step.
struct TaskKey
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task = 0;

    auto operator<=>(const TaskKey &) const = default;
};

/// A job and what is known for good of its tasks.
struct Job
{
    std::uint64_t id = 0;
    /// Its queue as it was configured when the job was accepted.
    wire::Queue queue;
    std::shared_ptr<const wire::JobSpec> spec;
    wire::JobState state = wire::JOB_STATE_ACTIVE;
    std::int64_t submittedUs = 0;
    /// 0 while it is active.
    std::int64_t endedUs = 0;
    /// Position in `done` of the first task of each step, for one occurrence; one more at the end.
    std::vector<std::uint32_t> stepStarts;
    /// One byte a task, occurrence by occurrence: 1 when done.
    std::string done;
    std::uint32_t doneCount = 0;
    /// Numbers of the runs that failed, by task.
    std::map<TaskKey, std::vector<std::uint64_t>> failures;

    /// Position of a task in `done`; the size of `done` when there is no such task.
    [[nodiscard]] std::size_t positionOf(const TaskKey &key) const;
    [[nodiscard]] bool isDone(const TaskKey &key) const;
    /// How many times the job runs.
    [[nodiscard]] std::uint32_t occurrences() const;
};

/// The jobs of all queues: accepted ones stay until their end, ended ones for a while longer.
class Jobs
{
public:
    explicit Jobs(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Accepts a job; one that is known counts as applied already, whatever it holds.
    ApplyResult submit(const wire::SubmitJob &command, std::int64_t nowMicroseconds);
    /// Cancels an active job; one that has ended otherwise is left as it is.
    ApplyResult cancel(const wire::CancelJob &command, std::int64_t nowMicroseconds);
    /// Takes in how tasks ended. Ends of unknown and ended jobs change nothing.
    ApplyResult recordEnds(const wire::RecordTaskEnds &command, std::int64_t nowMicroseconds);

    /// Forgets jobs that ended long ago.
    void expire(std::int64_t nowMicroseconds);

    /// The job of that id, or null.
    [[nodiscard]] const Job *find(std::uint64_t id) const;
    /// All jobs by id, in no particular order.
    [[nodiscard]] const std::unordered_map<std::uint64_t, Job> &all() const { return m_jobs; }

    /// Appends every job to a snapshot, in order of id.
    void save(SnapshotWriter *writer) const;
    /// Takes one job of a snapshot in; false when it is not valid.
    bool load(const wire::JobRecord &record);

private:
    [[nodiscard]] static std::string validationError(const wire::JobSpec &spec,
                                                     const StateLimits &limits);
    void end(Job *job, wire::JobState state, std::int64_t nowMicroseconds);

    const StateLimits &m_limits;
    std::unordered_map<std::uint64_t, Job> m_jobs;
    /// Ended jobs in the order of their end.
    std::deque<std::pair<std::int64_t, std::uint64_t>> m_ended;
};

} // namespace acaciafork::state
