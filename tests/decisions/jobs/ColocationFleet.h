#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/jobs/Jobs.h"

namespace acaciafork::jobs {

/// What arrives in a simulation of a colocated fleet, and what goes wrong in it.
struct ColocationLoad
{
    /// Factors on the usual load: during the burst, and after it.
    double burst = 1.5;
    double after = 0.6;
    Duration burstLength = std::chrono::seconds(40);
    Duration length = std::chrono::seconds(120);
    /// Share of the cores that serving tasks reserve at first.
    double servingShare = 0.8;
    /// Serving jobs are cancelled after the burst until they reserve less than this share.
    double servingShareAfter = 1;
    /// Number of workers that crash together at the end of the burst and are back at once.
    std::size_t crashes = 0;
};

/// What a simulation has counted.
struct ColocationResult
{
    /// Longest time after the burst and the settling time for which a backfill job whose turn had
    /// come was without a run, or had no progress, while there was room for two tasks of each such
    /// job; and how long there was.
    Duration longestJobWait {};
    Duration longestStandstill {};
    Duration timeWithRoom {};
    /// The last part of the simulation: backfill work that arrived and that was done, in
    /// core-seconds per second, and the mean share of the workers that are paced.
    double arrivedPerSecond = 0;
    double donePerSecond = 0;
    double pacedShare = 0;
    /// Tasks that waited for a run as suspects after the crash, and their longest wait: backfill
    /// tasks, short ones and serving ones.
    std::array<std::size_t, 3> suspects {};
    std::array<Duration, 3> suspectWaits {};
    /// True when there has been room for each task twice over since the crash.
    bool hadRoomForAll = true;
    /// Mean time of serving tasks over their target, as a share of their time.
    double overTarget = 0;
};

/// Simulation in virtual time of workers on which backfill tasks slow down serving tasks.
class ColocationFleet
{
public:
    ColocationFleet(const JobSchedulerSettings &settings, std::uint64_t seed,
                    const ColocationLoad &load);
    ColocationResult run();

private:
    /// A run as its worker knows it.
    struct SimulatedRun
    {
        RunNumber number;
        const StepSpec *spec = nullptr;
        /// Work done, in seconds at full share.
        double progress = 0;
        std::int64_t percent = 100;
        /// Part of the tail latency that stays after its cause has gone, as a share of the target.
        double backlog = 0;
        /// Sum and number of the loads since the last reading.
        double loadSum = 0;
        int loads = 0;
        std::int64_t reading = -1;
    };
    struct SimulatedWorker
    {
        WorkerLife life;
        std::map<TaskKey, SimulatedRun> running;
        std::vector<EndedRow> ended;
        std::uint64_t lastEnd = 0;
        std::uint64_t sequence = 0;
        /// The renewals that wait for an end, by order.
        std::map<std::uint64_t, RenewWorkerLease> waiting;
        /// Cores that nothing has used in the last step.
        double unusedCores = 0;
    };

    /// When a backfill job last had a run, and last made progress; a time in which its turn has
    /// not come counts as both.
    struct JobWait
    {
        Timestamp lastRun;
        Timestamp lastProgress;
    };

    void at(Duration delay, std::function<void()> fn)
    {
        m_events.emplace(m_at.now + delay, std::move(fn));
    }
    void carryOut();
    void start(const StartRun &command);
    void stop(const StopRun &command);
    void pace(const PaceRun &command);
    void end(SimulatedWorker *worker, const TaskKey &task, RunEnd end);
    void renew(const RenewWorkerLease &command);
    void answer(const SimulatedWorker &worker, const RenewWorkerLease &renewal);
    void report(SimulatedWorker *worker);
    void advanceRuns(SimulatedWorker *worker);
    void takeReadings();
    [[nodiscard]] double ownLoad(JobId job) const;
    JobId submit(const JobSpec &spec, const QueueSpec &queue);
    void submitServing();
    void submitBackfill();
    void submitShort();
    /// Submits jobs at the given usual rate until the simulation ends.
    void repeat(double perSecond, bool isEven, const std::function<void()> &fn);
    [[nodiscard]] double factor() const;
    void endBurst();
    void crash(SimulatedWorker *worker);
    void checkJobs();
    void checkSuspects();
    void countLast();
    [[nodiscard]] double uniform();

    ColocationLoad m_load;
    std::mt19937_64 m_random;
    Moment m_at { timestampFromMicroseconds(10'000'000), 1'000'000'000 };
    Timestamp m_beganAt = m_at.now;
    JobScheduler m_scheduler;
    std::multimap<Timestamp, std::function<void()>> m_events;
    std::vector<std::unique_ptr<SimulatedWorker>> m_workers;
    std::unordered_map<std::string, SimulatedWorker *> m_names;
    std::unordered_map<std::uint64_t, std::shared_ptr<JobSpec>> m_jobs;
    std::vector<JobId> m_servingJobs;
    std::unordered_map<JobId, JobWait> m_jobWaits;
    /// Since when there is room for two tasks of each backfill job without a run.
    Timestamp m_roomSince = Timestamp::max();
    /// Since when suspected tasks wait.
    std::map<TaskKey, Timestamp> m_suspects;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_lastRenewal = 0;
    bool m_acceptsLoad = true;
    bool m_hasCrashed = false;
    bool m_isLastPart = false;
    double m_overTargetTime = 0;
    double m_servingTime = 0;
    std::size_t m_lastSamples = 0;
    ColocationResult m_result;
};

} // namespace acaciafork::jobs
