#pragma once

#include <array>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "acaciafork/decisions/jobs/Jobs.h"

namespace acaciafork::jobs {

using namespace std::chrono_literals;

/// Takes the commands, where records of exposures are committed at once: the starts among them may
/// be ordered.
inline Commands takeRecorded(JobScheduler *scheduler, const Moment &at)
{
    Commands commands = scheduler->takeCommands(at);
    for (const Command &it : commands) {
        if (const auto *record = std::get_if<RecordExposures>(&it))
            scheduler->exposuresRecorded(at, record->batch);
    }
    std::erase_if(commands, [&](Command &it) {
        auto *start = std::get_if<StartRun>(&it);
        return start != nullptr && start->recordedBy != 0 && !scheduler->confirmStart(at, start);
    });
    return commands;
}

/// Scheduler with two workers whose answers the test supplies.
struct SchedulerFixture
{
    /// @param[in] workerZones zones of the two workers
    explicit SchedulerFixture(const std::array<std::string, 2> &workerZones = {},
                              const JobSchedulerSettings &settings = {})
        : zones(workerZones)
        , scheduler(settings)
    {
        scheduler.begin(at, { 1 }, {}, {}, {});
        report();
        const std::array names { WorkerName { "w0" }, WorkerName { "w1" } };
        scheduler.workersRecorded(at, names);
        (void)takeRecorded(&scheduler, at);
    }

    /// Both workers report about themselves.
    void report()
    {
        ++sequence;
        for (std::size_t it = 0; it < zones.size(); ++it) {
            scheduler.workerReported(at,
                                     { .life = { .name = { "w" + std::to_string(it) },
                                                 .born = { 1 },
                                                 .pool = "pool",
                                                 .address = "w",
                                                 .zone = zones.at(it),
                                                 .capacity = { 32'000, 128'000, 0 } },
                                       .sequence = sequence,
                                       .clockMs = clockMs(),
                                       .coldFor = coldFor.at(it) });
        }
    }

    void acceptJob(std::uint64_t id, const StepSpec &step,
                   const QueueSpec &queue = { .name = "q", .pool = "pool", .maxAttempts = 3 })
    {
        auto spec = std::make_shared<JobSpec>();
        spec->steps.push_back(step);
        scheduler.jobAccepted(at, { .id = { id }, .queue = queue, .spec = spec });
    }

    void advance(Duration length)
    {
        at.now += length;
        at.wallMicroseconds += length.count();
        scheduler.tick(at);
    }

    template <typename T>
    std::vector<T> take()
    {
        std::vector<T> found;
        for (const Command &it : takeRecorded(&scheduler, at)) {
            if (const auto *command = std::get_if<T>(&it))
                found.push_back(*command);
        }
        return found;
    }

    /// Lets time pass in which both workers report, and returns the runs of a job that start
    /// meanwhile.
    std::vector<StartRun> startsWithin(Duration length, JobId job)
    {
        std::vector<StartRun> starts;
        for (Duration passed {}; passed < length; passed += 100ms) {
            advance(100ms);
            report();
            for (const StartRun &it : take<StartRun>()) {
                if (it.run.task.job == job)
                    starts.push_back(it);
            }
        }
        return starts;
    }

    /// Lets time pass in which both workers report and answer each renewal.
    /// @param[in] ended run ends that both list until they are acknowledged
    /// @return starts that were ordered; the first of them ends the wait
    std::vector<StartRun> answerRenewals(Duration longest, std::span<const EndedRow> ended = {})
    {
        const Timestamp end = at.now + longest;
        std::vector<StartRun> starts;
        while (starts.empty() && at.now < end) {
            advance(100ms);
            report();
            for (const Command &it : takeRecorded(&scheduler, at)) {
                if (const auto *start = std::get_if<StartRun>(&it))
                    starts.push_back(*start);
                if (const auto *renewal = std::get_if<RenewWorkerLease>(&it))
                    answer(*renewal, ended);
            }
        }
        return starts;
    }

    void answer(const RenewWorkerLease &renewal, std::span<const EndedRow> ended)
    {
        RenewalAnswer lists { .sentAt = at.now, .born = renewal.target.born, .clockMs = clockMs() };
        for (const EndedRow &it : ended) {
            if (it.number > renewal.recordedEnds)
                lists.ended.push_back(it);
        }
        scheduler.renewalAnswered(at, renewal.target.worker, renewal.isImmediate,
                                  OrderOutcome::Done, &lists);
    }

    /// Reading of the workers' clocks.
    [[nodiscard]] std::int64_t clockMs() const { return (at.now - beganAt) / 1ms + 1000; }

    const std::array<std::string, 2> zones;
    const Timestamp beganAt = timestampFromMicroseconds(10'000'000);
    Moment at { beganAt, 1'000'000'000 };
    std::uint64_t sequence = 0;
    /// How long each worker says that it stays cold.
    std::array<Duration, 2> coldFor {};
    JobScheduler scheduler;
};

} // namespace acaciafork::jobs
