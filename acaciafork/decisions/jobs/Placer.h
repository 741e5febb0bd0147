#pragma once

#include <optional>
#include <span>
#include <unordered_set>
#include <vector>

#include "acaciafork/decisions/jobs/BackfillDemand.h"
#include "acaciafork/decisions/jobs/ClosedZones.h"
#include "acaciafork/decisions/jobs/GapPlanner.h"
#include "acaciafork/decisions/jobs/OverdueStarts.h"
#include "acaciafork/decisions/jobs/PairExploration.h"
#include "acaciafork/decisions/jobs/PlacementObstacle.h"
#include "acaciafork/decisions/jobs/TailInterference.h"
#include "acaciafork/decisions/jobs/WorkerTable.h"

namespace acaciafork::jobs {

/// Settings of placement.
struct PlacerSettings
{
    /// A worker gets no new work after this time of silence; more than two heartbeat intervals of
    /// 1.1 s.
    Duration maxSilence = std::chrono::milliseconds(2500);
    /// A worker that does not guard its capacity gets no new work when its last report is older.
    Duration maxReportAge = std::chrono::milliseconds(3500);
    /// Consecutive failed runs of different jobs after which a worker gets no new work for a while.
    std::uint32_t suspectAfterFailures = 2;
    /// Maximum expected increase of a tail latency that a backfill task may cause, as a share of
    /// its target. Without interference, tail latencies vary between a quarter and four fifths of
    /// the target.
    double maxInterference = 0.35;
    /// The same where exploratory starts are bounded, so that estimates are reliable: 0.8 is the
    /// highest ratio of a run without interference.
    double maxKnownInterference = 0.2;
    /// The same for all overdue tasks on a worker together. Lower, since their jobs are late
    /// already while the serving tasks are on time.
    double maxOverdueInterference = 0.15;
    /// Lowest share at which an overdue backfill task starts, in percent.
    std::int64_t minOverduePercent = 15;
    /// Tasks that are not backfill go to the worker with the least free reserved processor time on
    /// which they fit, so that large gaps stay whole. Set by JobSchedulerSettings::lookAhead.
    bool bestFit = false;
    /// Tasks that are not backfill prefer workers that are warm.
    bool prefersWarmWorkers = false;
};

/// How strictly a worker is judged.
enum class PlacementMode : std::uint8_t {
    Usual,
    /// For a backfill task of a step that has waited for too long: any unused processor time is
    /// enough, and expected interference excludes a worker only beyond the bounds on such tasks,
    /// see OverdueStarts.
    Overdue,
};

/// What else limits where tasks may start; null for no such limit.
struct PlacementLimits
{
    /// Zones in which nothing may start.
    const ClosedZones *closedZones = nullptr;
    /// Bound on exploratory starts of backfill tasks.
    const PairExploration *exploration = nullptr;
    /// Workers kept for large tasks; counts the starts that it keeps away.
    GapPlanner *gaps = nullptr;
    /// Bound on overdue backfill tasks, where exploratory starts have none.
    const OverdueStarts *overdue = nullptr;
    /// Demand for backfill by image; without it, serving tasks are only kept apart by image.
    const BackfillDemand *demand = nullptr;
};

/// What speaks against a trial on a worker, in descending order of weight; trials prefer the
/// lowest.
struct TrialLoad
{
    /// It has crashed lately, so a crash would say little.
    bool hasCrashed = false;
    /// A crash would end serving tasks, and this number of runs.
    bool isServing = false;
    std::size_t runs = 0;

    auto operator<=>(const TrialLoad &) const = default;
};

/// Whether a trial may join trials of other steps, and which.
struct TrialSharing
{
    /// Maximum number of runs in them; 1 if it must not join them.
    std::size_t maxRuns = 1;
    /// The first of them began within this time.
    Duration joinedWithin {};
};

/// Worker that may be free for a trial.
struct TrialCandidate
{
    Worker *worker = nullptr;
    /// Its load when it was collected, which does not decrease within a placement round.
    TrialLoad load;
};

/// Chooses workers for tasks.
///
/// Serving tasks are grouped by image, on the fullest worker that still has free capacity. This
/// keeps whole workers free for steps with many tasks, and each backfill image has to avoid only a
/// few workers. Once it is known which backfill images a serving image excludes, its tasks go where
/// the least of the demand for backfill is displaced. Backfill tasks go to the worker with the most
/// unused processor time where no interference is expected from what is known of their images.
/// Other tasks go to the worker with the most unused processor time, so that the loss of one worker
/// affects few of them.
class Placer
{
public:
    /// @param[in] interference interference model; must outlive the placer
    /// @param[in] limits further limits on where tasks may start, which must outlive the placer
    explicit Placer(const PlacerSettings &settings, const TailInterference *interference,
                    const PlacementLimits &limits = {})
        : m_settings(settings)
        , m_interference(interference)
        , m_limits(limits)
    { }

    /// Best worker for the task, or null when none has enough free capacity now.
    /// @param[in] rack restricts the choice to this rack; null for any rack
    [[nodiscard]] Worker *choose(Timestamp now, const WorkerTable &workers, const Step &step,
                                 const Task &task, const RackName *rack = nullptr,
                                 PlacementMode mode = PlacementMode::Usual) const;

    /// Share of its processor time, in percent, at which the interference expected of the overdue
    /// tasks on the worker stays acceptable.
    /// @param[in] added step of one more overdue task, or null
    [[nodiscard]] std::int64_t acceptablePercent(const Worker &worker, const Step *added) const;

    /// True when the worker may get new work.
    [[nodiscard]] bool isUsable(Timestamp now, const Worker &worker) const;
    /// True when the worker is in touch and accepts work.
    [[nodiscard]] bool isInTouch(Timestamp now, const Worker &worker) const;
    /// True when the worker is in touch and its zone is open, whether it is kept for a trial or
    /// not. Every choice of a worker for a start asks this.
    [[nodiscard]] bool isReachable(Timestamp now, const Worker &worker) const;

    /// True when a task of the step could run on the worker if it were empty.
    [[nodiscard]] static bool canEverFit(const Worker &worker, const Step &step);

    /// True when a task of the step fits on the worker beside what runs there.
    [[nodiscard]] bool fits(const Worker &worker, const Step &step) const
    {
        return findObstacle(worker, step, PlacementMode::Usual) == PlacementObstacle::None;
    }
    /// Best worker for a trial of a task of the step, or null when none is free for one now: the
    /// worker has run everything of other steps for longer than the trial lasts. Prefers workers
    /// that have not crashed under the task, whose crash is further evidence, then those with the
    /// lowest load.
    /// @param[in] joinsOnly restricts the choice to workers where a trial of the step is in
    /// progress
    /// @param[in] sharing which trials of other steps the trial may join
    [[nodiscard]] Worker *chooseForTrial(Timestamp now, const WorkerTable &workers,
                                         const TaskRef &task, Duration length, const RackName *rack,
                                         PlacementMode mode, bool joinsOnly = false,
                                         const TrialSharing &sharing = {}) const;
    /// The same among the given workers, in the order of TrialCandidate::load: the search ends at
    /// the first load above that of a worker that was found.
    [[nodiscard]] Worker *chooseForTrial(Timestamp now, std::span<const TrialCandidate> candidates,
                                         const TaskRef &task, Duration length, const RackName *rack,
                                         PlacementMode mode, bool joinsOnly = false,
                                         const TrialSharing &sharing = {}) const;
    /// All workers that may be free for a trial of one of the steps: no run of another step has
    /// begun there within `length`. In the order of TrialCandidate::load.
    [[nodiscard]] std::vector<TrialCandidate>
    trialCandidates(Timestamp now, const WorkerTable &workers, Duration length,
                    const std::unordered_set<const Step *> &steps) const;
    /// Worker to keep for a trial of a task of the step, or null.
    [[nodiscard]] Worker *chooseToReserve(Timestamp now, const WorkerTable &workers,
                                          const Step &step) const;
    /// What keeps the worker from getting a task of the step now.
    [[nodiscard]] PlacementObstacle findObstacle(Timestamp now, const Worker &worker,
                                                 const Step &step) const;
    /// Why a worker in an open zone is not usable.
    [[nodiscard]] PlacementObstacle reasonNotUsable(Timestamp now, const Worker &worker) const;
    /// True when the bound on exploratory starts excludes the worker.
    [[nodiscard]] bool isHeldBack(const Worker &worker, const Step &step) const;
    /// True when the worker is kept for another step, see GapPlanner::turnsAway().
    [[nodiscard]] bool turnsAway(Timestamp now, const Worker &worker, const Step &step) const
    {
        return m_limits.gaps != nullptr && m_limits.gaps->turnsAway(now, worker, step);
    }
    /// How good the worker is for tasks of the step; the highest score wins.
    [[nodiscard]] double score(Timestamp now, const Worker &worker, const Step &step) const;
    /// True when tasks of `filling` may run beside `serving` in any number.
    [[nodiscard]] bool bears(batch::Index serving, batch::Index filling) const;
    /// Amount by which the score is lower for this task of the step; zero for most tasks.
    [[nodiscard]] static double taskPenalty(const Worker &worker, const Task &task);

private:
    [[nodiscard]] bool isInClosedZone(const Worker &worker) const
    {
        return m_limits.closedZones != nullptr && m_limits.closedZones->isClosed(worker.life.zone);
    }
    /// What keeps a usable worker from getting a task of the step, apart from permits.
    [[nodiscard]] PlacementObstacle findObstacle(const Worker &worker, const Step &step,
                                                 PlacementMode mode) const;
    /// Amount by which the score of a worker is lower for a step whose last start failed; grows
    /// with the time since the worker last confirmed a start.
    [[nodiscard]] static double unconfirmedPenalty(Timestamp now, const Worker &worker,
                                                   const Step &step);
    /// Amount by which the score of a cold worker is lower; zero for a warm one.
    [[nodiscard]] double coldPenalty(Timestamp now, const Worker &worker,
                                     const StepSpec &spec) const;
    /// True when an overdue task may start beyond the bound of OverdueStarts: all pairs are
    /// observed, and at its lowest share it disturbs as little as such tasks may.
    [[nodiscard]] bool mayStartSlowly(const Worker &worker, const Step &step) const;
    /// Processor time that overdue tasks may ask for beyond what is unused, where their
    /// image is known as harmless: all backfill tasks there are slower then, but more jobs have
    /// one.
    [[nodiscard]] std::int64_t overcommit(const Worker &worker, const Step &step) const;
    /// Amount by which the score of an open worker is lower for a serving or backfill task for
    /// which it is not open.
    [[nodiscard]] double openWorkerPenalty(const Worker &worker, const Step &step) const;
    [[nodiscard]] double colocationBonus(const Worker &worker, const Step &step) const;
    /// Share of the demand for backfill that could run on the worker now and not beside a task of
    /// the serving step; none while too little is known of the step's image.
    [[nodiscard]] std::optional<double> displacedDemand(const Worker &worker,
                                                        const Step &step) const;
    /// True when a usual task of `filling` is not placed beside `serving`.
    [[nodiscard]] bool excludes(batch::Index serving, batch::Index filling) const;
    /// Brings m_exclusions up to date for the image.
    void updateExclusions(batch::Index serving) const;
    [[nodiscard]] bool isHarmless(const Worker &worker, const Step &step) const;
    [[nodiscard]] double expectedInterference(const Worker &worker, const Step &step) const;
    /// Sum of the interference expected of the overdue tasks on the worker at their full shares.
    /// @param[in] except tasks of this step do not count, which may be members of one gang; or null
    [[nodiscard]] double overdueInterference(const Worker &worker,
                                             const Step *except = nullptr) const;

    /// True when the step's image is known to interfere with an image served on the worker.
    [[nodiscard]] bool isHarmful(const Worker &worker, const Step &step) const;

    /// Backfill images with demand that a serving image excludes; kept while one step is placed.
    struct Exclusions
    {
        batch::Index serving = batch::noIndex;
        std::uint64_t demandVersion = 0;
        bool isKnown = false;
        std::vector<BackfillDemand::ImageShare> images;
    };

    mutable Exclusions m_exclusions;
    PlacerSettings m_settings;
    const TailInterference *m_interference;
    PlacementLimits m_limits;
};

} // namespace acaciafork::jobs
