#include "tests/decisions/jobs/ReplayFleet.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "tests/decisions/jobs/SchedulerFixture.h"

namespace acaciafork::jobs {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t workerCount = 90;
constexpr Duration turnLength = 5ms;
constexpr Duration delay = 1ms;
constexpr Duration reportInterval = 1100ms;
/// Serving tasks are placed before the other load begins.
constexpr Duration warmUp = 4s;
constexpr Duration loadLength = 20s;
/// Time in which what was submitted may end.
constexpr Duration rest = 8s;
constexpr Size servingSize { 6400, 13'000, 0 };
constexpr std::int64_t largeMillicores = 17'000;
constexpr double servingTasksBefore = 450;
constexpr Duration lapseDelay = 6s;
constexpr double servingSeconds = 70;

const QueueSpec shortQueue {
    .name = "short", .pool = "pool", .maxAttempts = 4, .stretch = 1.5, .objective = 300ms
};
const QueueSpec servingQueue {
    .name = "serving", .pool = "pool", .maxAttempts = 4, .stretch = 2.2, .objective = 2500ms
};

} // namespace

ReplayFleet::ReplayFleet(const JobSchedulerSettings &settings, std::uint64_t seed,
                         const ReplayLoad &load)
    : m_load(load)
    , m_random(seed)
    , m_scheduler(settings)
{
    for (std::size_t it = 0; it < workerCount; ++it) {
        auto worker = std::make_unique<SimulatedWorker>();
        worker->life = { .name = { "w" + std::to_string(it) },
                         .born = { 1 },
                         .pool = "pool",
                         .address = "w",
                         .rack = { "rack-" + std::to_string(it / 8) },
                         .capacity = { it % 3 == 2 ? 48'000 : 32'000, 125'000, 0 } };
        m_names[worker->life.name.value] = worker.get();
        m_workers.push_back(std::move(worker));
    }
}

Duration ReplayFleet::interval(double perSecond)
{
    const double seconds = std::exponential_distribution<double>(perSecond)(m_random);
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

double ReplayFleet::uniform(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(m_random);
}

ReplayResult ReplayFleet::run()
{
    m_scheduler.begin(m_at, { 1 }, {}, {}, {});
    for (const auto &it : m_workers)
        at(Duration(static_cast<std::int64_t>(uniform(0, 1e6))),
           [this, worker = it.get()] { report(worker); });
    for (int it = 0; it < static_cast<int>(servingTasksBefore) / 10; ++it)
        at(1500ms + it * 10ms, [this] { submitServing(10); });
    const Timestamp loadEnds = m_at.now + warmUp + loadLength;
    const auto repeat = [this, loadEnds](double perSecond, const std::function<void()> &fn) {
        for (Duration when = warmUp; perSecond > 0 && m_at.now + when < loadEnds;
             when += interval(perSecond))
            at(when, fn);
    };
    repeat(m_load.servingJobsPerSecond, [this] { submitServing(5); });
    repeat(m_load.smallJobsPerSecond, [this] { submitSmall(); });
    repeat(m_load.largeJobsPerSecond, [this] { submitLarge(); });
    at(warmUp + lapseDelay, [this] { lapseServingRuns(); });
    while (m_at.now < loadEnds + rest) {
        m_at.now += turnLength;
        m_at.wallMicroseconds += turnLength.count();
        while (!m_events.empty() && m_events.begin()->first <= m_at.now) {
            const auto fn = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            fn();
        }
        m_scheduler.tick(m_at);
        carryOut();
        if (m_at.now < loadEnds)
            checkWaits();
    }
    for (const auto &[id, job] : m_scheduler.jobs().all()) {
        ACACIAFORK_ASSERT(!job->open.empty());
        const Step &step = job->steps().front();
        if (step.spec->longRunning || job->phase != JobPhase::Active)
            continue;
        if (step.spec->size.millicores >= largeMillicores)
            m_result.largeWaits.insert(m_result.largeWaits.end(), step.ready.size(),
                                       m_at.now - step.readyAt);
        else
            m_result.smallTimes.push_back(m_at.now - job->acceptedAt);
    }
    m_result.gapsUsed = m_scheduler.counts().gapsUsed;
    std::ranges::sort(m_result.largeWaits);
    std::ranges::sort(m_result.smallTimes);
    return m_result;
}

void ReplayFleet::checkWaits()
{
    Size two = servingSize;
    two += servingSize;
    bool hasRoom = false;
    bool mayHaveRoom = false;
    for (const auto &[id, worker] : m_scheduler.workers().all()) {
        hasRoom = hasRoom || two.fitsIn(worker->freeCapacity());
        mayHaveRoom = mayHaveRoom
                || worker->life.capacity.millicores - worker->servingMillicores >= largeMillicores;
    }
    m_roomSince = hasRoom ? std::min(m_roomSince, m_at.now) : Timestamp::max();
    m_largeRoomSince = mayHaveRoom ? std::min(m_largeRoomSince, m_at.now) : Timestamp::max();
    for (const auto &[task, since] : m_lostServing)
        m_result.longestLossWait = std::max(m_result.longestLossWait, m_at.now - since);
    for (const auto &[id, job] : m_scheduler.jobs().all()) {
        ACACIAFORK_ASSERT(!job->open.empty());
        const Step &step = job->steps().front();
        if (step.ready.empty())
            continue;
        const auto waitedSince = [&](Timestamp since) {
            return std::max(m_at.now - std::max(since, step.waitingSince), Duration {});
        };
        if (hasRoom && step.spec->longRunning)
            m_result.longestServingWait =
                    std::max(m_result.longestServingWait, waitedSince(m_roomSince));
        if (mayHaveRoom && step.spec->size.millicores >= largeMillicores)
            m_result.longestLargeWait =
                    std::max(m_result.longestLargeWait, waitedSince(m_largeRoomSince));
    }
}

void ReplayFleet::carryOut()
{
    for (const Command &command : takeRecorded(&m_scheduler, m_at)) {
        if (const auto *started = std::get_if<StartRun>(&command)) {
            start(*started);
        } else if (const auto *stopped = std::get_if<StopRun>(&command)) {
            at(delay, [this, order = *stopped] {
                end(m_names.at(order.target.name.value), order.run.task, RunEnd::Stopped);
                m_scheduler.stopAnswered(m_at, order.target.worker, order.run, OrderOutcome::Done);
            });
        } else if (const auto *renewal = std::get_if<RenewWorkerLease>(&command)) {
            renew(*renewal);
        } else if (const auto *ends = std::get_if<RecordEnds>(&command)) {
            at(delay, [this, batch = ends->batch] { m_scheduler.endsRecorded(m_at, batch); });
        } else if (const auto *workers = std::get_if<RecordWorkers>(&command)) {
            std::vector<WorkerName> names;
            for (const WorkerLife &it : workers->put)
                names.push_back(it.name);
            at(delay, [this, names] { m_scheduler.workersRecorded(m_at, names); });
        } else if (const auto *ended = std::get_if<JobEnded>(&command)) {
            const StepSpec &spec = m_jobs.at(ended->job.value)->steps.front();
            if (ended->outcome == "completed" && spec.size.millicores < largeMillicores)
                m_result.smallTimes.push_back(ended->age);
        }
    }
}

void ReplayFleet::start(const StartRun &command)
{
    SimulatedWorker *worker = m_names.at(command.target.name.value);
    const StepSpec &spec = m_jobs.at(command.run.task.job.value)->steps.front();
    if (spec.size.millicores >= largeMillicores)
        m_result.largeWaits.push_back(command.waited);
    worker->running[command.run.task] = command.run.run;
    m_lostServing.erase(command.run.task);
    at(delay, [this, command] {
        m_scheduler.startAnswered(m_at, command.target.worker, command.run, OrderOutcome::Done);
    });
    if (spec.longRunning)
        return;
    const double factor = std::exp(uniform(-0.4, 0.4));
    const auto length =
            static_cast<std::int64_t>(static_cast<double>(spec.estimate.count()) * factor);
    at(Duration(length),
       [this, worker, task = command.run.task] { end(worker, task, RunEnd::Done); });
}

void ReplayFleet::end(SimulatedWorker *worker, const TaskKey &task, RunEnd end)
{
    const auto it = worker->running.find(task);
    if (it == worker->running.end())
        return;
    worker->ended.push_back({ .number = ++worker->lastEnd,
                              .run = { .task = task, .run = it->second },
                              .end = end });
    worker->running.erase(it);
    const std::map<std::uint64_t, RenewWorkerLease> waiting = std::exchange(worker->waiting, {});
    for (const auto &[number, renewal] : waiting)
        answer(*worker, renewal);
}

void ReplayFleet::renew(const RenewWorkerLease &command)
{
    SimulatedWorker *worker = m_names.at(command.target.name.value);
    const std::uint64_t number = ++m_lastRenewal;
    std::erase_if(worker->ended,
                  [&](const EndedRow &it) { return it.number <= command.recordedEnds; });
    if (!worker->ended.empty() || command.wait == Duration {}) {
        answer(*worker, command);
        return;
    }
    worker->waiting[number] = command;
    at(command.wait, [this, worker, number] {
        const auto it = worker->waiting.find(number);
        if (it == worker->waiting.end())
            return;
        answer(*worker, it->second);
        worker->waiting.erase(it);
    });
}

void ReplayFleet::answer(const SimulatedWorker &worker, const RenewWorkerLease &renewal)
{
    RenewalAnswer lists { .sentAt = m_at.now,
                          .born = worker.life.born,
                          .clockMs = m_at.now.time_since_epoch() / 1ms };
    for (const auto &[task, run] : worker.running)
        lists.running.push_back(
                { .run = { .task = task, .run = run }, .percent = 100, .load = 20 });
    lists.ended = worker.ended;
    at(delay, [this, lists, command = renewal] {
        m_scheduler.renewalAnswered(m_at, command.target.worker, command.isImmediate,
                                    OrderOutcome::Done, &lists);
    });
}

void ReplayFleet::report(SimulatedWorker *worker)
{
    m_scheduler.workerReported(m_at,
                               { .life = worker->life,
                                 .sequence = ++worker->sequence,
                                 .clockMs = m_at.now.time_since_epoch() / 1ms });
    at(reportInterval, [this, worker] { report(worker); });
}

JobId ReplayFleet::submit(const StepSpec &step, const QueueSpec &queue)
{
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back(step);
    const JobId id { ++m_lastJob };
    m_jobs[id.value] = spec;
    m_scheduler.jobAccepted(m_at, { .id = id, .queue = queue, .spec = spec });
    return id;
}

void ReplayFleet::submitServing(std::uint32_t tasks)
{
    const JobId id = submit({ .count = tasks,
                              .size = servingSize,
                              .estimate = 270ms,
                              .longRunning = true,
                              .image = "serving-" + std::to_string(m_random() % 5),
                              .tailTarget = 50ms },
                            servingQueue);
    at(warmUp + interval(1 / servingSeconds), [this, id] {
        m_scheduler.jobCancelled(m_at, id);
        std::erase_if(m_lostServing, [id](const auto &it) { return it.first.job == id; });
    });
}

void ReplayFleet::lapseServingRuns()
{
    for (std::size_t it = 0; it < m_load.lapsingWorkers; ++it) {
        SimulatedWorker *worker = m_workers[it * m_workers.size() / m_load.lapsingWorkers].get();
        const std::map<TaskKey, RunNumber> running = worker->running;
        for (const auto &[task, run] : running) {
            if (!m_jobs.at(task.job.value)->steps.front().longRunning)
                continue;
            m_lostServing[task] = m_at.now;
            ++m_result.lostServingTasks;
            end(worker, task, RunEnd::Lapsed);
        }
    }
}

void ReplayFleet::submitSmall()
{
    submit({ .count = static_cast<std::uint32_t>(5 + m_random() % 11),
             .size = { static_cast<std::int64_t>(uniform(2500, 6000)), 5000, 0 },
             .estimate = 700ms },
           shortQueue);
}

void ReplayFleet::submitLarge()
{
    submit({ .count = 4, .size = { largeMillicores, 20'000, 0 }, .estimate = 700ms }, shortQueue);
}

} // namespace acaciafork::jobs
