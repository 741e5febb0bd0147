#pragma once

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "acaciafork/consensus/Consensus.h"
#include "acaciafork/control/ControlNode.h"
#include "acaciafork/operators/Operators.h"

namespace acaciafork::control {

/// What operators see beside the replicated state: endpoints, workers, entries, members.
class ControlViews : public operators::LiveViews
{
public:
    /// Where a member can be reached, from the settings or from its messages.
    struct MemberAddress
    {
        std::string peers;
        std::string operators;
    };

    ControlViews(std::string cluster, ProcessId self, const ControlNode *node,
                 const Timeline *timeline, const CounterRegistry *counters);

    /// Sets where the state of the agreement comes from.
    void setStatus(std::function<consensus::ReplicaStatus()> status)
    {
        m_status = std::move(status);
    }
    /// Sets the availability zones that the settings name.
    void setZones(std::span<const std::string> names);
    /// Remembers the address of a member.
    void setMemberAddress(ProcessId member, MemberAddress address);

    [[nodiscard]] operators::ClusterView cluster() const override;
    [[nodiscard]] std::vector<operators::ProcessView> processes() const override;
    [[nodiscard]] std::vector<operators::MemberView> members() const override;
    [[nodiscard]] std::vector<operators::EndpointView> endpoints() const override;
    [[nodiscard]] std::vector<operators::WorkerView> workers() const override;
    [[nodiscard]] std::vector<ZoneName> zones() const override { return m_zones; }
    [[nodiscard]] std::optional<operators::MoveProjection> moveProjection() const override;
    [[nodiscard]] const Timeline &timeline() const override { return *m_timeline; }
    [[nodiscard]] const CounterRegistry &counters() const override { return *m_counters; }

private:
    std::string m_cluster;
    ProcessId m_self;
    const ControlNode *m_node;
    const Timeline *m_timeline;
    const CounterRegistry *m_counters;
    std::function<consensus::ReplicaStatus()> m_status;
    std::vector<ZoneName> m_zones;
    std::map<ProcessId, MemberAddress> m_addresses;
};

} // namespace acaciafork::control
