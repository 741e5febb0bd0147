#include "acaciafork/decisions/batch/Placer.h"

#include <cmath>

namespace acaciafork::batch {

namespace {

/// Cost of a place that is not taken.
constexpr double unacceptableCost = 1e9;

} // namespace

Placer::Placer(Model *model)
    : m_model(model)
{ }

Placement Placer::choose(Index task, const Resources &size)
{
    const Task &it = m_model->tasks[task];
    return it.isService() ? chooseForService(it, size) : chooseForJob(it, size);
}

Placement Placer::chooseForJob(const Task &task, const Resources &size)
{
    Placement best;
    double bestCost = 0;
    std::int32_t left = m_model->settings.tick.candidatesPerPlacement;
    constexpr std::int32_t visitsPerCandidate = 8;
    std::int32_t visitsLeft = left * visitsPerCandidate;
    m_model->index.forEachFitting(size, orderFor(task), [&](Index worker) {
        best.anyRoom = true;
        if (strandsAccelerators(m_model->fleet.worker(worker), size))
            return true;
        const double cost = jobCost(task, size, worker);
        if (cost >= unacceptableCost)
            return --visitsLeft > 0;
        if (best.worker == noIndex || cost < bestCost) {
            best.worker = worker;
            bestCost = cost;
        }
        return --left > 0;
    });
    return best;
}

Placement Placer::chooseForService(const Task &task, const Resources &size)
{
    // A service survives a rack and a zone: fewest replicas in the zone, then in the rack, then the
    // tightest place. The search ends early at a zone and rack without any.
    countReplicas(task.service);
    Placement best;
    double bestCost = 0;
    m_model->index.forEachFitting(size, SearchOrder::StayingOnly, [&](Index worker) {
        best.anyRoom = true;
        const Worker &it = m_model->fleet.worker(worker);
        constexpr double zoneWeight = 100;
        constexpr double rackWeight = 10;
        const double spread = zoneWeight * m_replicasInZone[m_model->fleet.rack(it.rack).zone]
                + rackWeight * m_replicasInRack[it.rack];
        const double cost = spread + leftoverCost(it, size);
        if (best.worker == noIndex || cost < bestCost) {
            best.worker = worker;
            bestCost = cost;
        }
        return spread > 0;
    });
    return best;
}

SearchOrder Placer::orderFor(const Task &task) const
{
    const bool noMove = m_model->nextDrainExpectedAt == Timestamp::max() && !m_model->moveNeedsRoom;
    if (noMove)
        return SearchOrder::StayingFirst;

    // While a move is on, what was moved once is not to be moved again; what ends before the racks
    // that come later are emptied goes there, and keeps the destination free.
    if (task.epoch)
        return SearchOrder::StayingOnly;
    constexpr double quantile = 0.9;
    const Duration runTime = m_model->sizes.runTime(task.family, task.declaredRunTime, quantile);
    if (m_model->moveNeedsRoom && !task.urgent)
        return SearchOrder::LeavingOnly;
    const bool endsBeforeDrain =
            runTime > Duration::zero() && m_model->now + runTime < m_model->nextDrainExpectedAt;
    return endsBeforeDrain ? SearchOrder::LeavingFirst : SearchOrder::StayingFirst;
}

double Placer::jobCost(const Task &task, const Resources &size, Index worker) const
{
    // Where the job failed before it does not go again; what a service would feel it does not do
    // knowingly.
    if (failedAt(task, worker))
        return unacceptableCost;
    const AddedSlowdown added = addedSlowdown(task, size, worker);
    constexpr double permilleScale = 1000;
    const double limit =
            static_cast<double>(m_model->settings.pressure.placementLimitPermille) / permilleScale;
    if (added.toServices > limit)
        return unacceptableCost;
    const bool misplaced = isStraggler(task) && hostsService(m_model->fleet.worker(worker));
    constexpr double stragglerCost = 3;
    constexpr double serviceWeight = 10;
    constexpr double jobWeight = 2;
    return leftoverCost(m_model->fleet.worker(worker), size) + serviceWeight * added.toServices
            + jobWeight * added.toJobs + (misplaced ? stragglerCost : 0);
}

Placer::AddedSlowdown Placer::addedSlowdown(const Task &task, const Resources &size,
                                            Index index) const
{
    const Worker &worker = m_model->fleet.worker(index);
    const InterferenceModel &model = m_model->interference;
    const Index level = InterferenceModel::loadLevel(worker.granted.millicores + size.millicores,
                                                     worker.room.millicores);
    AddedSlowdown sum;
    double suffered = 0;
    for (const Index neighbour : worker.tasks) {
        const Task &it = m_model->tasks[neighbour];
        const double caused = model.expected(it.family, task.family, level);
        (it.isService() ? sum.toServices : sum.toJobs) += caused;
        suffered += model.expected(task.family, it.family, level);
    }
    if (sum.toServices > 0)
        sum.toServices = std::max(sum.toServices, worstServiceSlowdown(task, worker, level));
    sum.toJobs += suffered;
    return sum;
}

double Placer::worstServiceSlowdown(const Task &task, const Worker &worker, Index level) const
{
    // A service feels all its neighbours together, so those already there count with the new one.
    const InterferenceModel &model = m_model->interference;
    double worst = 0;
    for (const Index victim : worker.tasks) {
        const Task &service = m_model->tasks[victim];
        if (!service.isService())
            continue;
        double slowdown = model.expected(service.family, task.family, level);
        for (const Index neighbour : worker.tasks) {
            if (neighbour != victim)
                slowdown += model.expected(service.family, m_model->tasks[neighbour].family, level);
        }
        worst = std::max(worst, slowdown);
    }
    return worst;
}

bool Placer::isStraggler(const Task &task) const
{
    constexpr double quantile = 0.9;
    constexpr int factor = 2;
    const Duration usualRunTime =
            m_model->sizes.runTime(task.family, task.declaredRunTime, quantile);
    return usualRunTime > Duration::zero() && task.attained > usualRunTime * factor;
}

bool Placer::hostsService(const Worker &worker) const
{
    return std::any_of(worker.tasks.begin(), worker.tasks.end(),
                       [&](Index it) { return m_model->tasks[it].isService(); });
}

bool Placer::failedAt(const Task &task, Index worker)
{
    return std::find(task.failedWorkers.begin(), task.failedWorkers.end(), worker)
            != task.failedWorkers.end();
}

double Placer::leftoverCost(const Worker &worker, const Resources &size)
{
    const Resources left = worker.freeRoom() - size;
    const double cores = static_cast<double>(left.millicores) / std::max(worker.room.millicores, 1);
    const double memory = static_cast<double>(left.memoryMb) / std::max(worker.room.memoryMb, 1);
    constexpr double imbalanceWeight = 0.5;
    return (cores + memory) / 2 + imbalanceWeight * std::abs(cores - memory);
}

bool Placer::strandsAccelerators(const Worker &worker, const Resources &size)
{
    if (size.accelerators > 0 || worker.room.accelerators == 0)
        return false;
    const Resources left = worker.freeRoom() - size;

    // Each free accelerator keeps half of its part of the cores and the memory.
    constexpr std::int64_t reservedDivisor = 2;
    const std::int64_t divisor = reservedDivisor * worker.room.accelerators;
    return left.millicores * divisor < std::int64_t { worker.room.millicores } * left.accelerators
            || left.memoryMb * divisor < std::int64_t { worker.room.memoryMb } * left.accelerators;
}

void Placer::countReplicas(Index service)
{
    const Fleet &fleet = m_model->fleet;
    m_replicasInRack.assign(fleet.rackCount(), 0);
    m_replicasInZone.assign(fleet.zoneCount(), 0);
    for (const Index task : m_model->serviceTasks[service]) {
        const Task &it = m_model->tasks[task];
        if (!it.onWorker())
            continue;

        // Replicas that are about to leave a rack don't count.
        const Index rack = fleet.worker(it.worker).rack;
        if (rack == noIndex || fleet.rack(rack).draining())
            continue;
        ++m_replicasInRack[rack];
        ++m_replicasInZone[fleet.rack(rack).zone];
    }
}

} // namespace acaciafork::batch
