#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/jobs/Jobs.h"

namespace acaciafork::jobs {

/// Size and load of a simulated fleet.
struct FleetOptions
{
    std::size_t workers = 1800;
    /// Load relative to that of a deployment of 1,800 workers that uses about half of its
    /// capacity: 27 wide jobs and 22 small jobs a second.
    double load = 1;
    /// Simulated time.
    Duration length = std::chrono::seconds(10);
    std::uint64_t seed = 1;
    /// JobSchedulerSettings::cautiousBackfill.
    bool cautiousBackfill = false;
};

/// What a simulation has counted.
struct FleetResult
{
    /// Time that the scheduler itself took, and its longest turn.
    Duration schedulerTime {};
    Duration longestTurn {};
    std::uint64_t starts = 0;
    std::uint64_t renewals = 0;
    std::uint64_t jobsCompleted = 0;
    /// Times from readiness to start, sorted.
    std::vector<Duration> waits;
};

/// Runs the job scheduler against simulated workers in virtual time.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(const FleetOptions &options);
    FleetResult run();

private:
    struct SimulatedWorker
    {
        WorkerLife life;
        std::map<TaskKey, RunNumber> running;
        std::vector<EndedRow> ended;
        std::uint64_t lastEnd = 0;
        std::uint64_t sequence = 0;
        /// The renewal that waits for an end; of order `waiting`, zero for none.
        std::uint64_t waiting = 0;
        RenewWorkerLease renewal;
    };

    void at(Timestamp when, std::function<void()> fn);
    /// Calls the scheduler and adds the time that it takes.
    void call(const std::function<void()> &fn);
    void exposuresRecorded(std::uint64_t batch);
    void carryOut();
    void start(const StartRun &command);
    void stop(const StopRun &command);
    void renew(const RenewWorkerLease &command);
    void answer(SimulatedWorker *worker);
    void endRun(SimulatedWorker *worker, const TaskKey &task, RunEnd end);
    void report(SimulatedWorker *worker);
    void submit(const StepSpec &step, std::uint32_t steps, Duration estimate);
    void submitWide();
    void submitSmall();
    [[nodiscard]] std::int64_t clockMs() const;
    [[nodiscard]] Duration interval(double perSecond);

    FleetOptions m_options;
    RandomGenerator m_random;
    Moment m_at { timestampFromMicroseconds(10'000'000), 1'000'000'000 };
    JobScheduler m_scheduler;
    /// Starts that wait for their record, by its batch.
    std::multimap<std::uint64_t, StartRun> m_unrecordedStarts;
    std::multimap<Timestamp, std::function<void()>> m_events;
    std::vector<std::unique_ptr<SimulatedWorker>> m_workers;
    std::unordered_map<std::string, SimulatedWorker *> m_names;
    std::unordered_map<std::uint64_t, std::shared_ptr<JobSpec>> m_jobs;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_lastRenewal = 0;
    FleetResult m_result;
};

} // namespace acaciafork::jobs
