#include "tests/decisions/jobs/ColocationFleet.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <unordered_set>
#include <utility>

namespace acaciafork::jobs {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t workerCount = 48;
constexpr double workerCores = 32;
constexpr double totalCores = workerCount * workerCores;
constexpr Duration turnLength = 10ms;
constexpr Duration delay = 1ms;
constexpr Duration reportInterval = 1100ms;
constexpr Duration readingSpan = 500ms;
/// Time between two steps of what runs on the workers.
constexpr Duration runStep = 20ms;
constexpr double stepSeconds = 0.02;
/// Serving tasks are placed before the other load begins.
constexpr Duration warmUp = 4s;
/// Time after the burst from which waits count.
constexpr Duration settlingTime = 4s;
constexpr Duration lastPart = 20s;

constexpr double servingSeconds = 70;
constexpr double servingCores = 7;
constexpr std::uint32_t servingTasks = 6;
constexpr double fillingSeconds = 1.9;
constexpr double fillingCores = 3.5;
constexpr Size fillingSize { 3500, 6400, 0 };
constexpr std::uint32_t fillingTasks = 8;
constexpr double shortSeconds = 0.54;
constexpr double backfillJobsPerSecond = 4;
constexpr double shortJobsPerSecond = 5;

constexpr std::size_t servingImages = 5;
/// The serving image that bears all backfill images.
constexpr std::size_t robustImage = 4;
/// How frequent the backfill images are, and the pressure that they put on the other serving
/// images.
constexpr std::array frequencies { 0.22, 0.18, 0.14, 0.12, 0.1, 0.08, 0.07, 0.05, 0.04 };
constexpr std::array pressures { 0.0, 0.0, 3.0, 0.0, 4.5, 0.0, 0.0, 6.0, 0.0 };

/// Own load of a serving task: its mean, how far it moves, and how fast.
constexpr double meanLoad = 0.45;
constexpr double loadSwing = 0.5;
constexpr double loadPeriod = 20;
/// Load above which a backlog grows, how fast it does, and its limit.
constexpr double saturation = 0.9;
constexpr double backlogGrowth = 20;
constexpr double maxBacklog = 20;
constexpr double undisturbed = 0.2;
constexpr double backlogHalfLife = 0.5;

const QueueSpec servingQueue { .name = "serving",
                               .pool = "pool",
                               .priority = 1,
                               .maxAttempts = 4,
                               .stretch = 2.2,
                               .objective = 2500ms };
const QueueSpec shortQueue {
    .name = "short", .pool = "pool", .maxAttempts = 4, .stretch = 1.5, .objective = 300ms
};
const QueueSpec backfillQueue { .name = "backfill",
                                .pool = "pool",
                                .priority = 2,
                                .maxAttempts = 4,
                                .stretch = 2,
                                .objective = 1s };

/// Number at the end of the name of an image.
std::size_t imageNumber(const StepSpec &spec)
{
    return static_cast<std::size_t>(spec.image.back() - '0');
}

double coresOf(const StepSpec &spec)
{
    return static_cast<double>(spec.size.millicores) / 1000;
}

} // namespace

ColocationFleet::ColocationFleet(const JobSchedulerSettings &settings, std::uint64_t seed,
                                 const ColocationLoad &load)
    : m_load(load)
    , m_random(seed)
    , m_scheduler(settings)
{
    for (std::size_t it = 0; it < workerCount; ++it) {
        auto worker = std::make_unique<SimulatedWorker>();
        const std::string name = "w" + std::to_string(it);
        worker->life = { .name = { name },
                         .born = { 1 },
                         .pool = "pool",
                         .address = name,
                         .capacity = { 32'000, 128'000, 0 } };
        m_names[name] = worker.get();
        m_workers.push_back(std::move(worker));
    }
}

double ColocationFleet::uniform()
{
    return static_cast<double>(m_random() >> 11U) * 0x1p-53;
}

double ColocationFleet::factor() const
{
    return m_at.now < m_beganAt + warmUp + m_load.burstLength ? m_load.burst : m_load.after;
}

void ColocationFleet::repeat(double perSecond, bool isEven, const std::function<void()> &fn)
{
    if (!m_acceptsLoad || factor() <= 0)
        return;
    const double gap = isEven ? 1 : -std::log(1 - uniform());
    at(Duration(static_cast<std::int64_t>(gap / perSecond / factor() * 1e6)),
       [this, perSecond, isEven, fn] {
           if (!m_acceptsLoad)
               return;
           fn();
           repeat(perSecond, isEven, fn);
       });
}

ColocationResult ColocationFleet::run()
{
    m_scheduler.begin(m_at, { 1 }, {}, {}, {});
    for (const auto &it : m_workers)
        at(Duration(static_cast<std::int64_t>(uniform() * 1e6)),
           [this, worker = it.get()] { report(worker); });
    const double usualTasks = m_load.servingShare * totalCores / servingCores;
    for (int it = 0; it < static_cast<int>(usualTasks / servingTasks); ++it)
        at(1500ms + it * 10ms, [this] { submitServing(); });
    at(warmUp, [this, usualTasks] {
        repeat(usualTasks / servingTasks / servingSeconds, false, [this] { submitServing(); });
        repeat(backfillJobsPerSecond, true, [this] { submitBackfill(); });
        repeat(shortJobsPerSecond, false, [this] { submitShort(); });
    });
    at(warmUp + m_load.burstLength, [this] { endBurst(); });
    const Timestamp endsAt = m_beganAt + warmUp + m_load.length;
    Timestamp nextStep = m_at.now;
    Timestamp nextReadings = m_at.now;
    while (m_at.now < endsAt) {
        m_at.now += turnLength;
        m_at.wallMicroseconds += turnLength.count();
        m_isLastPart = m_at.now >= endsAt - lastPart;
        while (!m_events.empty() && m_events.begin()->first <= m_at.now) {
            const auto fn = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            fn();
        }
        if (m_at.now >= nextStep) {
            nextStep = m_at.now + runStep;
            for (const auto &it : m_workers)
                advanceRuns(it.get());
            checkJobs();
            checkSuspects();
            countLast();
        }
        if (m_at.now >= nextReadings) {
            nextReadings = m_at.now + readingSpan;
            takeReadings();
        }
        m_scheduler.tick(m_at);
        carryOut();
    }
    const double lastSeconds = std::chrono::duration<double>(lastPart).count();
    m_result.arrivedPerSecond /= lastSeconds;
    m_result.donePerSecond /= lastSeconds;
    m_result.pacedShare /= static_cast<double>(std::max<std::size_t>(1, m_lastSamples));
    m_result.overTarget = m_overTargetTime / std::max(1.0, m_servingTime);
    return m_result;
}

void ColocationFleet::endBurst()
{
    m_acceptsLoad = m_load.after > 0;
    double cores = 0;
    for (const JobId it : m_servingJobs)
        cores += coresOf(m_jobs.at(it.value)->steps.front()) * servingTasks;
    while (cores >= m_load.servingShareAfter * totalCores && !m_servingJobs.empty()) {
        const std::size_t n = m_random() % m_servingJobs.size();
        const JobId id = m_servingJobs[n];
        cores -= coresOf(m_jobs.at(id.value)->steps.front()) * servingTasks;
        m_servingJobs.erase(m_servingJobs.begin() + static_cast<std::ptrdiff_t>(n));
        m_scheduler.jobCancelled(m_at, id);
    }
    for (std::size_t it = 0; it < m_load.crashes; ++it)
        crash(m_workers[it * workerCount / m_load.crashes].get());
    m_hasCrashed = m_load.crashes > 0;
}

void ColocationFleet::crash(SimulatedWorker *worker)
{
    for (const auto &[number, renewal] : std::exchange(worker->waiting, {}))
        at(delay, [this, command = renewal] {
            m_scheduler.renewalAnswered(m_at, command.target.worker, command.isImmediate,
                                        OrderOutcome::Unanswered, nullptr);
        });
    worker->running.clear();
    worker->ended.clear();
    worker->lastEnd = 0;
    worker->sequence = 0;
    worker->life.born = { worker->life.born.value + 1 };
    m_scheduler.workerReported(m_at,
                               { .life = worker->life,
                                 .sequence = ++worker->sequence,
                                 .clockMs = m_at.now.time_since_epoch() / 1ms });
}

void ColocationFleet::checkSuspects()
{
    if (!m_hasCrashed)
        return;
    double cores = 0;
    std::int64_t memory = 0;
    for (const auto &[id, job] : m_scheduler.jobs().all()) {
        if (job->phase != JobPhase::Active)
            continue;
        for (const Step &step : job->steps) {
            for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
                const Task &task = step.tasks[it];
                if (task.done || !step.mayStart())
                    continue;
                cores += coresOf(*step.spec);
                memory += step.spec->size.memoryMb;
                const bool waits = task.crashes.isSuspect() && !task.hasRun();
                if (!waits) {
                    m_suspects.erase(step.key(it));
                    continue;
                }
                const auto [entry, isNew] = m_suspects.try_emplace(step.key(it), m_at.now);
                const std::size_t kind = step.spec->fills ? 0 : step.spec->serves() ? 2 : 1;
                m_result.suspects.at(kind) += isNew ? 1 : 0;
                Duration &wait = m_result.suspectWaits.at(kind);
                wait = std::max(wait, m_at.now - entry->second);
            }
        }
    }
    if (2 * cores > totalCores || 2 * memory > std::int64_t { workerCount } * 128'000)
        m_result.hadRoomForAll = false;
}

void ColocationFleet::checkJobs()
{
    const Timestamp countsFrom = m_beganAt + warmUp + m_load.burstLength + settlingTime;
    if (m_at.now < countsFrom)
        return;
    std::unordered_set<JobId> running;
    std::size_t rooms = 0;
    for (const auto &it : m_workers) {
        std::int64_t memory = it->life.capacity.memoryMb;
        for (const auto &[task, run] : it->running) {
            memory -= run.spec->size.memoryMb;
            if (run.spec->fills)
                running.insert(task.job);
        }
        const std::int64_t byMemory = memory / fillingSize.memoryMb;
        rooms += static_cast<std::size_t>(
                std::min(it->unusedCores / fillingCores, static_cast<double>(byMemory)));
    }
    std::vector<JobWait *> waiting;
    for (const auto &[id, job] : m_scheduler.jobs().all()) {
        if (!job->steps.front().spec->fills || job->phase != JobPhase::Active)
            continue;
        JobWait &wait =
                m_jobWaits
                        .try_emplace(id, JobWait { .lastRun = m_at.now, .lastProgress = m_at.now })
                        .first->second;
        const bool hasTurn = std::ranges::any_of(job->steps, [](const Step &step) {
            return step.mayStart() && step.remainingTasks > 0;
        });
        if (!hasTurn || running.contains(id))
            wait.lastRun = m_at.now;
        if (!hasTurn)
            wait.lastProgress = m_at.now;
        waiting.push_back(&wait);
    }
    const auto without = std::ranges::count_if(
            waiting, [&](const JobWait *it) { return it->lastRun < m_at.now; });
    const bool hasRoom = rooms >= 2 * static_cast<std::size_t>(without);
    m_roomSince = hasRoom ? std::min(m_roomSince, m_at.now) : Timestamp::max();
    if (!hasRoom)
        return;
    const Timestamp from = std::max(m_roomSince, countsFrom);
    for (const JobWait *it : waiting) {
        m_result.longestJobWait =
                std::max(m_result.longestJobWait, m_at.now - std::max(from, it->lastRun));
        m_result.longestStandstill =
                std::max(m_result.longestStandstill, m_at.now - std::max(from, it->lastProgress));
    }
    m_result.timeWithRoom += runStep;
}

void ColocationFleet::countLast()
{
    if (!m_isLastPart)
        return;
    ++m_lastSamples;
    const auto &workers = m_scheduler.workers().all();
    const auto paced = std::ranges::count_if(
            workers, [](const auto &it) { return it.second->backfillPercent < wholePercent; });
    m_result.pacedShare += static_cast<double>(paced) / static_cast<double>(workers.size());
}

double ColocationFleet::ownLoad(JobId job) const
{
    const double seconds = std::chrono::duration<double>(m_at.now - m_beganAt).count();
    const double phase = static_cast<double>(job.value * 37 % 100) / 100;
    return meanLoad
            * (1 + loadSwing * std::sin(2 * std::numbers::pi * (seconds / loadPeriod + phase)));
}

void ColocationFleet::advanceRuns(SimulatedWorker *worker)
{
    double used = 0;
    double wanted = 0;
    /// Load that backfill tasks would add to a serving task if they got what they ask for.
    double pressed = 0;
    for (const auto &[task, run] : worker->running) {
        const double cores = coresOf(*run.spec);
        if (run.spec->fills) {
            const double asked = cores * static_cast<double>(run.percent) / wholePercent;
            wanted += asked;
            pressed += pressures.at(imageNumber(*run.spec)) * asked / workerCores;
        } else {
            used += run.spec->serves() ? cores * ownLoad(task.job) : cores;
        }
    }
    const double unused = std::max(workerCores - used, 0.0);
    const double part = wanted > unused ? unused / wanted : 1;
    worker->unusedCores = unused - wanted * part;
    std::vector<TaskKey> done;
    for (auto &[task, run] : worker->running) {
        if (run.spec->serves()) {
            const double u = ownLoad(task.job)
                    + (imageNumber(*run.spec) == robustImage ? 0 : pressed * part);
            if (u > saturation)
                run.backlog = std::min(
                        maxBacklog, run.backlog + (u - saturation) * backlogGrowth * stepSeconds);
            else
                run.backlog *= std::exp2(-stepSeconds / backlogHalfLife);
            const double ratio = undisturbed / (1 - std::min(u, saturation)) + run.backlog;
            run.loadSum += ratio * static_cast<double>(run.spec->tailTarget / 1ms);
            m_servingTime += stepSeconds;
            m_overTargetTime += ratio > 1 ? stepSeconds : 0;
        } else {
            const double share =
                    run.spec->fills ? static_cast<double>(run.percent) / wholePercent * part : 1;
            run.progress += share * stepSeconds;
            run.loadSum += share * static_cast<double>(run.spec->size.millicores);
            if (run.spec->fills && share > 0) {
                if (const auto it = m_jobWaits.find(task.job); it != m_jobWaits.end())
                    it->second.lastProgress = m_at.now;
                if (m_isLastPart)
                    m_result.donePerSecond += share * stepSeconds * coresOf(*run.spec);
            }
            if (run.progress >= (run.spec->fills ? fillingSeconds : shortSeconds))
                done.push_back(task);
        }
        ++run.loads;
    }
    for (const TaskKey &it : done)
        end(worker, it, RunEnd::Done);
}

void ColocationFleet::takeReadings()
{
    for (const auto &worker : m_workers) {
        for (auto &[task, run] : worker->running) {
            if (run.loads > 0)
                run.reading = static_cast<std::int64_t>(run.loadSum / run.loads);
            run.loadSum = 0;
            run.loads = 0;
        }
    }
}

void ColocationFleet::carryOut()
{
    for (const Command &command : m_scheduler.takeCommands(m_at)) {
        if (const auto *started = std::get_if<StartRun>(&command)) {
            start(*started);
        } else if (const auto *stopped = std::get_if<StopRun>(&command)) {
            stop(*stopped);
        } else if (const auto *paced = std::get_if<PaceRun>(&command)) {
            pace(*paced);
        } else if (const auto *renewal = std::get_if<RenewWorkerLease>(&command)) {
            renew(*renewal);
        } else if (const auto *ends = std::get_if<RecordEnds>(&command)) {
            at(delay, [this, batch = ends->batch] { m_scheduler.endsRecorded(m_at, batch); });
        } else if (const auto *exposures = std::get_if<RecordExposures>(&command)) {
            at(delay,
               [this, batch = exposures->batch] { m_scheduler.exposuresRecorded(m_at, batch); });
        } else if (const auto *workers = std::get_if<RecordWorkers>(&command)) {
            std::vector<WorkerName> names;
            for (const WorkerLife &it : workers->put)
                names.push_back(it.name);
            at(delay, [this, names] { m_scheduler.workersRecorded(m_at, names); });
        }
    }
}

void ColocationFleet::start(const StartRun &command)
{
    SimulatedWorker *worker = m_names.at(command.target.name.value);
    OrderOutcome outcome = OrderOutcome::OtherLife;
    if (worker->life.born == command.target.born) {
        outcome = OrderOutcome::Done;
        const TaskKey &task = command.run.task;
        worker->running[task] = { .number = command.run.run,
                                  .spec = &m_jobs.at(task.job.value)->steps[task.step],
                                  .progress = command.checkpoint.empty()
                                          ? 0
                                          : std::stod(command.checkpoint) };
    }
    at(delay, [this, command, outcome] {
        m_scheduler.startAnswered(m_at, command.target.worker, command.run, outcome);
    });
}

void ColocationFleet::stop(const StopRun &command)
{
    at(delay, [this, command] {
        SimulatedWorker *worker = m_names.at(command.target.name.value);
        const bool isSame = worker->life.born == command.target.born;
        const auto it = worker->running.find(command.run.task);
        if (isSame && it != worker->running.end() && it->second.number == command.run.run)
            end(worker, command.run.task, RunEnd::Stopped);
        m_scheduler.stopAnswered(m_at, command.target.worker, command.run,
                                 isSame ? OrderOutcome::Done : OrderOutcome::OtherLife);
    });
}

void ColocationFleet::pace(const PaceRun &command)
{
    at(delay, [this, command] {
        SimulatedWorker *worker = m_names.at(command.target.name.value);
        const auto it = worker->running.find(command.run.task);
        if (it != worker->running.end() && it->second.number == command.run.run)
            it->second.percent = command.percent;
    });
}

void ColocationFleet::end(SimulatedWorker *worker, const TaskKey &task, RunEnd end)
{
    const auto it = worker->running.find(task);
    worker->ended.push_back({ .number = ++worker->lastEnd,
                              .run = { .task = task, .run = it->second.number },
                              .end = end,
                              .checkpoint = it->second.spec->checkpoints
                                      ? std::to_string(it->second.progress)
                                      : "" });
    worker->running.erase(it);
    for (const auto &[number, renewal] : std::exchange(worker->waiting, {}))
        answer(*worker, renewal);
}

void ColocationFleet::renew(const RenewWorkerLease &command)
{
    SimulatedWorker *worker = m_names.at(command.target.name.value);
    const std::uint64_t number = ++m_lastRenewal;
    if (worker->life.born == command.target.born)
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

void ColocationFleet::answer(const SimulatedWorker &worker, const RenewWorkerLease &renewal)
{
    RenewalAnswer lists { .sentAt = m_at.now,
                          .born = worker.life.born,
                          .clockMs = m_at.now.time_since_epoch() / 1ms };
    for (const auto &[task, run] : worker.running) {
        const bool isShort = !run.spec->serves();
        const double work = run.spec->fills ? fillingSeconds : shortSeconds;
        lists.running.push_back(
                { .run = { .task = task, .run = run.number },
                  .checkpoint = run.spec->checkpoints ? std::to_string(run.progress) : "",
                  .percent = isShort ? static_cast<std::int64_t>(99 * run.progress / work) : 100,
                  .load = run.reading });
    }
    lists.ended = worker.ended;
    at(delay, [this, lists, command = renewal] {
        m_scheduler.renewalAnswered(m_at, command.target.worker, command.isImmediate,
                                    OrderOutcome::Done, &lists);
    });
}

void ColocationFleet::report(SimulatedWorker *worker)
{
    m_scheduler.workerReported(m_at,
                               { .life = worker->life,
                                 .sequence = ++worker->sequence,
                                 .clockMs = m_at.now.time_since_epoch() / 1ms });
    at(reportInterval, [this, worker] { report(worker); });
}

JobId ColocationFleet::submit(const JobSpec &spec, const QueueSpec &queue)
{
    const auto shared = std::make_shared<JobSpec>(spec);
    const JobId id { ++m_lastJob };
    m_jobs[id.value] = shared;
    m_scheduler.jobAccepted(m_at, { .id = id, .queue = queue, .spec = shared });
    return id;
}

void ColocationFleet::submitServing()
{
    const std::string image = "serving-" + std::to_string(m_random() % servingImages);
    const auto millicores = static_cast<std::int64_t>(5000 + 4000 * uniform());
    const std::uint32_t maxPerWorker = m_random() % 2;
    const JobId id = submit({ .steps = { { .count = servingTasks,
                                           .size = { millicores, 13'000, 0 },
                                           .estimate = 270ms,
                                           .maxPerWorker = maxPerWorker,
                                           .longRunning = true,
                                           .image = image,
                                           .tailTarget = 125ms } } },
                            servingQueue);
    m_servingJobs.push_back(id);
    const double stay = -std::log(1 - uniform()) * servingSeconds;
    at(Duration(static_cast<std::int64_t>(stay * 1e6)), [this, id] {
        if (std::erase(m_servingJobs, id) > 0)
            m_scheduler.jobCancelled(m_at, id);
    });
}

void ColocationFleet::submitBackfill()
{
    double rest = uniform();
    std::size_t image = 0;
    while (image + 1 < frequencies.size() && rest >= frequencies.at(image))
        rest -= frequencies.at(image++);
    StepSpec step { .count = fillingTasks,
                    .size = fillingSize,
                    .estimate = 1900ms,
                    .checkpoints = true,
                    .image = "filling-" + std::to_string(image),
                    .fills = true };
    StepSpec second = step;
    second.after = { 0 };
    submit({ .steps = { step, second } }, backfillQueue);
    if (m_isLastPart)
        m_result.arrivedPerSecond += 2 * fillingTasks * fillingCores * fillingSeconds;
}

void ColocationFleet::submitShort()
{
    submit({ .steps = { { .count = 6, .size = { 2300, 3000, 0 }, .estimate = 540ms } } },
           shortQueue);
}

} // namespace acaciafork::jobs
