#pragma once

#include <span>
#include <vector>

#include "acaciafork/decisions/jobs/StepOrder.h"

namespace acaciafork::jobs {

/// Settings of the turns.
struct TurnSettings
{
    /// A job that has waited for this long gets its next task before all jobs that have waited for
    /// less; one that is too late for its result to count, after the second time. Below the bound
    /// of 10 s by the time in which one task of each job finds a worker.
    Duration firstAfter = std::chrono::milliseconds(5000);
    Duration tooLateAfter = std::chrono::milliseconds(8000);
    /// The same for jobs whose tasks reserve their processor time. Late within the bound: a task of
    /// each would share it among more jobs than can end in time.
    Duration reservingAfter = std::chrono::milliseconds(6500);
    /// Part of a pool's processor time that such turns use on average, in percent. Where more jobs
    /// wait than can have one in time, others still end in time.
    std::int64_t maxReservingPercent = 5;
    /// After this time a backfill task may start beside serving tasks that it disturbs, where this
    /// increase of a tail latency is expected of its lowest share; see Step::acceptedInterference.
    Duration slowlyAfter = std::chrono::milliseconds(5000);
    double acceptedInterference = 0.075;
    /// The same shortly before the bound is reached.
    Duration lastAfter = std::chrono::milliseconds(8000);
    double lastAcceptedInterference = 0.3;
};

/// Jobs that wait for a turn: some of their tasks are ready and none runs.
///
/// In StepOrder, jobs that are too late come after all others, for as long as others arrive, and a
/// backfill image may find no worker that bears it while its demand grows. A turn bounds how long a
/// job has nothing running: it starts one task, and the job waits anew when that has ended.
///
/// Long-running tasks take no turns: each of them waits for itself.
class TurnQueue
{
public:
    explicit TurnQueue(const TurnSettings &settings = {})
        : m_settings(settings)
    { }

    /// Finds the steps whose turn is due, and sets Step::acceptedInterference.
    void update(Timestamp now, const StepOrder &order);
    void clear()
    {
        m_due.clear();
        m_longestWait = {};
    }

    /// The steps whose turn is due, each named by its first task; the longest waiting first.
    [[nodiscard]] std::span<const TaskKey> due() const { return m_due; }
    /// Longest time for which a backfill job has waited, as of the last update.
    [[nodiscard]] Duration longestWait() const { return m_longestWait; }

private:
    [[nodiscard]] double acceptedInterference(Duration wait) const;

    TurnSettings m_settings;
    std::vector<TaskKey> m_due;
    Duration m_longestWait {};
};

} // namespace acaciafork::jobs
