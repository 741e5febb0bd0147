#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/jobs/Jobs.h"

namespace acaciafork::jobs {

/// What a replay has counted. All lists are sorted.
struct ReplayResult
{
    /// Time from the readiness of each large task to its start, or to the end of the replay.
    std::vector<Duration> largeWaits;
    /// Time from acceptance to completion of the jobs with small tasks, or to the end of the
    /// replay.
    std::vector<Duration> smallTimes;
    /// Longest time for which a serving task waited while there was room for two like it on one
    /// worker.
    Duration longestServingWait {};
    /// Longest time for which a step of large tasks waited without any start while a worker would
    /// have had room but for short tasks.
    Duration longestLargeWait {};
    std::uint64_t gapsUsed = 0;
    /// Longest time for which a serving task that had run was without a run, whether there was room
    /// or not, and the number of such tasks.
    Duration longestLossWait {};
    std::size_t lostServingTasks = 0;
};

/// What a replay submits, and what goes wrong in it.
struct ReplayLoad
{
    double smallJobsPerSecond = 4.5;
    double largeJobsPerSecond = 0.5;
    double servingJobsPerSecond = 1.8;
    /// Number of workers, evenly spread, whose serving runs lapse six seconds after the load began.
    std::size_t lapsingWorkers = 0;
};

/// Replay of a load in virtual time: serving tasks that hold most of the processors and come and
/// go, small tasks that arrive continuously, and a few steps of large tasks. Durations differ from
/// their estimates by a factor of up to 1.5.
class ReplayFleet
{
public:
    ReplayFleet(const JobSchedulerSettings &settings, std::uint64_t seed,
                const ReplayLoad &load = {});
    ReplayResult run();

private:
    struct SimulatedWorker
    {
        WorkerLife life;
        std::map<TaskKey, RunNumber> running;
        std::vector<EndedRow> ended;
        std::uint64_t lastEnd = 0;
        std::uint64_t sequence = 0;
        /// The renewals that wait for an end, by order.
        std::map<std::uint64_t, RenewWorkerLease> waiting;
    };

    void at(Duration delay, std::function<void()> fn)
    {
        m_events.emplace(m_at.now + delay, std::move(fn));
    }
    void carryOut();
    void start(const StartRun &command);
    void end(SimulatedWorker *worker, const TaskKey &task, RunEnd end);
    void renew(const RenewWorkerLease &command);
    void answer(const SimulatedWorker &worker, const RenewWorkerLease &renewal);
    void report(SimulatedWorker *worker);
    JobId submit(const StepSpec &step, const QueueSpec &queue);
    void submitServing(std::uint32_t tasks);
    void submitSmall();
    void submitLarge();
    void lapseServingRuns();
    void checkWaits();
    /// Time to the next arrival at the given rate.
    [[nodiscard]] Duration interval(double perSecond);
    [[nodiscard]] double uniform(double from, double to);

    ReplayLoad m_load;
    RandomGenerator m_random;
    Moment m_at { timestampFromMicroseconds(10'000'000), 1'000'000'000 };
    JobScheduler m_scheduler;
    std::multimap<Timestamp, std::function<void()>> m_events;
    std::vector<std::unique_ptr<SimulatedWorker>> m_workers;
    std::unordered_map<std::string, SimulatedWorker *> m_names;
    std::unordered_map<std::uint64_t, std::shared_ptr<JobSpec>> m_jobs;
    /// Since when some worker has had room for two serving tasks; Timestamp::max() if none has.
    Timestamp m_roomSince = Timestamp::max();
    /// Since when some worker would have room for a large task but for short ones.
    Timestamp m_largeRoomSince = Timestamp::max();
    /// Serving tasks that have lost their run, and when.
    std::map<TaskKey, Timestamp> m_lostServing;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_lastRenewal = 0;
    ReplayResult m_result;
};

} // namespace acaciafork::jobs
