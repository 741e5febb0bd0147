#include "acaciafork/state/Jobs.h"

#include <algorithm>

#include "acaciafork/state/Snapshot.h"

namespace acaciafork::state {
namespace {

/// Computes `stepStarts` from the job's spec and marks all its tasks as not done.
void buildTaskLayout(Job *job)
{
    std::uint32_t n = 0;
    job->stepStarts.clear();
    for (const wire::JobStep &it : job->spec->steps()) {
        job->stepStarts.push_back(n);
        n += it.count();
    }
    job->stepStarts.push_back(n);
    job->results = TaskResults(job->occurrences(), n);
}

/// The queue of a configuration that has the same name, or else the same host and path prefix; null
/// if there is none.
const wire::Queue *findQueue(const wire::QueueConfig &config, const wire::Queue &queue)
{
    const auto &queues = config.queues();
    auto found = std::ranges::find(queues, queue.name(), &wire::Queue::name);
    if (found == queues.end())
        found = std::ranges::find_if(queues, [&](const wire::Queue &it) {
            return it.host() == queue.host() && it.path_prefix() == queue.path_prefix();
        });
    return found == queues.end() ? nullptr : &*found;
}

} // namespace

std::uint32_t Job::occurrences() const
{
    return spec->has_schedule() ? spec->schedule().times() : 1;
}

std::optional<std::uint32_t> Job::positionOf(const TaskKey &key) const
{
    const bool isKnown = key.occurrence < occurrences()
            && key.step + std::size_t { 1 } < stepStarts.size()
            && key.task < stepStarts[key.step + 1] - stepStarts[key.step];
    if (!isKnown)
        return std::nullopt;
    return stepStarts[key.step] + key.task;
}

bool Job::isDone(const TaskKey &key) const
{
    const std::optional<std::uint32_t> position = positionOf(key);
    return position && results.isDone(key.occurrence, *position);
}

std::string Jobs::validationError(const wire::JobSpec &spec, const StateLimits &limits)
{
    if (spec.steps_size() == 0)
        return "a job has at least one step";
    if (spec.payload().size() > limits.taskPayloadBytes)
        return "the payload is too large";
    std::uint64_t tasks = 0;
    for (int i = 0; i < spec.steps_size(); ++i) {
        const wire::JobStep &step = spec.steps(i);
        if (step.count() == 0 || !isBounded(step.size()))
            return "a step has at least one task, of bounded size";
        tasks += step.count();
        // A step may depend on earlier steps only, which rules out cycles.
        for (const std::uint32_t it : step.after()) {
            if (it >= static_cast<std::uint32_t>(i))
                return "a step waits for earlier steps only";
        }
    }
    if (spec.has_schedule()
        && (spec.schedule().times() == 0 || spec.schedule().interval_ms() < 0
            || spec.schedule().times() > limits.jobTasks))
        return "the schedule is not valid";
    const std::uint64_t times = spec.has_schedule() ? spec.schedule().times() : 1;
    if (tasks > limits.jobTasks || tasks * times > limits.jobTasks)
        return "too many tasks";
    return {};
}

ApplyResult Jobs::submit(const wire::SubmitJob &command, const wire::QueueConfig &config,
                         std::int64_t nowMicroseconds)
{
    if (stateOf(command.job()))
        return makeResult(wire::OUTCOME_ALREADY_APPLIED);
    if (std::string problem = validationError(command.spec(), m_limits); !problem.empty())
        return makeResult(wire::OUTCOME_INVALID, 0, std::move(problem));
    if (m_jobs.size() + m_ended.size() >= m_limits.jobs)
        return makeResult(wire::OUTCOME_FULL, 0, "too many jobs");
    Job &job = m_jobs[command.job()];
    job.id = command.job();
    const wire::Queue *queue = findQueue(config, command.queue());
    job.queue = queue == nullptr ? command.queue() : *queue;
    job.spec = std::make_shared<const wire::JobSpec>(command.spec());
    job.submittedUs = nowMicroseconds;
    buildTaskLayout(&job);
    return makeResult(wire::OUTCOME_APPLIED);
}

void Jobs::configure(const wire::QueueConfig &config)
{
    std::unordered_map<std::string_view, const wire::Queue *> byName;
    for (const wire::Queue &it : config.queues())
        byName.emplace(it.name(), &it);
    for (auto &[id, job] : m_jobs) {
        const auto known = byName.find(job.queue.name());
        const wire::Queue *queue =
                known != byName.end() ? known->second : findQueue(config, job.queue);
        if (queue != nullptr)
            job.queue = *queue;
    }
}

ApplyResult Jobs::cancel(const wire::CancelJob &command, std::int64_t nowMicroseconds)
{
    const std::optional<wire::JobState> state = stateOf(command.job());
    if (!state)
        return makeResult(wire::OUTCOME_NOT_FOUND);
    if (*state != wire::JOB_STATE_ACTIVE)
        return makeResult(wire::OUTCOME_ALREADY_APPLIED);
    end(command.job(), wire::JOB_STATE_CANCELLED, nowMicroseconds);
    return makeResult(wire::OUTCOME_APPLIED);
}

ApplyResult Jobs::recordEnds(const wire::RecordTaskEnds &command, std::int64_t nowMicroseconds)
{
    for (const wire::TaskEnd &it : command.ends()) {
        const auto found = m_jobs.find(it.job());
        if (found == m_jobs.end())
            continue;
        Job &job = found->second;
        const TaskKey key { .occurrence = it.occurrence(), .step = it.step(), .task = it.task() };
        const std::optional<std::uint32_t> position = job.positionOf(key);
        if (!position || job.results.isDone(key.occurrence, *position))
            continue;
        if (it.failed()) {
            std::vector<std::uint64_t> &runs = job.failures[key];
            if (std::ranges::find(runs, it.run()) == runs.end()) {
                runs.push_back(it.run());
                job.lastRunEndUs = nowMicroseconds;
            }
            continue;
        }
        job.results.markDone(key.occurrence, *position);
        job.lastRunEndUs = nowMicroseconds;
        job.exposures.erase(key);
        job.failures.erase(key);
        if (job.results.isComplete())
            end(job.id, wire::JOB_STATE_COMPLETED, nowMicroseconds);
    }
    for (const std::uint64_t it : command.failed_jobs()) {
        if (m_jobs.contains(it))
            end(it, wire::JOB_STATE_FAILED, nowMicroseconds);
    }
    return makeResult(wire::OUTCOME_APPLIED);
}

ApplyResult Jobs::recordExposures(const wire::RecordCrashExposures &command)
{
    for (const wire::TaskCrashExposure &it : command.exposures()) {
        if (it.exposure().worker().size() > maxNameBytes)
            return makeResult(wire::OUTCOME_INVALID, 0, "a worker has a name of bounded length");
    }
    for (const wire::TaskCrashExposure &it : command.exposures()) {
        const auto found = m_jobs.find(it.job());
        if (found != m_jobs.end())
            applyExposure(&found->second, it);
    }
    return makeResult(wire::OUTCOME_APPLIED);
}

void Jobs::applyExposure(Job *job, const wire::TaskCrashExposure &change) const
{
    const TaskKey key { .occurrence = change.occurrence(),
                        .step = change.step(),
                        .task = change.task() };
    const std::optional<std::uint32_t> position = job->positionOf(key);
    if (!position || job->results.isDone(key.occurrence, *position))
        return;
    std::vector<wire::CrashExposure> &list = job->exposures[key];
    const auto known = std::ranges::find(list, change.exposure().run(), &wire::CrashExposure::run);
    const bool isKnown = known != list.end();
    switch (change.change()) {
    case wire::CRASH_EXPOSURE_CHANGE_OPENED:
        if (!isKnown)
            list.push_back(change.exposure());
        break;
    case wire::CRASH_EXPOSURE_CHANGE_CRASHED:
        if (isKnown)
            *known = change.exposure();
        else
            list.push_back(change.exposure());
        break;
    case wire::CRASH_EXPOSURE_CHANGE_SURVIVED:
        for (wire::CrashExposure &it : list)
            it.set_blame(0);
        if (isKnown)
            known->set_survived(true);
        break;
    case wire::CRASH_EXPOSURE_CHANGE_OVER:
        if (isKnown)
            known->set_over(true);
        break;
    case wire::CRASH_EXPOSURE_CHANGE_CLEARED:
        if (isKnown)
            list.erase(known);
        break;
    default:
        break;
    }
    if (list.size() > m_limits.taskCrashExposures)
        list.erase(list.begin());
    if (list.empty())
        job->exposures.erase(key);
}

void Jobs::end(std::uint64_t id, wire::JobState state, std::int64_t nowMicroseconds)
{
    m_jobs.erase(id);
    m_endedStates.emplace(id, state);
    m_ended.emplace_back(nowMicroseconds, id);
}

void Jobs::expire(std::int64_t nowMicroseconds)
{
    const std::int64_t cutoff = nowMicroseconds - m_limits.endedJobWindow.count();
    while (!m_ended.empty() && m_ended.front().first < cutoff) {
        m_endedStates.erase(m_ended.front().second);
        m_ended.pop_front();
    }
}

std::optional<wire::JobState> Jobs::stateOf(std::uint64_t id) const
{
    if (m_jobs.contains(id))
        return wire::JOB_STATE_ACTIVE;
    const auto it = m_endedStates.find(id);
    return it == m_endedStates.end() ? std::nullopt : std::optional(it->second);
}

const Job *Jobs::find(std::uint64_t id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

std::size_t Jobs::endedBytes() const
{
    // A node of the table with its pointer and what the allocator adds; buckets double in number as
    // they fill up, so there are up to two for each entry.
    constexpr std::size_t overhead = 4 * sizeof(void *);
    return m_ended.size()
            * (sizeof(decltype(m_ended)::value_type) + sizeof(decltype(m_endedStates)::value_type)
               + overhead);
}

std::size_t Jobs::resultBytes() const
{
    std::size_t n = 0;
    for (const auto &[id, job] : m_jobs)
        n += job.results.bytes();
    return n;
}

void Jobs::save(SnapshotWriter *writer) const
{
    std::vector<const Job *> jobs;
    jobs.reserve(m_jobs.size());
    for (const auto &[id, job] : m_jobs)
        jobs.push_back(&job);
    std::ranges::sort(jobs, {}, &Job::id);
    for (const Job *job : jobs) {
        wire::JobRecord *record = writer->record().mutable_job();
        record->set_job(job->id);
        *record->mutable_queue() = job->queue;
        *record->mutable_spec() = *job->spec;
        record->set_state(wire::JOB_STATE_ACTIVE);
        record->set_submitted_us(job->submittedUs);
        record->set_last_run_end_us(job->lastRunEndUs);
        record->set_ended_below(job->results.ended().below());
        record->set_ended(job->results.ended().bitmap());
        for (const auto &[occurrence, done] : job->results.open()) {
            wire::OccurrenceResults *open = record->add_open();
            open->set_occurrence(occurrence);
            open->set_done_below(done.below());
            open->set_done(done.bitmap());
        }
        for (const auto &[key, runs] : job->failures) {
            wire::TaskFailures *failures = record->add_failures();
            failures->set_occurrence(key.occurrence);
            failures->set_step(key.step);
            failures->set_task(key.task);
            failures->mutable_runs()->Add(runs.begin(), runs.end());
        }
        for (const auto &[key, list] : job->exposures) {
            wire::TaskCrashExposures *exposures = record->add_exposures();
            exposures->set_occurrence(key.occurrence);
            exposures->set_step(key.step);
            exposures->set_task(key.task);
            exposures->mutable_exposures()->Add(list.begin(), list.end());
        }
    }
    for (const auto &[endedUs, id] : m_ended) {
        wire::JobRecord *record = writer->record().mutable_job();
        record->set_job(id);
        record->set_state(m_endedStates.at(id));
        record->set_ended_us(endedUs);
    }
}

bool Jobs::loadResults(const wire::JobRecord &record, Job *job)
{
    if (!record.done().empty()) {
        const std::uint32_t tasks = job->stepStarts.back();
        if (record.done().size() != job->results.taskCount())
            return false;
        job->results = TaskResults::fromFlags(job->occurrences(), tasks, record.done());
        return true;
    }
    std::map<std::uint32_t, IndexSet> open;
    for (const wire::OccurrenceResults &it : record.open())
        open[it.occurrence()] = IndexSet::restore(it.done_below(), it.done());
    return job->results.restore(IndexSet::restore(record.ended_below(), record.ended()),
                                std::move(open));
}

bool Jobs::load(const wire::JobRecord &record)
{
    if (!wire::JobState_IsValid(record.state()) || stateOf(record.job()))
        return false;
    if (record.state() != wire::JOB_STATE_ACTIVE) {
        m_endedStates.emplace(record.job(), record.state());
        m_ended.emplace_back(record.ended_us(), record.job());
        return true;
    }
    if (!validationError(record.spec(), m_limits).empty())
        return false;
    Job job { .id = record.job(),
              .queue = record.queue(),
              .spec = std::make_shared<const wire::JobSpec>(record.spec()),
              .submittedUs = record.submitted_us(),
              .lastRunEndUs = record.last_run_end_us() };
    buildTaskLayout(&job);
    if (!loadResults(record, &job))
        return false;
    for (const wire::TaskFailures &it : record.failures())
        job.failures[{ it.occurrence(), it.step(), it.task() }] = { it.runs().begin(),
                                                                    it.runs().end() };
    for (const wire::TaskCrashExposures &it : record.exposures())
        job.exposures[{ it.occurrence(), it.step(), it.task() }] = { it.exposures().begin(),
                                                                     it.exposures().end() };
    m_jobs.emplace(job.id, std::move(job));
    return true;
}

} // namespace acaciafork::state
