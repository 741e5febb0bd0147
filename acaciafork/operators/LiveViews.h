#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "acaciafork/core/Counters.h"
#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Timeline.h"

namespace acaciafork::operators {

/// An endpoint as the control leader sees it.
struct EndpointView
{
    EndpointName name;
    ServiceName service;
    std::string address;
    ZoneName zone;
    RackName rack;
    /// ready, leaving, ejected, or another word of the routing policy.
    std::string state;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /// Slots granted to entries, and those of lost entries that are not free yet.
    std::uint32_t granted = 0;
    std::uint32_t quarantined = 0;
};

/// A worker as the control leader sees it.
struct WorkerView
{
    WorkerName name;
    std::string address;
    ZoneName zone;
    RackName rack;
    /// ready, quarantined, lost, or another word of the batch policy.
    std::string state;
    std::uint64_t millicores = 0;
    std::uint64_t memoryMb = 0;
    std::uint64_t accelerators = 0;
    /// Under live leases.
    std::uint64_t millicoresLeased = 0;
    std::uint64_t memoryMbLeased = 0;
    std::uint32_t tasks = 0;
};

/// A member of the control group.
struct MemberView
{
    ProcessId id;
    ZoneName zone;
    std::string address;
    /// leader, voter or learner.
    std::string role;
    /// Last log index known to be synced there.
    std::uint64_t matchIndex = 0;
    bool reachable = false;
};

/// One of the system's own processes.
struct ProcessView
{
    ProcessId id;
    /// entry or control.
    std::string role;
    ZoneName zone;
    /// host:port of its operators' interface.
    std::string operatorsAddress;
    /// starting, ready, draining, stale or lost.
    std::string state;
    /// Version of the configuration that it runs.
    ConfigVersion config;
};

/// The control group as a whole.
struct ClusterView
{
    std::string cluster;
    ProcessId self;
    /// None while there is no leader.
    ProcessId leader;
    std::uint64_t term = 0;
    std::uint64_t commitIndex = 0;
    /// How many members may still be lost without losing the quorum, counting synced ones only.
    std::uint32_t membersToSpare = 0;
};

/// Expectation of when the move under way ends.
struct MoveProjection
{
    std::int64_t finishMicroseconds = 0;
    std::uint32_t tasksLeft = 0;
    /// Why it stands still; empty when it does not.
    std::string waitingFor;
};

/// What operators may see that is not part of the replicated state. The control daemon implements
/// it; nothing here is on a hot path.
class LiveViews
{
public:
    virtual ~LiveViews() = default;

    /// The control group.
    [[nodiscard]] virtual ClusterView cluster() const = 0;
    /// Every process known, entries and control members.
    [[nodiscard]] virtual std::vector<ProcessView> processes() const = 0;
    /// Members of the control group.
    [[nodiscard]] virtual std::vector<MemberView> members() const = 0;
    /// Endpoints known.
    [[nodiscard]] virtual std::vector<EndpointView> endpoints() const = 0;
    /// Workers known.
    [[nodiscard]] virtual std::vector<WorkerView> workers() const = 0;
    /// Availability zones that the settings name.
    [[nodiscard]] virtual std::vector<ZoneName> zones() const = 0;
    /// Projection for the move under way, if the policy has one.
    [[nodiscard]] virtual std::optional<MoveProjection> moveProjection() const = 0;
    /// Time line of this process.
    [[nodiscard]] virtual const Timeline &timeline() const = 0;
    /// Counters of this process.
    [[nodiscard]] virtual const CounterRegistry &counters() const = 0;
};

} // namespace acaciafork::operators
