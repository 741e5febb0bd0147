#include <algorithm>
#include <array>

#include "acaciafork/decisions/jobs/JobScheduler.h"
#include "acaciafork/decisions/jobs/TaskState.h"

// Periodic log events: the state of the fleet, and the tasks and steps that wait for long.

namespace acaciafork::jobs {
namespace {

constexpr std::int64_t millicoresPerCore = 1000;
/// A step counts as blocked when none of its waiting tasks has started for this long.
constexpr Duration blockedAfter = std::chrono::seconds(3);
/// Maximum number of blocked steps, and of waiting tasks in each state, logged at a time.
constexpr std::size_t maxLoggedSteps = 3;
constexpr std::size_t maxLoggedTasks = 3;
constexpr std::size_t maxLoggedLongRunning = 8;

} // namespace

void JobScheduler::logSummary(Timestamp now)
{
    std::int64_t capacity = 0;
    std::int64_t serving = 0;
    std::int64_t filling = 0;
    std::int64_t other = 0;
    std::size_t usable = 0;
    std::size_t paced = 0;
    std::size_t unknown = 0;
    std::size_t stoppingRuns = 0;
    Duration longestStart {};
    Duration longestStop {};
    for (const auto &[id, worker] : m_workers.all()) {
        capacity += worker->life.capacity.millicores;
        serving += worker->servingMillicores;
        filling += worker->backfillMillicores;
        other += worker->used.millicores - worker->servingMillicores;
        usable += m_placer.isUsable(now, *worker) ? 1 : 0;
        paced += worker->backfillPercent < 100 ? 1 : 0;
        unknown += worker->isKnown ? 0 : 1;
        for (const RunRef &it : worker->runs) {
            const Run &run = it.get();
            if (run.phase == RunPhase::Starting)
                longestStart = std::max(longestStart, now - run.startedAt);
            if (run.phase != RunPhase::Stopping)
                continue;
            ++stoppingRuns;
            longestStop = std::max(longestStop, now - run.stoppingSince);
        }
    }
    std::map<std::string_view, std::size_t> ready;
    for (const auto &[rank, step] : m_order.steps())
        ready[step->job->queue] += step->ready.size();
    std::string detail = "workers=" + std::to_string(m_workers.all().size())
            + " usable=" + std::to_string(usable) + " paced=" + std::to_string(paced)
            + " stopping=" + std::to_string(stoppingRuns)
            + " cores=" + std::to_string(capacity / millicoresPerCore)
            + " serving=" + std::to_string(serving / millicoresPerCore)
            + " filling=" + std::to_string(filling / millicoresPerCore) + " other="
            + std::to_string(other / millicoresPerCore) + " unknown=" + std::to_string(unknown)
            + " taking-over=" + std::to_string(m_isTakingOver ? 1 : 0)
            + " longest-start-ms=" + std::to_string(longestStart / std::chrono::milliseconds(1))
            + " longest-stop-ms=" + std::to_string(longestStop / std::chrono::milliseconds(1))
            + " permit-requests=" + std::to_string(m_permitRequestsInFlight)
            + " suspects=" + std::to_string(m_waitingSuspects.size())
            + " trials=" + std::to_string(trialsInProgress());
    for (const auto &[queue, count] : ready)
        detail += " ready." + std::string(queue) + '=' + std::to_string(count);
    note("fleet", {}, nullptr, std::move(detail));
}

void JobScheduler::logBlockedSteps(Timestamp now)
{
    std::vector<const Step *> blocked;
    m_counts.longestWait = {};
    for (const auto &[rank, step] : m_order.steps()) {
        const Duration waited = now - step->waitingSince;
        m_counts.longestWait = std::max(m_counts.longestWait, waited);
        if (waited >= blockedAfter)
            blocked.push_back(step);
    }
    m_counts.blockedSteps = blocked.size();
    const std::size_t n = std::min(maxLoggedSteps, blocked.size());
    std::ranges::partial_sort(blocked, blocked.begin() + static_cast<std::ptrdiff_t>(n), {},
                              &Step::waitingSince);
    blocked.resize(n);
    for (const Step *step : blocked) {
        std::string detail = "waited-ms="
                + std::to_string((now - step->waitingSince) / std::chrono::milliseconds(1))
                + " tried-ms-ago="
                + std::to_string((now - step->lastTriedAt) / std::chrono::milliseconds(1))
                + " ready=" + std::to_string(step->ready.size())
                + " remaining=" + std::to_string(step->remainingTasks) + " blocked-steps="
                + std::to_string(m_counts.blockedSteps) + describeObstacles(now, *step);
        note("step-blocked", { .task = step->key(step->ready.front()), .run = {} }, nullptr,
             std::move(detail));
    }
}

void JobScheduler::logBackfill(Timestamp now)
{
    std::size_t runs = 0;
    std::size_t overdue = 0;
    std::size_t slowed = 0;
    std::int64_t used = 0;
    std::int64_t asked = 0;
    for (const auto &[id, worker] : m_workers.all()) {
        asked += worker->backfillMillicores;
        for (const RunRef &it : worker->runs) {
            const Run &run = it.get();
            if (!it.task.step->spec->fills)
                continue;
            ++runs;
            overdue += run.isOverdue ? 1 : 0;
            slowed += run.percent < wholePercent ? 1 : 0;
            used += std::max<std::int64_t>(run.load, 0);
        }
    }
    /// The waiting tasks of one image, and the first of its steps in order.
    struct Waiting
    {
        const Step *first = nullptr;
        std::size_t tasks = 0;
        std::size_t steps = 0;
    };
    std::map<std::string_view, Waiting> images;
    for (const auto &[rank, step] : m_order.steps()) {
        if (!step->spec->fills)
            continue;
        Waiting &waiting = images[step->spec->image];
        waiting.first = waiting.first == nullptr ? step : waiting.first;
        waiting.tasks += step->ready.size();
        ++waiting.steps;
    }
    if (runs == 0 && images.empty())
        return;
    const auto [pairs, interfering] = m_interference.countPairs(m_settings.placer.maxInterference);
    note("backfill", {}, nullptr,
         "runs=" + std::to_string(runs) + " overdue=" + std::to_string(overdue) + " slowed="
                 + std::to_string(slowed) + " asked=" + std::to_string(asked / millicoresPerCore)
                 + " used=" + std::to_string(used / millicoresPerCore)
                 + " waiting-images=" + std::to_string(images.size())
                 + " pairs=" + std::to_string(pairs) + " interfering=" + std::to_string(interfering)
                 + " open-workers=" + std::to_string(m_counts.openWorkers) + " longest-turn-ms="
                 + std::to_string(m_turns.longestWait() / std::chrono::milliseconds(1))
                 + " moved=" + std::to_string(m_counts.relocations));
    std::vector<Waiting> longest;
    longest.reserve(images.size());
    for (const auto &[image, waiting] : images)
        longest.push_back(waiting);
    const std::size_t n = std::min(maxLoggedSteps, longest.size());
    std::ranges::partial_sort(longest, longest.begin() + static_cast<std::ptrdiff_t>(n),
                              std::ranges::greater(), &Waiting::tasks);
    for (const Waiting &it : std::span(longest).first(n))
        note("image-waits", { .task = it.first->key(it.first->ready.front()), .run = {} }, nullptr,
             "image=" + it.first->spec->image + " ready=" + std::to_string(it.tasks)
                     + " steps=" + std::to_string(it.steps) + describeObstacles(now, *it.first));
}

std::string JobScheduler::describeObstacles(Timestamp now, const Step &step) const
{
    std::array<std::size_t, placementObstacleCount> workers {};
    for (const auto &[id, worker] : m_workers.all())
        ++workers.at(static_cast<std::size_t>(m_placer.findObstacle(now, *worker, step)));
    std::string detail;
    for (std::size_t it = 0; it < workers.size(); ++it) {
        if (workers.at(it) > 0)
            detail += " workers." + std::string(placementObstacleName(PlacementObstacle(it))) + '='
                    + std::to_string(workers.at(it));
    }
    return detail;
}

void JobScheduler::logWaitingTasks(Timestamp now)
{
    struct Waiting
    {
        Duration waited;
        TaskRef task;
    };
    std::array<std::vector<Waiting>, taskStateCount> waiting;
    std::array<std::size_t, taskStateCount> counts {};
    m_counts.longestTaskWait = {};
    for (const auto &[id, job] : m_jobs.all()) {
        if (job->phase != JobPhase::Active)
            continue;
        for (Step &step : job->steps()) {
            const std::vector<bool> listed = listedTasks(step);
            for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
                const TaskRef task { .step = &step, .task = it };
                const TaskState state = stateOf(task, m_isTakingOver, listed);
                const auto index = static_cast<std::size_t>(state);
                ++counts.at(index);
                if (!isWaiting(state))
                    continue;
                const Duration waited = waitedFor(now, task);
                m_counts.longestTaskWait = std::max(m_counts.longestTaskWait, waited);
                if (waited >= blockedAfter || state == TaskState::Astray)
                    waiting.at(index).push_back({ .waited = waited, .task = task });
            }
        }
    }
    m_counts.astrayTasks = counts.at(static_cast<std::size_t>(TaskState::Astray));
    std::string detail =
            "longest-ms=" + std::to_string(m_counts.longestTaskWait / std::chrono::milliseconds(1));
    for (std::size_t it = 0; it < counts.size(); ++it) {
        if (counts.at(it) > 0)
            detail += " " + std::string(taskStateName(TaskState(it))) + '='
                    + std::to_string(counts.at(it));
    }
    note("tasks", {}, nullptr, std::move(detail));
    for (std::size_t state = 0; state < waiting.size(); ++state) {
        std::vector<Waiting> &tasks = waiting.at(state);
        const std::size_t n = std::min(maxLoggedTasks, tasks.size());
        std::ranges::partial_sort(tasks, tasks.begin() + static_cast<std::ptrdiff_t>(n),
                                  std::ranges::greater(), &Waiting::waited);
        for (const Waiting &it : std::span(tasks).first(n)) {
            const Run &run = it.task.get().record().runs[0];
            note("task-waits", { .task = it.task.key(), .run = run.number },
                 run.exists() ? m_workers.find(run.worker) : nullptr,
                 "state=" + std::string(taskStateName(TaskState(state)))
                         + " waited-ms=" + std::to_string(it.waited / std::chrono::milliseconds(1))
                         + " crashes=" + std::to_string(it.task.get().crashes().crashes())
                         + " waiting-tasks=" + std::to_string(tasks.size()));
        }
    }
}

void JobScheduler::logLongRunningWaits(Timestamp now)
{
    struct Waiting
    {
        TaskRef longest;
        Duration waited {};
        std::size_t tasks = 0;
    };
    std::vector<Waiting> steps;
    std::array<std::size_t, taskStateCount> counts {};
    m_counts.longestLongRunningWait = {};
    m_counts.waitingLongRunning = 0;
    for (const auto &[id, job] : m_jobs.all()) {
        if (job->phase != JobPhase::Active)
            continue;
        for (Step &step : job->steps()) {
            if (!step.spec->longRunning)
                continue;
            Waiting waiting;
            const std::vector<bool> listed = listedTasks(step);
            for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
                const TaskRef task { .step = &step, .task = it };
                const TaskState state = stateOf(task, m_isTakingOver, listed);
                const Duration waited = isWaiting(state) ? waitedFor(now, task) : Duration {};
                m_counts.longestLongRunningWait = std::max(m_counts.longestLongRunningWait, waited);
                if (waited < blockedAfter)
                    continue;
                ++counts.at(static_cast<std::size_t>(state));
                ++waiting.tasks;
                if (waited > waiting.waited) {
                    waiting.longest = task;
                    waiting.waited = waited;
                }
            }
            m_counts.waitingLongRunning += waiting.tasks;
            if (waiting.tasks > 0)
                steps.push_back(waiting);
        }
    }
    const std::uint64_t passedOver = m_counts.passedOver - m_passedOverBefore;
    m_passedOverBefore = m_counts.passedOver;
    if (steps.empty())
        return;
    std::string detail = "tasks=" + std::to_string(m_counts.waitingLongRunning)
            + " steps=" + std::to_string(steps.size()) + " longest-ms="
            + std::to_string(m_counts.longestLongRunningWait / std::chrono::milliseconds(1))
            + " passed-over=" + std::to_string(passedOver);
    for (std::size_t it = 0; it < counts.size(); ++it) {
        if (counts.at(it) > 0)
            detail += " " + std::string(taskStateName(TaskState(it))) + '='
                    + std::to_string(counts.at(it));
    }
    note("long-running-waits", {}, nullptr, std::move(detail));
    const std::size_t n = std::min(maxLoggedLongRunning, steps.size());
    std::ranges::partial_sort(steps, steps.begin() + static_cast<std::ptrdiff_t>(n),
                              std::ranges::greater(), &Waiting::waited);
    for (const Waiting &it : std::span(steps).first(n)) {
        const Step &step = *it.longest.step;
        note("long-running-step-waits", { .task = it.longest.key(), .run = {} }, nullptr,
             "waited-ms=" + std::to_string(it.waited / std::chrono::milliseconds(1))
                     + " tasks=" + std::to_string(it.tasks) + " state="
                     + std::string(taskStateName(stateOf(it.longest, m_isTakingOver))) + " kept="
                     + std::to_string(m_gaps.keptFor(step)) + describeObstacles(now, step));
    }
}

void JobScheduler::logMemory()
{
    const JobMemory &memory = m_jobs.memory();
    std::size_t open = 0;
    for (const auto &[id, job] : m_jobs.all())
        open += job->open.size();
    note("job-memory", {}, nullptr,
         "jobs=" + std::to_string(m_jobs.all().size()) + " occurrences=" + std::to_string(open)
                 + " waiting-jobs=" + std::to_string(m_occurrences.dueJobs())
                 + " definition-bytes=" + std::to_string(memory.definitions())
                 + " occurrence-bytes=" + std::to_string(memory.occurrences()) + " record-bytes="
                 + std::to_string(memory.records()) + " budget=" + std::to_string(memory.budget()));
}

void JobScheduler::logTakeover(Timestamp now)
{
    if (!m_isTakingOver)
        return;
    const std::vector<const Worker *> unseen = unseenWorkers(now);
    if (unseen.empty())
        return;
    const Worker *longest = *std::ranges::max_element(
            unseen, {}, [](const Worker *it) { return it->lease.expiresAt(); });
    note("take-over-waits", {}, longest,
         "since-ms=" + std::to_string((now - m_tenureBeganAt) / std::chrono::milliseconds(1))
                 + " workers=" + std::to_string(unseen.size()) + " lease-ms="
                 + std::to_string((longest->lease.expiresAt() - now) / std::chrono::milliseconds(1))
                 + " unanswered=" + std::to_string(longest->unansweredRenewals));
}

} // namespace acaciafork::jobs
