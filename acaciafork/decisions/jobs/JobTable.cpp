#include "acaciafork/decisions/jobs/JobTable.h"

#include <algorithm>
#include <set>
#include <span>

namespace acaciafork::jobs {
namespace {

/// Number of steps before a step of an occurrence that have tasks left.
std::uint32_t unfinishedPredecessors(const Step &step)
{
    // A step that is named twice ends once.
    const std::set<std::uint32_t> predecessors(step.spec->after.begin(), step.spec->after.end());
    return static_cast<std::uint32_t>(std::ranges::count_if(predecessors, [&](std::uint32_t it) {
        return step.parent->steps[it].remainingTasks > 0;
    }));
}

} // namespace

const TaskRecord &Task::record() const
{
    static const TaskRecord none;
    return ownRecord == nullptr ? none : *ownRecord;
}

TaskRecord &TaskRef::ensureRecord() const
{
    std::unique_ptr<TaskRecord> &record = get().ownRecord;
    if (record == nullptr) {
        record = std::make_unique<TaskRecord>();
        step->job->memory->recordAdded(sizeof(TaskRecord));
    }
    return *record;
}

TaskKey Step::key(std::uint32_t task) const
{
    return { .job = job->id, .occurrence = occurrence, .step = number, .task = task };
}

void Step::clearUnseenSuccessors() const
{
    // Steps come after those that they wait for.
    const std::span<Step> steps = parent->steps;
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

void Step::updateCheckpoint(std::uint32_t task, const std::string &checkpoint)
{
    if (checkpoint.empty() || tasks[task].done)
        return;
    TaskRef { .step = this, .task = task }.ensureRecord().checkpoint = checkpoint;
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
    for (Step &it : steps()) {
        if (advice && it.knownPermits == nullptr)
            it.knownPermits = std::make_unique<StepPermits>();
    }
}

bool Job::isAtWork() const
{
    if (runCount == 0)
        return false;
    const auto isAtWork = [](const Run &run) {
        return run.phase == RunPhase::Recording || run.phase == RunPhase::Starting
                || run.phase == RunPhase::Running;
    };
    return std::ranges::any_of(open, [&](const auto &it) {
        return it.second->runCount > 0
                && std::ranges::any_of(it.second->steps, [&](const Step &step) {
                       return std::ranges::any_of(step.tasks, [&](const Task &task) {
                           return std::ranges::any_of(task.record().runs, isAtWork);
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

    job->memory = &m_memory;
    job->ended = view.results.ended();
    job->tasksLeft = std::uint64_t { view.spec->tasks() } * view.spec->occurrences()
            - view.results.doneCount();
    job->definitionBytes = JobMemory::definitionBytes(*view.spec, view.storedBytes);
    m_memory.jobAdded(job->definitionBytes);
    job->follow(queue);
    Job *added = job.get();
    m_jobs[view.id] = std::move(job);
    openRecorded(now, added, view);
    return added;
}

void JobTable::openRecorded(Timestamp now, Job *job, const JobView &view)
{
    const auto reopen = [&](std::uint32_t number) -> Occurrence * {
        if (number >= job->spec->occurrences() || job->ended.contains(number))
            return nullptr;
        const auto it = job->open.find(number);
        return it == job->open.end() ? open(now, job, number) : it->second.get();
    };
    const auto reopenTask = [&](const TaskKey &key) {
        return reopen(key.occurrence) == nullptr ? TaskRef {} : find(key);
    };
    for (const auto &[number, done] : view.results.open()) {
        Occurrence *occurrence = reopen(number);
        if (occurrence == nullptr)
            continue;
        std::uint32_t position = 0;
        for (Step &step : occurrence->steps) {
            for (Task &it : step.tasks) {
                it.done = done.contains(position++);
                step.remainingTasks -= it.done ? 1 : 0;
                occurrence->tasksLeft -= it.done ? 1 : 0;
            }
        }
        for (Step &it : occurrence->steps)
            it.pendingPredecessors = unfinishedPredecessors(it);
    }
    for (const auto &[key, runs] : view.failures) {
        if (const TaskRef task = reopenTask(key); task && !task.get().done)
            task.ensureRecord().failedRuns = runs;
    }
    for (const auto &[key, exposures] : view.exposures) {
        if (const TaskRef task = reopenTask(key); task && !task.get().done) {
            task.ensureRecord().crashes.restore(exposures);
            task.get().hasRunBefore = true;
        }
    }
}

Occurrence *JobTable::open(Timestamp now, Job *job, std::uint32_t number)
{
    ACACIAFORK_ASSERT(number < job->spec->occurrences());
    const auto [it, isNew] = job->open.try_emplace(number, std::make_unique<Occurrence>());
    ACACIAFORK_ASSERT(isNew);
    Occurrence *occurrence = it->second.get();
    occurrence->number = number;
    const std::vector<Duration> paths = job->spec->remainingPaths();
    occurrence->steps.reserve(job->spec->steps.size());
    for (std::uint32_t step = 0; step < job->spec->steps.size(); ++step) {
        const StepSpec &spec = job->spec->steps[step];
        Step &made = occurrence->steps.emplace_back();
        made.job = job;
        made.parent = occurrence;
        made.spec = &spec;
        made.occurrence = number;
        made.number = step;
        made.readyAt = now;
        made.dueAt = job->acceptedAt;
        made.isDeferred = job->spec->isScheduled;
        made.remainingPath = paths[step];
        made.remainingTasks = spec.count;
        made.tasks.resize(spec.count);
        made.pendingPredecessors = unfinishedPredecessors(made);
        if (job->advice)
            made.knownPermits = std::make_unique<StepPermits>();
        occurrence->tasksLeft += spec.count;
    }
    const std::size_t cost = JobMemory::occurrenceBytes(*job->spec);
    job->openBytes += cost;
    m_memory.opened(job->queue, cost);
    return occurrence;
}

void JobTable::close(Job *job, std::uint32_t number)
{
    const auto it = job->open.find(number);
    ACACIAFORK_ASSERT(it != job->open.end() && it->second->tasksLeft == 0
                      && it->second->runCount == 0);
    forgetOccurrence(job, *it->second);
    job->open.erase(it);
    job->ended.insert(number);
}

void JobTable::forgetOccurrence(Job *job, const Occurrence &occurrence)
{
    for (const Step &step : occurrence.steps) {
        for (const Task &it : step.tasks) {
            if (it.ownRecord != nullptr)
                m_memory.recordRemoved(sizeof(TaskRecord));
        }
    }
    const std::size_t cost = JobMemory::occurrenceBytes(*job->spec);
    job->openBytes -= cost;
    m_memory.closed(job->queue, cost);
}

void JobTable::follow(Job *job, const QueueSpec &definition)
{
    m_memory.moved(job->queue, definition.name, job->openBytes);
    job->follow(definition);
}

void JobTable::dropRecord(const TaskRef &ref)
{
    Task &task = ref.get();
    if (task.ownRecord == nullptr || !task.done || task.hasRun())
        return;
    task.ownRecord.reset();
    m_memory.recordRemoved(sizeof(TaskRecord));
}

void JobTable::clear()
{
    m_jobs.clear();
    m_memory.clear();
}

void JobTable::remove(JobId id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end())
        return;
    Job *job = it->second.get();
    for (const auto &[number, occurrence] : job->open)
        forgetOccurrence(job, *occurrence);
    m_memory.jobRemoved(job->definitionBytes);
    m_jobs.erase(it);
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
    const auto it = job->open.find(key.occurrence);
    if (it == job->open.end() || key.task >= it->second->steps[key.step].tasks.size())
        return {};
    return { .step = &it->second->steps[key.step], .task = key.task };
}

} // namespace acaciafork::jobs
