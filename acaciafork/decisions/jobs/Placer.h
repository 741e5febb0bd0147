#pragma once

#include "acaciafork/decisions/jobs/WorkerTable.h"

namespace acaciafork::jobs {

/// Bounds of placement.
struct PlacerSettings
{
    /// Silence after which a worker gets no new work; over two heartbeats of 1.1 s.
    Duration silence = std::chrono::milliseconds(2500);
    /// Failed runs of different jobs in a row after which a worker gets no new work for a while.
    std::uint32_t suspectAfter = 2;
};

/// Chooses the worker of a task.
///
/// Load patterns: tasks that serve go together, the fullest worker that still has room first, so
/// that whole workers stay free for wide steps and for tasks that fill; tasks that fill go where
/// the most processor time is left and, if they can, where nothing serves, since they disturb it;
/// other tasks go where the most is left, so that the loss of one worker hits few of them.
class Placer
{
public:
    explicit Placer(const PlacerSettings &settings = {})
        : m_settings(settings)
    { }

    /// The best worker for the task, or null when none has room now.
    /// @param[in] rack only workers of this rack; null for any
    [[nodiscard]] Worker *choose(Timestamp now, const WorkerTable &workers, const Step &step,
                                 const Task &task, const RackName *rack = nullptr) const;

    /// True when the worker may get new work at all.
    [[nodiscard]] bool isUsable(Timestamp now, const Worker &worker) const;

    /// True when some worker of the pool could ever hold a task of the step.
    [[nodiscard]] static bool couldEverFit(const WorkerTable &workers, const std::string &pool,
                                           const StepSpec &step);

private:
    [[nodiscard]] bool fits(const Worker &worker, const Step &step) const;
    [[nodiscard]] double score(const Worker &worker, const Step &step, const Task &task) const;

    PlacerSettings m_settings;
};

} // namespace acaciafork::jobs
