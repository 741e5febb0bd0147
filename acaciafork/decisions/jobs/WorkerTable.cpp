#include "acaciafork/decisions/jobs/WorkerTable.h"

#include <algorithm>

namespace acaciafork::jobs {

std::uint32_t Worker::runsOf(const Step *step) const
{
    return static_cast<std::uint32_t>(
            std::ranges::count_if(runs, [step](const RunRef &it) { return it.task.step == step; }));
}

double shareOf(const Worker &worker, std::int64_t millicores)
{
    return static_cast<double>(millicores)
            / static_cast<double>(std::max<std::int64_t>(worker.life.capacity.millicores, 1));
}

double shareOf(const Worker &worker, const StepSpec &spec)
{
    return shareOf(worker, spec.size.millicores);
}

void Worker::startFailed(Timestamp now, Timestamp orderedAt)
{
    if (orderedAt < startFailedAt)
        return;
    ++failedStarts;
    startFailedAt = now;
}

void Worker::startConfirmed(Timestamp now)
{
    failedStarts = 0;
    startConfirmedAt = now;
}

void Worker::addTrial(Timestamp now, const RunKey &run, Duration length, std::size_t maxShared)
{
    if (trials.empty()) {
        firstTrialAt = now;
        maxTrials = maxShared;
    }
    maxTrials = std::min(maxTrials, maxShared);
    trials.push_back(run);
    holdForTrial(now, length);
}

void Worker::holdForTrial(Timestamp now, Duration length)
{
    trialBeganAt = now;
    trialEndsAt = std::max(trialEndsAt, now + length);
}

Worker::OrderState Worker::orderState() const
{
    return { .isIncarnationConfirmed = isIncarnationConfirmed,
             .immediateRenewalAt = immediateRenewalAt,
             .lease = lease,
             .leaseOrderedAt = leaseOrderedAt,
             .trialBeganAt = trialBeganAt,
             .trialEndsAt = trialEndsAt,
             .reservedUntil = reservedUntil };
}

void Worker::restore(const OrderState &state)
{
    isIncarnationConfirmed = state.isIncarnationConfirmed;
    immediateRenewalAt = state.immediateRenewalAt;
    lease = state.lease;
    leaseOrderedAt = state.leaseOrderedAt;
    trialBeganAt = state.trialBeganAt;
    trialEndsAt = state.trialEndsAt;
    reservedUntil = state.reservedUntil;
}

std::int64_t Worker::grantLease(Timestamp now, Duration length)
{
    leaseOrderedAt = now;
    return lease.grant(now, length);
}

void Worker::reserve(const Step &step)
{
    const StepSpec &spec = *step.spec;
    used += spec.reserved();
    backfillMillicores += spec.fills ? spec.size.millicores : 0;
    if (!spec.serves() || spec.fills)
        return;
    servingMillicores += spec.size.millicores;
    const auto it = std::ranges::find(servedImages, step.image,
                                      &std::pair<batch::Index, std::uint32_t>::first);
    if (it == servedImages.end())
        servedImages.emplace_back(step.image, 1);
    else
        ++it->second;
}

void Worker::release(const Step &step)
{
    const StepSpec &spec = *step.spec;
    used -= spec.reserved();
    backfillMillicores -= spec.fills ? spec.size.millicores : 0;
    if (!spec.serves() || spec.fills)
        return;
    servingMillicores -= spec.size.millicores;
    const auto it = std::ranges::find(servedImages, step.image,
                                      &std::pair<batch::Index, std::uint32_t>::first);
    ACACIAFORK_ASSERT(it != servedImages.end());
    if (--it->second == 0)
        servedImages.erase(it);
}

Worker &WorkerTable::add(const WorkerLife &life)
{
    const WorkerId id { ++m_lastId };
    auto worker = std::make_unique<Worker>();
    worker->id = id;
    worker->life = life;
    m_names[life.name] = id;
    return *m_workers.emplace(id, std::move(worker)).first->second;
}

Worker *WorkerTable::find(WorkerId id) const
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : it->second.get();
}

Worker *WorkerTable::find(const WorkerName &name) const
{
    const auto it = m_names.find(name);
    return it == m_names.end() ? nullptr : find(it->second);
}

void WorkerTable::remove(WorkerId id)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end())
        return;
    const auto name = m_names.find(it->second->life.name);
    if (name != m_names.end() && name->second == id)
        m_names.erase(name);
    m_workers.erase(it);
}

void WorkerTable::clear()
{
    m_workers.clear();
    m_names.clear();
}

} // namespace acaciafork::jobs
