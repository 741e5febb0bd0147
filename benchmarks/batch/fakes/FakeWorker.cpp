#include "benchmarks/batch/fakes/FakeWorker.h"

namespace acaciafork::batch::fakes {

namespace {

constexpr std::int64_t permilleWhole = 1000;

} // namespace

FakeWorker::FakeWorker(Options options, World *world)
    : m_options(std::move(options))
    , m_world(world)
{ }

Timestamp FakeWorker::local(Timestamp now) const
{
    return timestampFromMicroseconds(toMicroseconds(now) * m_options.clockPermille / permilleWhole);
}

void FakeWorker::advance(Timestamp now)
{
    for (Held &it : m_held) {
        if (it.runs())
            runTask(&it, now);
    }
    m_at = now;
}

void FakeWorker::runTask(Held *held, Timestamp now)
{
    // A lease that ran out ends the task, whatever it does.
    if (local(now) >= held->expiresAt && !m_options.ignoresExpiry) {
        end(held, TaskStatus::Stopped);
        return;
    }
    const TaskTruth &truth = *held->truth;
    const auto cores = std::min<std::int64_t>(permilleWhole,
                                              permilleWhole * held->granted.millicores
                                                      / std::max(truth.used.millicores, 1));
    const std::int64_t speed = cores * held->throttlePermille / slowdownPermille(*held);
    const Duration done = (now - std::max(m_at, held->startedAt)) * speed / permilleWhole;
    held->done += done;
    if (truth.service)
        return;

    const bool fails = m_options.failsEverything
            || (truth.failsAfter > Duration::zero() && now - held->startedAt >= truth.failsAfter)
            || held->granted.memoryMb < truth.used.memoryMb;
    if (fails) {
        held->report.cause = held->granted.memoryMb < truth.used.memoryMb
                ? TaskFailureCause::OutOfMemory
                : truth.cause;
        end(held, TaskStatus::Failed);
    } else if (held->done >= truth.work) {
        m_world->audit.onFinish(held->report.task);
        end(held, TaskStatus::Finished);
    } else if (held->checkpointing && now >= held->checkpointDoneAt) {
        saveProgress(held);
        end(held, TaskStatus::Checkpointed);
    } else if (truth.checkpointEvery > Duration::zero()
               && held->done - held->checkpointed >= truth.checkpointEvery) {
        saveProgress(held);
    }
}

void FakeWorker::saveProgress(Held *held)
{
    // Numbers grow with the epoch, and within it.
    constexpr std::uint64_t perEpoch = 100000;
    const std::uint64_t least = held->report.epoch.value * perEpoch;
    held->report.checkpoint.value = std::max(held->report.checkpoint.value, least) + 1;
    held->checkpointed = held->done;
    auto &saved = m_world->checkpoints[held->report.task];
    saved[held->report.checkpoint.value] = held->done;
    constexpr std::size_t kept = 8;
    if (saved.size() > kept)
        saved.erase(saved.begin());
    m_world->audit.onCheckpoint(held->report.task, held->report.checkpoint);
}

WorkerReport FakeWorker::report(Timestamp now)
{
    advance(now);
    constexpr std::size_t remembered = 64;
    m_sent.emplace_back(++m_seq, local(now));
    if (m_sent.size() > remembered)
        m_sent.pop_front();
    WorkerReport report = m_options.identity;
    report.seq = m_seq;
    report.tasks.reserve(m_held.size());
    for (const Held &it : m_held)
        report.tasks.push_back(it.report);
    return report;
}

UsageReport FakeWorker::usage() const
{
    UsageReport usage { .worker = m_options.identity.worker,
                        .incarnation = m_options.identity.incarnation,
                        .seq = m_seq };
    for (const Held &it : m_held) {
        if (!it.runs())
            continue;
        Resources used = it.truth->used;
        used.millicores = std::min(used.millicores, it.granted.millicores);
        used.memoryMb = std::min(used.memoryMb, it.granted.memoryMb);
        const std::int32_t slowdown = slowdownPermille(it);
        usage.tasks.push_back({ .task = it.report.task,
                                .epoch = it.report.epoch,
                                .used = used,
                                .slowdownPermille = slowdown,
                                .latencyPermille = it.truth->service ? slowdown : 0 });
    }
    return usage;
}

bool FakeWorker::basisHolds(Timestamp now, const LeaseBasis &basis, Timestamp *expiresAt) const
{
    if (basis.incarnation != m_options.identity.incarnation)
        return false;
    const auto it = std::find_if(m_sent.begin(), m_sent.end(),
                                 [&](const auto &sent) { return sent.first == basis.seq; });
    if (it == m_sent.end())
        return false;
    *expiresAt = it->second + basis.leaseLength;
    return local(now) < *expiresAt;
}

bool FakeWorker::handle(Timestamp now, const StartTask &call)
{
    advance(now);
    Timestamp expiresAt {};
    const TaskTruth *truth = m_world->truth(call.task);
    if (truth == nullptr || !basisHolds(now, call.basis, &expiresAt))
        return false;
    if (Held *held = find(call.task, call.epoch); held != nullptr)
        return held->runs();
    std::uint64_t &highest = m_highestEpoch[call.task];
    if (call.epoch.value <= highest)
        return false;
    highest = call.epoch.value;

    Held held { .report = { .task = call.task, .epoch = call.epoch, .checkpoint = call.checkpoint },
                .truth = truth,
                .granted = call.granted,
                .expiresAt = expiresAt,
                .startedAt = now };
    if (call.checkpoint) {
        held.done = m_world->checkpoints[call.task][call.checkpoint.value];
        held.checkpointed = held.done;
    }
    m_held.push_back(std::move(held));
    ++m_running;
    m_granted += call.granted;

    // A lease that ran out elsewhere since that worker last looked has ended its run there.
    FakeWorker *&runner = m_world->runners[call.task];
    if (runner != nullptr && runner != this)
        runner->advance(now);
    runner = this;
    m_world->audit.onStart(call.task, call.epoch, call.checkpoint, truth->service);
    m_world->audit.onRoom(m_granted, m_options.identity.room);
    return true;
}

bool FakeWorker::handle(Timestamp now, const RenewLease &call)
{
    advance(now);
    Timestamp expiresAt {};
    if (!basisHolds(now, call.basis, &expiresAt))
        return false;
    for (const TaskEpoch &it : call.tasks) {
        Held *held = find(it.task, it.epoch);
        if (held != nullptr && held->runs())
            held->expiresAt = std::max(held->expiresAt, expiresAt);
    }
    return true;
}

bool FakeWorker::handle(Timestamp now, const ThrottleTask &call)
{
    advance(now);
    Held *held = find(call.task, call.epoch);
    if (held == nullptr)
        return false;
    held->throttlePermille = std::max(call.permille, 1);
    return true;
}

bool FakeWorker::handle(Timestamp now, const CheckpointTask &call)
{
    advance(now);
    Held *held = find(call.task, call.epoch);
    if (held == nullptr || !held->runs())
        return false;
    if (!held->checkpointing) {
        held->checkpointing = true;
        held->checkpointDoneAt = now + held->truth->checkpointTime;
    }
    return true;
}

bool FakeWorker::handle(Timestamp now, const StopTask &call)
{
    advance(now);
    Held *held = find(call.task, call.epoch);
    std::uint64_t &highest = m_highestEpoch[call.task];
    highest = std::max(highest, call.epoch.value);
    if (held != nullptr && held->runs()) {
        if (!call.release)
            end(held, TaskStatus::Stopped);
        return !call.release;
    }
    if (call.release) {
        std::erase_if(m_held, [&](const Held &it) {
            return it.report.task == call.task && it.report.epoch == call.epoch;
        });
    } else if (held == nullptr) {
        m_held.push_back({ .report = { .task = call.task,
                                       .epoch = call.epoch,
                                       .status = TaskStatus::Stopped } });
    }
    return true;
}

void FakeWorker::restart(Timestamp now)
{
    advance(now);
    for (Held &it : m_held) {
        if (it.runs())
            end(&it, TaskStatus::Stopped);
    }
    m_held.clear();
    m_sent.clear();
    m_highestEpoch.clear();
    m_seq = 0;
    ++m_options.identity.incarnation.value;
}

FakeWorker::Held *FakeWorker::find(const TaskName &task, LeaseEpoch epoch)
{
    for (Held &it : m_held) {
        if (it.report.epoch == epoch && it.report.task == task)
            return &it;
    }
    return nullptr;
}

void FakeWorker::end(Held *held, TaskStatus status)
{
    held->report.status = status;
    --m_running;
    m_granted -= held->granted;
    m_world->audit.onEnd(held->report.task, held->report.epoch);
}

std::int64_t FakeWorker::usedMillicores() const
{
    std::int64_t used = 0;
    for (const Held &it : m_held) {
        if (it.runs())
            used += std::int64_t { std::min(it.truth->used.millicores, it.granted.millicores) }
                    * it.throttlePermille / permilleWhole;
    }
    return used;
}

std::int32_t FakeWorker::slowdownPermille(const Held &held) const
{
    std::int64_t slowdown = permilleWhole;
    for (const Held &it : m_held) {
        if (&it != &held && it.runs())
            slowdown += std::int64_t { m_world->disturbance(held.truth->kind, it.truth->kind) }
                    * it.throttlePermille / permilleWhole;
    }
    return static_cast<std::int32_t>(slowdown);
}

} // namespace acaciafork::batch::fakes
