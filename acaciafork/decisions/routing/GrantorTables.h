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

/// Credit that one entry may hold at one endpoint, as far as the grantor knows.
struct GrantorHolding
{
    /// Numbers of the newest grant sent and of the newest that the entry has accepted.
    std::uint64_t lastSentNumber = 0;
    std::uint64_t acceptedNumber = 0;
    /// Slots and connections of the newest grant sent, or reported since.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /// Maximum that the entry can hold or use, according to its newest report.
    std::uint32_t reportedSlots = 0;
    std::uint32_t reportedConnections = 0;
    /// Maximum over the grants that the entry may still accept.
    std::uint32_t pendingSlots = 0;
    std::uint32_t pendingConnections = 0;
    /// Attempts that the entry has abandoned but that may still be running.
    std::uint32_t lingering = 0;
    Timestamp lastSentAt;
    /// True while it is listed in EntrySession::unresolved.
    bool unresolved = false;

    /// True while the entry may still accept a grant that was sent.
    [[nodiscard]] bool pending() const { return acceptedNumber < lastSentNumber; }
    /// Slots of the endpoint's capacity that the holding occupies.
    [[nodiscard]] std::uint32_t chargedSlots() const;
    /// Connections of the endpoint's limit that the holding occupies.
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
    /// False when it is leaving or has not been announced recently.
    bool usable = false;
    AdaptiveLimit limit;
    /// Sums over all holdings.
    std::uint32_t chargedSlots = 0;
    std::uint32_t chargedConnections = 0;
    /// Maximum that entries which have not reported to this leader may hold.
    std::uint32_t unreportedSlots = 0;
    std::uint32_t unreportedConnections = 0;
    /// Sessions with a holding.
    std::vector<TableIndex> holders;
    TableIndex poolPosition = noIndex;

    /// Total slots that may be granted.
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
    /// Number of endpoints at which the entry holds at least one slot.
    std::uint32_t endpoints = 0;
    /// Round-robin position of the search for the next endpoint.
    std::size_t cursor = 0;
};

/// One incarnation of an entry, from its first report until all it held is known to be free.
struct EntrySession
{
    ProcessId entry;
    Incarnation incarnation;
    ZoneName zone;
    /// Newest report processed.
    std::uint64_t reportNumber = 0;
    Timestamp reportedAt;
    /// Time after which the entry can start no attempts, with the margin for clock skew.
    Timestamp leaseExpiresAt;
    /// False once the entry is lost or its lease has expired.
    bool live = true;
    /// False for a free row of the table.
    bool used = true;
    bool draining = false;
    /// True until the entry has been sent the list of leaving endpoints.
    bool needsLeavingNotices = false;
    /// True once the first report, which is a full one, has been processed.
    bool hasReported = false;
    std::uint64_t lastGrantNumber = 0;
    Timestamp grantedAt;
    boost::unordered_flat_map<TableIndex, GrantorHolding> holdings;
    /// Endpoints of the holdings with an unacknowledged grant or with lingering attempts.
    std::vector<TableIndex> unresolved;
    /// Indexed by service.
    std::vector<SessionDemand> demands;
};

/// One service, as the grantor knows it.
struct GrantorService
{
    ServiceName name;
    /// Endpoints with a free slot, by zone.
    std::vector<IndexPool> pools;
    /// Sums of capacity and unreported slots over its usable endpoints.
    std::uint32_t capacity = 0;
    std::uint32_t unreported = 0;
    /// Number of endpoints with capacity.
    std::uint32_t endpoints = 0;

    /// True when a slot can be granted now at an endpoint of any zone.
    [[nodiscard]] bool hasFree() const;
};

/// The grantor's endpoints, services and sessions. Charges are changed only through this class,
/// so that sums and pools always agree with the holdings.
class GrantorTables
{
public:
    /// Row of an endpoint, or noIndex.
    [[nodiscard]] TableIndex findEndpoint(const EndpointName &name) const;
    /// Adds an endpoint of a service and returns its row. It has no capacity until
    /// applyAnnouncement() is called.
    TableIndex addEndpoint(const EndpointName &name, const ServiceName &service);
    /// Stores the state that an announcement carries.
    void applyAnnouncement(TableIndex endpoint, const EndpointAnnouncement &announcement);
    /// Removes an endpoint without holdings.
    void removeEndpoint(TableIndex endpoint);
    /// Rows of all endpoints.
    [[nodiscard]] const std::unordered_map<EndpointName, TableIndex> &endpointRows() const
    {
        return m_endpointRows;
    }

    /// Row of a service, created on first use.
    TableIndex serviceRow(const ServiceName &name);
    /// Row of a zone, created on first use.
    TableIndex zoneRow(const ZoneName &name);

    /// Row of a live or lost session, or noIndex.
    [[nodiscard]] TableIndex findSession(ProcessId entry, Incarnation incarnation) const;
    /// Adds a session and returns its row.
    TableIndex addSession(ProcessId entry, Incarnation incarnation);
    /// Removes a session without holdings.
    void removeSession(TableIndex session);

    /// Holding of a session at an endpoint, created on first use.
    GrantorHolding &holding(TableIndex session, TableIndex endpoint);
    /// Applies `change` to a holding and updates all sums; an empty holding is removed.
    template <typename Change>
    void changeHolding(TableIndex session, TableIndex endpoint, Change change);

    /// Applies `change` to an endpoint and updates the sums and pools that depend on it.
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
