#pragma once

#include "acaciafork/decisions/jobs/TailInterference.h"
#include "acaciafork/decisions/jobs/WorkerTable.h"

namespace acaciafork::jobs {

/// Bounds of placement.
struct PlacerSettings
{
    /// Silence after which a worker gets no new work; over two heartbeats of 1.1 s.
    Duration maxSilence = std::chrono::milliseconds(2500);
    /// Failed runs of different jobs in a row after which a worker gets no new work for a while.
    std::uint32_t suspectAfterFailures = 2;
    /// Most that a filling task may be expected to add to a tail beside it, as a share of the
    /// tail's target; undisturbed tails swing between a quarter and four fifths of it.
    double maxInterference = 0.35;
};

/// Chooses the worker of a task.
///
/// Load patterns: tasks that serve go together by what they run, the fullest worker that still
/// has room first, so that whole workers stay free for wide steps and each image that fills is kept
/// away from few workers only; tasks that fill go where
/// the most processor time is left and where they disturb nobody by what is known of their images;
/// other tasks go where the most is left, so that the loss of one worker hits few of them.
class Placer
{
public:
    /// @param[in] interference what is known of disturbance; must outlive the placer
    Placer(const PlacerSettings &settings, const TailInterference *interference)
        : m_settings(settings)
        , m_interference(interference)
    { }

    /// The best worker for the task, or null when none has room now.
    /// @param[in] rack only workers of this rack; null for any
    [[nodiscard]] Worker *choose(Timestamp now, const WorkerTable &workers, const Step &step,
                                 const Task &task, const RackName *rack = nullptr) const;

    /// True when the worker may get new work at all.
    [[nodiscard]] bool isUsable(Timestamp now, const Worker &worker) const;

    /// True when a task of the step could run on the worker if nothing else did.
    [[nodiscard]] static bool canEverFit(const Worker &worker, const Step &step);

private:
    [[nodiscard]] bool fits(const Worker &worker, const Step &step) const;
    [[nodiscard]] double score(const Worker &worker, const Step &step, const Task &task) const;

    [[nodiscard]] static double colocationBonus(const Worker &worker, const Step &step);
    [[nodiscard]] bool isHarmless(const Worker &worker, const Step &step) const;
    [[nodiscard]] double expectedInterference(const Worker &worker, const Step &step) const;

    PlacerSettings m_settings;
    const TailInterference *m_interference;
};

} // namespace acaciafork::jobs
