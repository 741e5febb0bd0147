#include "acaciafork/decisions/batch/MovePlanner.h"

namespace acaciafork::batch {

MovePlanner::MovePlanner(const Fleet *fleet)
    : m_fleet(fleet)
{ }

MovePlan MovePlanner::plan(const BuildingName &from, const BuildingName &to) const
{
    MovePlan plan;
    Resources toMove;
    Resources room;
    std::vector<std::pair<std::int32_t, RackName>> byLoad;
    for (Index index = 0; index < m_fleet->rackCount(); ++index) {
        const Rack &rack = m_fleet->rack(index);
        if (rack.record.building == to && !rack.draining())
            room += freeRoom(rack);
        if (rack.record.building != from || rack.record.state == RackState::Retired)
            continue;
        toMove += granted(rack);
        byLoad.emplace_back(granted(rack).millicores, rack.record.rack);
    }
    std::sort(byLoad.begin(), byLoad.end());
    for (const auto &[load, rack] : byLoad)
        plan.steps.push_back(rack);
    plan.shortage = componentwiseMax(toMove - room, Resources {});
    return plan;
}

Resources MovePlanner::granted(const Rack &rack) const
{
    Resources sum;
    for (const Index it : rack.workers)
        sum += m_fleet->worker(it).granted;
    return sum;
}

Resources MovePlanner::freeRoom(const Rack &rack) const
{
    Resources sum;
    for (const Index it : rack.workers) {
        if (m_fleet->eligible(it))
            sum += m_fleet->worker(it).freeRoom();
    }
    return sum;
}

} // namespace acaciafork::batch
