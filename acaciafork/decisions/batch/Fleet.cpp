#include "acaciafork/decisions/batch/Fleet.h"

namespace acaciafork::batch {

Index Fleet::internWorker(const WorkerName &name)
{
    const Index index = m_workerNames.intern(name);
    if (index == m_workers.size())
        m_workers.emplace_back();
    return index;
}

Index Fleet::putRack(const RackRecord &record)
{
    const Index index = m_rackNames.intern(record.rack);
    if (index == m_racks.size())
        m_racks.emplace_back();
    Rack &rack = m_racks[index];
    rack.record = record;
    rack.building = m_buildings.intern(record.building);
    rack.zone = m_zones.intern(record.zone);
    return index;
}

void Fleet::setRack(Index worker, Index rack)
{
    Worker &it = m_workers[worker];
    if (it.rack == rack)
        return;
    const auto taskCount = static_cast<std::uint32_t>(it.tasks.size());
    if (it.rack != noIndex) {
        std::erase(m_racks[it.rack].workers, worker);
        m_racks[it.rack].tasks -= taskCount;
    } else {
        m_tasksWithoutRack -= taskCount;
    }
    it.rack = rack;
    m_racks[rack].workers.push_back(worker);
    m_racks[rack].tasks += taskCount;
}

Index Fleet::attach(Index worker, Index task, const Resources &granted)
{
    Worker &it = m_workers[worker];
    it.granted += granted;
    it.tasks.push_back(task);
    ++(it.rack != noIndex ? m_racks[it.rack].tasks : m_tasksWithoutRack);
    return static_cast<Index>(it.tasks.size() - 1);
}

Index Fleet::detach(Index worker, Index position, const Resources &granted)
{
    Worker &it = m_workers[worker];
    it.granted -= granted;
    --(it.rack != noIndex ? m_racks[it.rack].tasks : m_tasksWithoutRack);
    const Index last = it.tasks.back();
    it.tasks[position] = last;
    it.tasks.pop_back();
    return position < it.tasks.size() ? last : noIndex;
}

UnschedulableReason Fleet::unschedulableReason(const Resources &size) const
{
    // Workers that are silent now may come back, so all that ever reported count.
    Resources maxAmounts;
    bool fits = false;
    for (const Worker &it : m_workers) {
        if (it.rack == noIndex || m_racks[it.rack].record.state == RackState::Retired)
            continue;
        maxAmounts = componentwiseMax(maxAmounts, it.room);
        fits = fits || size.fitsIn(it.room);
    }
    if (fits || maxAmounts == Resources {})
        return UnschedulableReason::None;
    if (size.millicores > maxAmounts.millicores)
        return UnschedulableReason::TooManyCores;
    if (size.memoryMb > maxAmounts.memoryMb)
        return UnschedulableReason::TooMuchMemory;
    if (size.accelerators > maxAmounts.accelerators)
        return UnschedulableReason::TooManyAccelerators;
    return UnschedulableReason::NoSuchShape;
}

bool Fleet::eligible(Index worker) const
{
    const Worker &it = m_workers[worker];
    return it.present && !it.quarantined && it.reservedFor == noIndex && it.rack != noIndex
            && !m_racks[it.rack].draining();
}

} // namespace acaciafork::batch
