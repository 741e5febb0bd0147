#include "acaciafork/control/ControlViews.h"

#include <algorithm>

namespace acaciafork::control {

ControlViews::ControlViews(std::string cluster, ProcessId self, const ControlNode *node,
                           const Timeline *timeline, const CounterRegistry *counters)
    : m_cluster(std::move(cluster))
    , m_self(self)
    , m_node(node)
    , m_timeline(timeline)
    , m_counters(counters)
{ }

void ControlViews::setZones(std::span<const std::string> names)
{
    m_zones.clear();
    for (const std::string &it : names)
        m_zones.push_back({ it });
}

void ControlViews::setMemberAddress(ProcessId member, MemberAddress address)
{
    m_addresses[member] = std::move(address);
}

operators::ClusterView ControlViews::cluster() const
{
    const consensus::ReplicaStatus status = m_status();
    return { .cluster = m_cluster,
             .self = m_self,
             .leader = status.node.leader,
             .term = status.node.term,
             .commitIndex = status.node.commit,
             .membersToSpare = static_cast<std::uint32_t>(status.redundancy.faultsTolerated) };
}

std::vector<operators::ProcessView> ControlViews::processes() const
{
    std::vector<operators::ProcessView> views;
    for (const auto &[process, it] : m_node->entries().entries()) {
        views.push_back({ .id = process,
                          .role = "entry",
                          .zone = { it.zone },
                          .operatorsAddress = it.operatorsAddress,
                          .state = it.draining ? "draining" : "ready",
                          .config = it.version });
    }
    for (const operators::MemberView &it : members()) {
        const auto address = m_addresses.find(it.id);
        views.push_back({ .id = it.id,
                          .role = "control",
                          .zone = it.zone,
                          .operatorsAddress = address == m_addresses.end()
                                  ? std::string()
                                  : address->second.operators,
                          .state = it.reachable ? "ready" : "lost",
                          .config = m_node->state().configuration().version() });
    }
    return views;
}

std::vector<operators::MemberView> ControlViews::members() const
{
    const consensus::ReplicaStatus status = m_status();
    std::vector<operators::MemberView> views;
    for (const consensus::Member &member : status.node.membership.members) {
        const auto known = std::find_if(
                status.node.members.begin(), status.node.members.end(),
                [&member](const consensus::MemberStatus &it) { return it.member.id == member.id; });
        const bool isKnown = known != status.node.members.end();
        const auto address = m_addresses.find(member.id);
        std::string role = member.voter ? "voter" : "learner";
        if (member.id == status.node.leader)
            role = "leader";
        views.push_back(
                { .id = member.id,
                  .zone = member.zone,
                  .address = address == m_addresses.end() ? std::string() : address->second.peers,
                  .role = std::move(role),
                  .matchIndex = isKnown ? known->match : 0,
                  .reachable = isKnown && known->live });
    }
    return views;
}

std::vector<operators::EndpointView> ControlViews::endpoints() const
{
    const routing::GrantorTables &tables = m_node->grantor().tables();
    std::vector<operators::EndpointView> views;
    for (const auto &[name, row] : tables.endpointRows()) {
        const routing::GrantorEndpoint &it = tables.endpoint(row);

        // What lost entries hold is charged like any other credit; here it is shown apart.
        std::uint32_t quarantined = it.unreportedSlots;
        for (const routing::TableIndex holder : it.holders) {
            const routing::EntrySession &session = tables.session(holder);
            const auto holding = session.holdings.find(row);
            if (!session.live && holding != session.holdings.end())
                quarantined += holding->second.chargedSlots();
        }
        views.push_back({ .name = it.name,
                          .address = it.address,
                          .zone = it.zoneName,
                          .rack = it.rack,
                          .state = it.usable ? "ready" : "leaving",
                          .slots = it.slots,
                          .connections = it.connections,
                          .granted = it.chargedSlots,
                          .quarantined = quarantined });
    }
    std::sort(views.begin(), views.end(),
              [](const auto &a, const auto &b) { return a.name < b.name; });
    return views;
}

std::vector<operators::WorkerView> ControlViews::workers() const
{
    std::vector<operators::WorkerView> views;
    for (const auto &[name, report] : m_node->batch().workers()) {
        operators::WorkerView view { .name = name,
                                     .zone = report.zone,
                                     .rack = report.rack,
                                     .state = "ready",
                                     .millicores =
                                             static_cast<std::uint64_t>(report.room.millicores),
                                     .memoryMb = static_cast<std::uint64_t>(report.room.memoryMb),
                                     .accelerators =
                                             static_cast<std::uint64_t>(report.room.accelerators),
                                     .tasks = static_cast<std::uint32_t>(report.tasks.size()) };
        for (const batch::TaskReport &it : report.tasks) {
            const state::Task *task = m_node->state().tasks().find(it.task.value);
            if (task == nullptr || !task->hasLiveLease())
                continue;
            view.millicoresLeased += task->size.millicores;
            view.memoryMbLeased += task->size.memoryMb;
        }
        views.push_back(std::move(view));
    }
    return views;
}

std::optional<operators::MoveProjection> ControlViews::moveProjection() const
{
    return std::nullopt;
}

} // namespace acaciafork::control
