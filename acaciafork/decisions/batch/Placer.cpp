#include "acaciafork/decisions/batch/Placer.h"

#include <cmath>

namespace acaciafork::batch {

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
    m_model->index.forEachFitting(size, [&](Index worker) {
        best.anyRoom = true;
        if (starvesAccelerators(m_model->fleet.worker(worker), size))
            return true;
        const double cost = jobCost(task, size, worker);
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
    m_model->index.forEachFitting(size, [&](Index worker) {
        best.anyRoom = true;
        const Worker &it = m_model->fleet.worker(worker);
        constexpr double zoneWeight = 100;
        constexpr double rackWeight = 10;
        const double spread = zoneWeight * m_replicasInZone[m_model->fleet.rack(it.rack).zone]
                + rackWeight * m_replicasInRack[it.rack];
        const double cost = spread + leftover(it, size);
        if (best.worker == noIndex || cost < bestCost) {
            best.worker = worker;
            bestCost = cost;
        }
        return spread > 0;
    });
    return best;
}

double Placer::jobCost(const Task & /*task*/, const Resources &size, Index worker) const
{
    return leftover(m_model->fleet.worker(worker), size);
}

double Placer::leftover(const Worker &worker, const Resources &size)
{
    const Resources left = worker.freeRoom() - size;
    const double cores = static_cast<double>(left.millicores) / std::max(worker.room.millicores, 1);
    const double memory = static_cast<double>(left.memoryMb) / std::max(worker.room.memoryMb, 1);
    constexpr double unevenWeight = 0.5;
    return (cores + memory) / 2 + unevenWeight * std::abs(cores - memory);
}

bool Placer::starvesAccelerators(const Worker &worker, const Resources &size)
{
    if (size.accelerators > 0 || worker.room.accelerators == 0)
        return false;
    const Resources left = worker.freeRoom() - size;

    // Each free accelerator keeps half of its part of the cores and the memory.
    constexpr std::int64_t keptParts = 2;
    const std::int64_t parts = keptParts * worker.room.accelerators;
    return left.millicores * parts < std::int64_t { worker.room.millicores } * left.accelerators
            || left.memoryMb * parts < std::int64_t { worker.room.memoryMb } * left.accelerators;
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
