#include "benchmarks/jobs/SimulatedFleet.h"

#include <algorithm>
#include <random>

namespace acaciafork::jobs {
namespace {

using namespace std::chrono_literals;

constexpr Duration roundTrip = 2ms;
constexpr Duration commitTime = 6ms;
constexpr Duration turnLength = 1ms;
constexpr Duration tickInterval = 10ms;
constexpr Duration reportInterval = 1100ms;
/// Load of a deployment of this size.
constexpr double referenceWorkers = 1800;
constexpr double wideJobsPerSecond = 26.7;
constexpr double smallJobsPerSecond = 22.2;
constexpr std::size_t servingJobs = 350;
constexpr std::uint32_t servingTasks = 24;
constexpr std::size_t workersPerRack = 20;

} // namespace

SimulatedFleet::SimulatedFleet(const FleetOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_scheduler({ .lease = 5800ms, .cautiousBackfill = options.cautiousBackfill })
{
    for (std::size_t it = 0; it < options.workers; ++it) {
        auto worker = std::make_unique<SimulatedWorker>();
        worker->life = { .name = { "worker-" + std::to_string(it) },
                         .born = { 1 },
                         .pool = "pool",
                         .address = "10.0.0.1:8080",
                         .rack = { "rack-" + std::to_string(it / workersPerRack) },
                         .capacity = { it % 3 == 2 ? 48'000 : 32'000, 128'000, 0 } };
        m_names[worker->life.name.value] = worker.get();
        m_workers.push_back(std::move(worker));
    }
}

void SimulatedFleet::at(Timestamp when, std::function<void()> fn)
{
    m_events.emplace(when, std::move(fn));
}

void SimulatedFleet::call(const std::function<void()> &fn)
{
    const auto before = std::chrono::steady_clock::now();
    fn();
    const auto took =
            std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - before);
    m_result.schedulerTime += took;
    m_result.longestTurn = std::max(m_result.longestTurn, took);
}

std::int64_t SimulatedFleet::clockMs() const
{
    return m_at.now.time_since_epoch() / 1ms;
}

Duration SimulatedFleet::interval(double perSecond)
{
    const double seconds = std::exponential_distribution<double>(perSecond)(m_random);
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

FleetResult SimulatedFleet::run()
{
    call([&] { m_scheduler.begin(m_at, { 1 }, {}, {}, {}); });
    for (const auto &it : m_workers) {
        const auto offset = static_cast<std::int64_t>(m_random() % 1'100'000);
        at(m_at.now + Duration(offset), [this, worker = it.get()] { report(worker); });
    }
    const double scale = static_cast<double>(m_options.workers) / referenceWorkers;
    for (int it = 0; it < static_cast<int>(servingJobs * scale); ++it) {
        at(m_at.now + 1500ms + it * 5ms, [this, it] {
            submit({ .count = servingTasks,
                     .size = { 6400, 13'000, 0 },
                     .longRunning = true,
                     .image = "serving-" + std::to_string(it % 16),
                     .tailTarget = 50ms },
                   1, 270ms);
        });
    }
    at(m_at.now + 4s, [this] { submitWide(); });
    at(m_at.now + 4s, [this] { submitSmall(); });
    const Timestamp end = m_at.now + 4s + m_options.length;
    Timestamp nextTick = m_at.now;
    while (m_at.now < end) {
        m_at.now += turnLength;
        m_at.wallMicroseconds += turnLength.count();
        while (!m_events.empty() && m_events.begin()->first <= m_at.now) {
            const auto fn = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            fn();
        }
        if (m_at.now >= nextTick) {
            nextTick += tickInterval;
            call([&] { m_scheduler.tick(m_at); });
        }
        carryOut();
        if (m_at.now < end - m_options.length)
            m_result = {};
    }
    std::ranges::sort(m_result.waits);
    return m_result;
}

void SimulatedFleet::exposuresRecorded(std::uint64_t batch)
{
    call([&] { m_scheduler.exposuresRecorded(m_at, batch); });
    const auto [first, last] = m_unrecordedStarts.equal_range(batch);
    for (auto it = first; it != last; ++it) {
        bool isConfirmed = false;
        call([&] { isConfirmed = m_scheduler.confirmStart(m_at, &it->second); });
        if (isConfirmed)
            start(it->second);
    }
    m_unrecordedStarts.erase(first, last);
}

void SimulatedFleet::carryOut()
{
    Commands commands;
    call([&] { commands = m_scheduler.takeCommands(m_at); });
    for (const Command &command : commands) {
        if (const auto *started = std::get_if<StartRun>(&command)) {
            if (started->recordedBy == 0)
                start(*started);
            else
                m_unrecordedStarts.emplace(started->recordedBy, *started);
        } else if (const auto *stopped = std::get_if<StopRun>(&command)) {
            stop(*stopped);
        } else if (const auto *renewal = std::get_if<RenewWorkerLease>(&command)) {
            renew(*renewal);
        } else if (const auto *ends = std::get_if<RecordEnds>(&command)) {
            at(m_at.now + commitTime, [this, batch = ends->batch] {
                call([&] { m_scheduler.endsRecorded(m_at, batch); });
            });
        } else if (const auto *workers = std::get_if<RecordWorkers>(&command)) {
            std::vector<WorkerName> names;
            for (const WorkerLife &it : workers->put)
                names.push_back(it.name);
            at(m_at.now + commitTime,
               [this, names] { call([&] { m_scheduler.workersRecorded(m_at, names); }); });
        } else if (const auto *exposures = std::get_if<RecordExposures>(&command)) {
            at(m_at.now + commitTime,
               [this, batch = exposures->batch] { exposuresRecorded(batch); });
        } else if (const auto *ended = std::get_if<JobEnded>(&command)) {
            m_result.jobsCompleted += ended->outcome == "completed" ? 1 : 0;
        }
    }
}

void SimulatedFleet::start(const StartRun &command)
{
    ++m_result.starts;
    m_result.waits.push_back(command.waited);
    SimulatedWorker *worker = m_names.at(command.target.name.value);
    const StepSpec &spec = m_jobs.at(command.run.task.job.value)->steps.at(command.run.task.step);
    at(m_at.now + roundTrip / 2, [this, worker, command, spec] {
        worker->running[command.run.task] = command.run.run;
        at(m_at.now + roundTrip / 2, [this, command] {
            call([&] {
                m_scheduler.startAnswered(m_at, command.target.worker, command.run,
                                          OrderOutcome::Done);
            });
        });
        if (!spec.longRunning)
            at(m_at.now + spec.estimate,
               [this, worker, task = command.run.task] { endRun(worker, task, RunEnd::Done); });
    });
}

void SimulatedFleet::stop(const StopRun &command)
{
    SimulatedWorker *worker = m_names.at(command.target.name.value);
    at(m_at.now + roundTrip, [this, worker, command] {
        endRun(worker, command.run.task, RunEnd::Stopped);
        call([&] {
            m_scheduler.stopAnswered(m_at, command.target.worker, command.run, OrderOutcome::Done);
        });
    });
}

void SimulatedFleet::endRun(SimulatedWorker *worker, const TaskKey &task, RunEnd end)
{
    const auto it = worker->running.find(task);
    if (it == worker->running.end())
        return;
    worker->ended.push_back({ .number = ++worker->lastEnd,
                              .run = { .task = task, .run = it->second },
                              .end = end });
    worker->running.erase(it);
    if (worker->waiting != 0)
        answer(worker);
}

void SimulatedFleet::renew(const RenewWorkerLease &command)
{
    ++m_result.renewals;
    SimulatedWorker *worker = m_names.at(command.target.name.value);
    const std::uint64_t number = ++m_lastRenewal;
    at(m_at.now + roundTrip / 2, [this, worker, command, number] {
        std::erase_if(worker->ended,
                      [&](const EndedRow &it) { return it.number <= command.recordedEnds; });
        worker->waiting = number;
        worker->renewal = command;
        if (!worker->ended.empty() || command.wait == Duration {}) {
            answer(worker);
            return;
        }
        at(m_at.now + command.wait, [this, worker, number] {
            if (worker->waiting == number)
                answer(worker);
        });
    });
}

void SimulatedFleet::answer(SimulatedWorker *worker)
{
    worker->waiting = 0;
    RenewalAnswer lists { .sentAt = m_at.now - roundTrip / 2,
                          .born = worker->life.born,
                          .clockMs = clockMs() };
    for (const auto &[task, run] : worker->running)
        lists.running.push_back(
                { .run = { .task = task, .run = run }, .percent = 100, .load = 20 });
    lists.ended = worker->ended;
    at(m_at.now + roundTrip / 2, [this, worker, lists, command = worker->renewal] {
        call([&] {
            m_scheduler.renewalAnswered(m_at, command.target.worker, command.isImmediate,
                                        OrderOutcome::Done, &lists);
        });
        (void)worker;
    });
}

void SimulatedFleet::report(SimulatedWorker *worker)
{
    call([&] {
        m_scheduler.workerReported(
                m_at,
                { .life = worker->life, .sequence = ++worker->sequence, .clockMs = clockMs() });
    });
    at(m_at.now + reportInterval, [this, worker] { report(worker); });
}

void SimulatedFleet::submit(const StepSpec &step, std::uint32_t steps, Duration estimate)
{
    auto spec = std::make_shared<JobSpec>();
    for (std::uint32_t it = 0; it < steps; ++it) {
        spec->steps.push_back(step);
        spec->steps.back().estimate = estimate;
        if (it > 0)
            spec->steps.back().after = { it - 1 };
    }
    const JobId id { ++m_lastJob };
    m_jobs[id.value] = spec;
    call([&] {
        m_scheduler.jobAccepted(m_at,
                                { .id = id,
                                  .queue = { .name = "queue",
                                             .pool = "pool",
                                             .priority = step.fills ? 2U : 0U,
                                             .maxAttempts = 4,
                                             .stretch = 2,
                                             .objective = 1s },
                                  .spec = spec });
    });
}

void SimulatedFleet::submitWide()
{
    const bool fills = m_random() % 5 < 4;
    submit({ .count = 40,
             .size = { 3500, 6400, 0 },
             .checkpoints = true,
             .image = "wide-" + std::to_string(m_random() % 30),
             .fills = fills },
           2, 2300ms);
    const double scale = static_cast<double>(m_options.workers) / referenceWorkers;
    at(m_at.now + interval(wideJobsPerSecond * scale * m_options.load), [this] { submitWide(); });
}

void SimulatedFleet::submitSmall()
{
    submit({ .count = 13, .size = { 10'000, 20'000, 0 } }, m_random() % 5 < 3 ? 2 : 1, 540ms);
    const double scale = static_cast<double>(m_options.workers) / referenceWorkers;
    at(m_at.now + interval(smallJobsPerSecond * scale * m_options.load), [this] { submitSmall(); });
}

} // namespace acaciafork::jobs
