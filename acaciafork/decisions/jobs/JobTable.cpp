#include "acaciafork/decisions/jobs/JobTable.h"

#include <algorithm>
#include <set>
#include <span>

namespace acaciafork::jobs {

TaskKey Step::key(std::uint32_t task) const
{
    return { .job = job->id, .occurrence = occurrence, .step = number, .task = task };
}

void Step::clearUnseenSuccessors() const
{
    // Steps come after those that they wait for.
    const std::size_t stepsPerOccurrence = job->spec->steps.size();
    const std::span<Step> steps =
            std::span(job->steps).subspan(occurrence * stepsPerOccurrence, stepsPerOccurrence);
    for (Step &later : steps.subspan(number + 1)) {
        const bool waits = std::ranges::any_of(later.spec->after, [&](std::uint32_t it) {
            return it == number || (it > number && it < later.number && !steps[it].mayRunUnseen);
        });
        if (waits)
            later.mayRunUnseen = false;
    }
}

StepPermits *Step::permits() const
{
    return job->advice ? knownPermits.get() : nullptr;
}

Timestamp Step::firstReadySince() const
{
    Timestamp first = Timestamp::max();
    for (const std::uint32_t it : ready)
        first = std::min(first, tasks[it].idleSince);
    return first;
}

Timestamp Step::firstDisplacedSince() const
{
    if (job->isInherited && job->hasBegun)
        return firstReadySince();
    Timestamp first = Timestamp::max();
    for (const std::uint32_t it : ready) {
        if (tasks[it].hasRunBefore)
            first = std::min(first, tasks[it].idleSince);
    }
    return first;
}

void Step::updateCheckpoint(Task *task, const std::string &checkpoint)
{
    if (checkpoint.empty())
        return;
    task->checkpoint = checkpoint;
    if (spec->gang)
        gangCheckpoint = checkpoint;
}

void Job::follow(const QueueSpec &definition)
{
    queue = definition.name;
    queueAddress = definition.address;
    priority = definition.priority;
    maxAttempts = std::max<std::uint32_t>(definition.maxAttempts, 1);
    pool = definition.pool;
    guardsCapacity = definition.guardsCapacity;
    advice = definition.advice;
    objective = objectiveOf(*spec, definition);
    for (Step &it : steps) {
        if (advice && it.knownPermits == nullptr)
            it.knownPermits = std::make_unique<StepPermits>();
    }
}

bool Job::isAtWork() const
{
    if (runCount == 0)
        return false;
    return std::ranges::any_of(steps, [](const Step &step) {
        return std::ranges::any_of(step.tasks, [](const Task &task) {
            return std::ranges::any_of(task.runs, [](const Run &run) {
                return run.phase == RunPhase::Recording || run.phase == RunPhase::Starting
                        || run.phase == RunPhase::Running;
            });
        });
    });
}

Duration objectiveOf(const JobSpec &spec, const QueueSpec &queue)
{
    const auto chain = static_cast<double>(spec.criticalPath().count());
    return Duration(static_cast<std::int64_t>(chain * queue.stretch)) + queue.objective;
}

Job *JobTable::add(Timestamp now, std::int64_t wallUs, const JobView &view, const QueueSpec &queue)
{
    auto job = std::make_unique<Job>();
    job->id = view.id;
    job->spec = view.spec;
    // The age comes from wall clocks that may differ between processes; never negative.
    const Duration age = std::max(Duration {}, Duration(wallUs - view.submittedUs));
    job->acceptedAt = now - age;
    // An end that was not recorded is unknown here, and the time since counts as waited.
    if (view.lastRunEndUs != 0)
        job->lastRunOverAt = now - std::max(Duration {}, Duration(wallUs - view.lastRunEndUs));

    const std::vector<Duration> paths = view.spec->remainingPaths();
    const std::uint32_t occurrences = view.spec->occurrences();
    job->steps.reserve(occurrences * view.spec->steps.size());
    std::size_t position = 0;
    for (std::uint32_t occurrence = 0; occurrence < occurrences; ++occurrence) {
        for (std::uint32_t number = 0; number < view.spec->steps.size(); ++number) {
            const StepSpec &spec = view.spec->steps[number];
            Step &step = job->steps.emplace_back();
            step.job = job.get();
            step.spec = &spec;
            step.occurrence = occurrence;
            step.number = number;
            step.readyAt = now;
            step.dueAt = job->acceptedAt;
            step.remainingPath = paths[number];
            step.tasks.resize(spec.count);
            for (Task &it : step.tasks) {
                it.done = position < view.done.size() && view.done[position] != 0;
                step.remainingTasks += it.done ? 0 : 1;
                ++position;
            }
            job->tasksLeft += step.remainingTasks;
        }
    }
    job->follow(queue);
    for (const auto &[key, runs] : view.failures) {
        const std::size_t index = key.occurrence * view.spec->steps.size() + key.step;
        if (index < job->steps.size() && key.task < job->steps[index].tasks.size())
            job->steps[index].tasks[key.task].failedRuns = runs;
    }
    for (const auto &[key, exposures] : view.exposures) {
        const std::size_t index = key.occurrence * view.spec->steps.size() + key.step;
        if (index < job->steps.size() && key.task < job->steps[index].tasks.size()) {
            job->steps[index].tasks[key.task].crashes.restore(exposures);
            job->steps[index].tasks[key.task].hasRunBefore = true;
        }
    }
    for (Step &it : job->steps) {
        const std::size_t base = it.occurrence * view.spec->steps.size();
        // A step that is named twice ends once.
        const std::set<std::uint32_t> predecessors(it.spec->after.begin(), it.spec->after.end());
        for (const std::uint32_t before : predecessors)
            it.pendingPredecessors += job->steps[base + before].remainingTasks > 0 ? 1 : 0;
    }
    Job *added = job.get();
    m_jobs[view.id] = std::move(job);
    return added;
}

JobTableBytes JobTable::bytes() const
{
    JobTableBytes bytes;
    for (const auto &[id, job] : m_jobs) {
        bytes.steps += job->steps.capacity() * sizeof(Step);
        for (const Step &it : job->steps)
            bytes.tasks += it.tasks.capacity() * sizeof(Task);
    }
    return bytes;
}

void JobTable::remove(JobId id)
{
    m_jobs.erase(id);
}

Job *JobTable::find(JobId id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

TaskRef JobTable::find(const TaskKey &key) const
{
    Job *job = find(key.job);
    if (job == nullptr || key.step >= job->spec->steps.size())
        return {};
    const std::size_t index = key.occurrence * job->spec->steps.size() + key.step;
    if (index >= job->steps.size() || key.task >= job->steps[index].tasks.size())
        return {};
    return { .step = &job->steps[index], .task = key.task };
}

} // namespace acaciafork::jobs
