#pragma once

#include <span>
#include <vector>

#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// Settings for tasks that may crash the workers that start them.
struct CrashSettings
{
    /// How long a run of a suspected task has its worker to itself at first, and the factor for
    /// each further crash outside a trial: a task that crashes its workers late is found out as
    /// well.
    Duration trialLength = std::chrono::milliseconds(300);
    std::int64_t trialGrowth = 4;
    Duration maxTrialLength = std::chrono::milliseconds(4800);
    /// Crashes are not told apart in time below this.
    Duration timeResolution = std::chrono::milliseconds(50);
    /// One event has ended several workers when at least this many others fell silent within the
    /// time in which the crash may have come, up to a limit.
    std::size_t jointCrashes = 2;
    Duration maxJointCrashWindow = std::chrono::seconds(1);
    /// A task is given up at this blame: one innocent task in 100,000 would see such crashes.
    std::uint32_t convictingBlame = 11'500;
    /// The same for a task under which this many workers have crashed: the interface allows two
    /// starts after the third crash.
    std::size_t maxCrashes = 5;
    std::uint32_t convictingBlameAtMaxCrashes = 7'000;
    /// A placement round ends its search for trials after this many steps that found no worker, or
    /// this many trials that have begun. Each search visits many workers, and hundreds of tasks may
    /// become suspected at once: an unbounded round could exceed the election timeout.
    std::size_t maxTrialsPerRound = 16;
    /// Maximum number of steps for which one placement round searches for a worker to reserve.
    std::size_t maxReservationsPerRound = 4;
    /// Maximum part of the workers that are kept from other starts for trials to come, in percent.
    std::size_t maxReservedPercent = 12;
};

/// The crashes of workers to which one task was exposed, and what they say about it.
///
/// A worker that crashes gives no reason, and all tasks that ran there are exposed, except those
/// that had been at work there for longer than any trial lasts. A task under which a worker has
/// crashed is suspected: its next run is a trial, on a worker where everything
/// else has been running for longer than the trial lasts and nothing else starts meanwhile. Only a
/// crash during a trial speaks against the task, the more so the less likely it is to be one of
/// those that happen anyway, and a trial that passes clears it of earlier blame. So the tasks
/// beside one that crashes its workers keep running, and a worker that fails for reasons of its own
/// costs no task its job.
class CrashHistory
{
public:
    /// Blame of a crash that a worker would have had anyway with the given probability:
    /// -1000 times its natural logarithm.
    static std::uint32_t blameOf(double probability);

    void restore(std::span<const CrashExposure> exposures);
    /// Adds an exposure; the run must not have one.
    void open(const CrashExposure &exposure);
    /// Exposure of a run, or null.
    [[nodiscard]] CrashExposure *find(RunNumber run);
    [[nodiscard]] const CrashExposure *find(RunNumber run) const;
    /// Removes an exposure that turned out to be no crash.
    void clear(RunNumber run);
    /// The run has survived its trial. Its exposure still names its worker.
    void survive(RunNumber run);
    /// The run is over, although no list of its worker has shown that.
    void markOver(RunNumber run);
    void reset() { m_exposures.clear(); }

    [[nodiscard]] std::span<const CrashExposure> exposures() const { return m_exposures; }
    /// Number of workers that have crashed under the task.
    [[nodiscard]] std::size_t crashes() const;
    [[nodiscard]] std::uint32_t blame() const;
    /// True when the next run must be a trial.
    [[nodiscard]] bool isSuspect() const { return !m_exposures.empty() && crashes() > 0; }
    /// True when the task is to be given up.
    [[nodiscard]] bool isConvicted(const CrashSettings &settings) const;
    /// Length of the next trial.
    [[nodiscard]] Duration trialLength(const CrashSettings &settings) const;

private:
    std::vector<CrashExposure> m_exposures;
};

} // namespace acaciafork::jobs
