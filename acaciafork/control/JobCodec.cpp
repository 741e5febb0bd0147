#include "acaciafork/control/JobCodec.h"

#include <algorithm>
#include <array>

namespace acaciafork::control {
namespace {

jobs::Size toJobs(const wire::Resources &resources)
{
    return { .millicores = static_cast<std::int64_t>(resources.millicores()),
             .memoryMb = static_cast<std::int64_t>(resources.memory_mb()),
             .accelerators = static_cast<std::int64_t>(resources.accelerators()) };
}

jobs::StepSpec toJobs(const wire::JobStep &step)
{
    return { .count = step.count(),
             .size = toJobs(step.size()),
             .estimate = std::chrono::milliseconds(step.estimate_ms()),
             .after = { step.after().begin(), step.after().end() },
             .checkpoints = step.checkpoints(),
             .gang = step.gang(),
             .sameRack = step.same_rack(),
             .label = step.label(),
             .dataRack = { step.data_rack() },
             .maxPerWorker = step.most_per_worker(),
             .speculative = step.speculative(),
             .longRunning = step.long_running(),
             .image = step.image(),
             .tailTarget = std::chrono::milliseconds(step.tail_target_ms()),
             .fills = step.fills(),
             .disruptionBudget = step.disruption_budget() };
}

} // namespace

std::shared_ptr<const jobs::JobSpec> toJobs(const wire::JobSpec &spec)
{
    auto result = std::make_shared<jobs::JobSpec>();
    for (const wire::JobStep &it : spec.steps())
        result->steps.push_back(toJobs(it));
    result->isScheduled = spec.has_schedule();
    if (spec.has_schedule())
        result->schedule = { .firstUs = spec.schedule().first_ms() * 1000,
                             .interval = std::chrono::milliseconds(spec.schedule().interval_ms()),
                             .times = spec.schedule().times() };
    return result;
}

std::size_t storedBytes(const wire::JobSpec &spec)
{
    return spec.ByteSizeLong() + sizeof(spec)
            + static_cast<std::size_t>(spec.steps_size()) * sizeof(wire::JobStep);
}

jobs::QueueSpec toJobs(const wire::Queue &queue, const wire::QueueConfig &config)
{
    jobs::QueueSpec spec { .name = queue.name(),
                           .address = queue.host() + queue.path_prefix(),
                           .pool = queue.pool(),
                           .priority = queue.priority(),
                           .maxAttempts = queue.most_attempts(),
                           .stretch = queue.stretch(),
                           .objective = std::chrono::milliseconds(queue.objective_ms()) };
    if (queue.has_advice())
        spec.advice = { .decision = std::chrono::milliseconds(queue.advice().decision_ms()),
                        .perWorker = std::chrono::milliseconds(queue.advice().per_worker_ms()),
                        .validity = std::chrono::milliseconds(queue.advice().validity_ms()) };
    const auto pool = std::ranges::find(config.pools(), spec.pool, &wire::WorkerPool::name);
    spec.guardsCapacity = pool != config.pools().end() && pool->enforces_capacity();
    return spec;
}

std::vector<jobs::QueueSpec> toJobs(const wire::QueueConfig &config)
{
    std::vector<jobs::QueueSpec> queues;
    for (const wire::Queue &it : config.queues())
        queues.push_back(toJobs(it, config));
    return queues;
}

jobs::JobView toJobs(const state::Job &job, const wire::QueueConfig &config)
{
    jobs::JobView view { .id = { job.id },
                         .queue = toJobs(job.queue, config),
                         .spec = toJobs(*job.spec),
                         .submittedUs = job.submittedUs,
                         .lastRunEndUs = job.lastRunEndUs,
                         .storedBytes = storedBytes(*job.spec),
                         .results = job.results };
    const auto keyOf = [&job](const state::TaskKey &place) {
        return jobs::TaskKey { .job = { job.id },
                               .occurrence = place.occurrence,
                               .step = place.step,
                               .task = place.task };
    };
    for (const auto &[place, runs] : job.failures)
        view.failures.emplace_back(keyOf(place), runs);
    for (const auto &[place, list] : job.exposures) {
        std::vector<jobs::CrashExposure> &exposures =
                view.exposures.emplace_back(keyOf(place), std::vector<jobs::CrashExposure> {})
                        .second;
        for (const wire::CrashExposure &it : list)
            exposures.push_back(toJobs(it));
    }
    return view;
}

jobs::WorkerLife toJobs(const wire::WorkerLife &life)
{
    return { .name = { life.worker() },
             .born = { life.born() },
             .pool = life.pool(),
             .address = life.address(),
             .zone = life.zone(),
             .labels = { life.labels().begin(), life.labels().end() },
             .rack = { life.rack() },
             .capacity = toJobs(life.capacity()),
             .draining = life.draining() };
}

wire::WorkerLife toState(const jobs::WorkerLife &life)
{
    wire::WorkerLife record;
    record.set_worker(life.name.value);
    record.set_born(life.born.value);
    record.set_pool(life.pool);
    record.set_address(life.address);
    record.set_zone(life.zone);
    record.mutable_labels()->Add(life.labels.begin(), life.labels.end());
    record.set_rack(life.rack.value);
    record.set_draining(life.draining);
    record.mutable_capacity()->set_millicores(static_cast<std::uint64_t>(life.capacity.millicores));
    record.mutable_capacity()->set_memory_mb(static_cast<std::uint64_t>(life.capacity.memoryMb));
    record.mutable_capacity()->set_accelerators(
            static_cast<std::uint64_t>(life.capacity.accelerators));
    return record;
}

jobs::InterferenceEstimate toJobs(const wire::DisturbancePair &pair)
{
    return { .serving = pair.serving(),
             .filling = pair.filling(),
             .mean = pair.mean(),
             .variance = pair.variance() };
}

wire::RecordDisturbance toState(const jobs::RecordDisturbance &learnt)
{
    wire::RecordDisturbance record;
    for (const jobs::InterferenceEstimate &it : learnt.pairs) {
        wire::DisturbancePair *pair = record.add_pairs();
        pair->set_serving(it.serving);
        pair->set_filling(it.filling);
        pair->set_mean(it.mean);
        pair->set_variance(it.variance);
    }
    return record;
}

wire::RecordTaskEnds toState(const jobs::RecordEnds &ends)
{
    wire::RecordTaskEnds record;
    for (const jobs::TaskEnd &it : ends.ends) {
        wire::TaskEnd *end = record.add_ends();
        end->set_job(it.task.job.value);
        end->set_occurrence(it.task.occurrence);
        end->set_step(it.task.step);
        end->set_task(it.task.task);
        end->set_failed(it.failed);
        end->set_run(it.run.value);
    }
    for (const jobs::JobId it : ends.failedJobs)
        record.add_failed_jobs(it.value);
    return record;
}

jobs::CrashExposure toJobs(const wire::CrashExposure &exposure)
{
    return { .run = { exposure.run() },
             .worker = { exposure.worker() },
             .born = { exposure.born() },
             .isTrial = exposure.trial(),
             .hasCrashed = exposure.crashed(),
             .hasSurvived = exposure.survived(),
             .isOver = exposure.over(),
             .blame = exposure.blame() };
}

wire::RecordCrashExposures toState(const jobs::RecordExposures &exposures)
{
    static constexpr std::array<wire::CrashExposureChange, 5> changes {
        wire::CRASH_EXPOSURE_CHANGE_OPENED, wire::CRASH_EXPOSURE_CHANGE_CRASHED,
        wire::CRASH_EXPOSURE_CHANGE_CLEARED, wire::CRASH_EXPOSURE_CHANGE_SURVIVED,
        wire::CRASH_EXPOSURE_CHANGE_OVER
    };
    wire::RecordCrashExposures record;
    for (const jobs::ExposureRecord &it : exposures.records) {
        wire::TaskCrashExposure *row = record.add_exposures();
        row->set_job(it.task.job.value);
        row->set_occurrence(it.task.occurrence);
        row->set_step(it.task.step);
        row->set_task(it.task.task);
        row->set_change(changes.at(static_cast<std::size_t>(it.change)));
        wire::CrashExposure *exposure = row->mutable_exposure();
        exposure->set_run(it.exposure.run.value);
        exposure->set_worker(it.exposure.worker.value);
        exposure->set_born(it.exposure.born.value);
        exposure->set_trial(it.exposure.isTrial);
        exposure->set_crashed(it.exposure.hasCrashed);
        exposure->set_blame(it.exposure.blame);
        exposure->set_survived(it.exposure.hasSurvived);
        exposure->set_over(it.exposure.isOver);
    }
    return record;
}

} // namespace acaciafork::control
