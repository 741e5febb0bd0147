#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "acaciafork/decisions/routing/AdaptiveLimit.h"
#include "acaciafork/decisions/routing/IndexPool.h"
#include "acaciafork/decisions/routing/Messages.h"

namespace acaciafork::routing {

/// What one entry may hold of one endpoint, as far as the grantor can know.
struct GrantorHolding
{
    /// Newest grant sent, and newest that the entry has taken in.
    std::uint64_t lastSentNumber = 0;
    std::uint64_t acceptedNumber = 0;
    /// Slots of the newest grant sent, or reported since.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /// Most that the entry can have in force or in use, by its newest report.
    std::uint32_t reportedSlots = 0;
    std::uint32_t reportedConnections = 0;
    /// Most of the grants that the entry may yet take in.
    std::uint32_t pendingSlots = 0;
    std::uint32_t pendingConnections = 0;
    /// Attempts that the entry has given up on.
    std::uint32_t lingering = 0;
    Timestamp lastSentAt;
    /// True while the session watches it.
    bool unresolved = false;

    /// True while a grant may yet be taken in.
    [[nodiscard]] bool pending() const { return acceptedNumber < lastSentNumber; }
    /// Slots that the holding takes from the endpoint's room.
    [[nodiscard]] std::uint32_t chargedSlots() const;
    /// Connections that the holding takes from the endpoint's room.
    [[nodiscard]] std::uint32_t chargedConnections() const;
};

/// One endpoint, as the grantor knows it.
struct GrantorEndpoint
{
    EndpointName name;
    TableIndex service = noIndex;
    TableIndex zone = 0;
    std::string address;
    ZoneName zoneName;
    RackName rack;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t requestsInProgress = 0;
    bool listsAttempts = false;
    std::vector<AttemptId> attemptsInProgress;
    Timestamp announcedAt;
    /// False when it leaves or has not been heard of lately.
    bool usable = false;
    AdaptiveLimit limit;
    /// Sums over all holdings.
    std::uint32_t chargedSlots = 0;
    std::uint32_t chargedConnections = 0;
    /// What entries may hold that have not reported to this leader.
    std::uint32_t unreportedSlots = 0;
    std::uint32_t unreportedConnections = 0;
    /// Sessions with a holding.
    std::vector<TableIndex> holders;
    TableIndex poolPosition = noIndex;

    /// Slots that may be granted in all.
    [[nodiscard]] std::uint32_t capacity() const { return usable ? limit.apply(slots) : 0; }
    /// Slots that can be granted now.
    [[nodiscard]] std::uint32_t freeSlots() const;
    /// Connections that can be granted now.
    [[nodiscard]] std::uint32_t freeConnections() const;
};

/// Demand of one entry for one service.
struct SessionDemand
{
    std::uint32_t wanted = 0;
    std::uint32_t spare = 0;
    /// Slots that the entry should hold.
    std::uint32_t target = 0;
    /// Slots granted: sum over the holdings.
    std::uint32_t granted = 0;
    /// Endpoints with a holding of at least a slot.
    std::uint32_t endpoints = 0;
    /// Place at which the next endpoint is looked for.
    std::size_t cursor = 0;
};

/// One start of one entry, from its first report until all it held is known to be free.
struct EntrySession
{
    ProcessId entry;
    Incarnation incarnation;
    ZoneName zone;
    /// Newest report taken in.
    std::uint64_t reportNumber = 0;
    Timestamp reportedAt;
    /// From when on the entry can surely start nothing.
    Timestamp leaseExpiresAt;
    /// True while the entry may start requests.
    bool live = true;
    /// True when the slot in the table is in use.
    bool used = true;
    bool draining = false;
    /// True until the entry has been told what leaves.
    bool needsLeavingNotices = false;
    /// True once a full report has come.
    bool hasReported = false;
    std::uint64_t lastGrantNumber = 0;
    Timestamp grantedAt;
    boost::unordered_flat_map<TableIndex, GrantorHolding> holdings;
    /// Holdings of which a grant is not known to be taken in, or that have lingering attempts.
    std::vector<TableIndex> unresolved;
    /// By service.
    std::vector<SessionDemand> demands;
};

/// One service, as the grantor knows it.
struct GrantorService
{
    ServiceName name;
    /// Endpoints with a free slot, by zone.
    std::vector<IndexPool> pools;
    /// Sums over its usable endpoints.
    std::uint32_t capacity = 0;
    std::uint32_t unreported = 0;
    /// Endpoints with room.
    std::uint32_t endpoints = 0;

    /// Slots that can be granted now at endpoints of any zone.
    [[nodiscard]] bool hasFree() const;
};

/// The grantor's endpoints, services and sessions. Every change of a charge goes through it, so
/// that sums and pools always agree with the holdings.
class GrantorTables
{
public:
    /// Row of an endpoint, or noIndex.
    [[nodiscard]] TableIndex findEndpoint(const EndpointName &name) const;
    /// Row of an endpoint, made for a service; it has no room until it is described.
    TableIndex addEndpoint(const EndpointName &name, const ServiceName &service);
    /// Takes over what an announcement says.
    void applyAnnouncement(TableIndex endpoint, const EndpointAnnouncement &announcement);
    /// Forgets an endpoint that nobody holds.
    void removeEndpoint(TableIndex endpoint);
    /// Rows of all endpoints.
    [[nodiscard]] const std::unordered_map<EndpointName, TableIndex> &endpointRows() const
    {
        return m_endpointRows;
    }

    /// Row of a service, made on first use.
    TableIndex serviceRow(const ServiceName &name);
    /// Row of a zone, made on first use.
    TableIndex zoneRow(const ZoneName &name);

    /// Row of a live or lost session, or noIndex.
    [[nodiscard]] TableIndex findSession(ProcessId entry, Incarnation incarnation) const;
    /// New session.
    TableIndex addSession(ProcessId entry, Incarnation incarnation);
    /// Forgets a session without holdings.
    void removeSession(TableIndex session);

    /// Holding of a session at an endpoint, made on first use.
    GrantorHolding &holding(TableIndex session, TableIndex endpoint);
    /// Applies `change` to a holding and keeps all sums right; an empty holding is dropped.
    template <typename Change>
    void changeHolding(TableIndex session, TableIndex endpoint, Change change);

    /// Changes anything of an endpoint that its room depends on.
    template <typename Change>
    void changeEndpoint(TableIndex endpoint, Change change);

    GrantorEndpoint &endpoint(TableIndex index) { return m_endpoints[index]; }
    GrantorService &service(TableIndex index) { return m_services[index]; }
    EntrySession &session(TableIndex index) { return m_sessions[index]; }
    [[nodiscard]] const GrantorEndpoint &endpoint(TableIndex index) const
    {
        return m_endpoints[index];
    }
    [[nodiscard]] const EntrySession &session(TableIndex index) const { return m_sessions[index]; }
    [[nodiscard]] TableIndex serviceCount() const
    {
        return static_cast<TableIndex>(m_services.size());
    }
    [[nodiscard]] TableIndex sessionCount() const
    {
        return static_cast<TableIndex>(m_sessions.size());
    }
    [[nodiscard]] TableIndex zoneCount() const { return static_cast<TableIndex>(m_zones.size()); }

    /// Demand of a session for a service.
    SessionDemand &demand(TableIndex session, TableIndex service);

private:
    void refreshPool(TableIndex endpoint);
    void afterHoldingChange(TableIndex session, TableIndex endpoint, const GrantorHolding &before);

    std::deque<GrantorEndpoint> m_endpoints;
    std::vector<TableIndex> m_freeEndpointRows;
    std::unordered_map<EndpointName, TableIndex> m_endpointRows;
    std::deque<GrantorService> m_services;
    std::unordered_map<ServiceName, TableIndex> m_serviceRows;
    std::unordered_map<ZoneName, TableIndex> m_zones;
    std::deque<EntrySession> m_sessions;
};

template <typename Change>
void GrantorTables::changeHolding(TableIndex session, TableIndex endpoint, Change change)
{
    GrantorHolding &changed = holding(session, endpoint);
    const GrantorHolding before = changed;
    change(&changed);
    afterHoldingChange(session, endpoint, before);
}

template <typename Change>
void GrantorTables::changeEndpoint(TableIndex index, Change change)
{
    GrantorEndpoint &changed = m_endpoints[index];
    GrantorService &owner = m_services[changed.service];
    owner.capacity -= changed.capacity();
    owner.endpoints -= changed.capacity() > 0 ? 1 : 0;
    owner.unreported -= changed.usable ? changed.unreportedSlots : 0;
    change(&changed);
    owner.capacity += changed.capacity();
    owner.endpoints += changed.capacity() > 0 ? 1 : 0;
    owner.unreported += changed.usable ? changed.unreportedSlots : 0;
    refreshPool(index);
}

} // namespace acaciafork::routing
