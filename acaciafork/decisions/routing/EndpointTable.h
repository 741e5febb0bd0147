#pragma once

#include <deque>
#include <unordered_map>

#include "acaciafork/decisions/routing/EntryEndpoint.h"
#include "acaciafork/decisions/routing/ServiceTable.h"

namespace acaciafork::routing {

/// The endpoints at which one entry holds or has held credit. Changes go through this class, which
/// keeps the counts and endpoint pools of the services consistent with the endpoints.
class EndpointTable
{
public:
    /// @param[in] services must outlive this object
    explicit EndpointTable(ServiceTable *services);

    /// Index of an endpoint, or noIndex.
    [[nodiscard]] TableIndex find(const EndpointName &name) const;

    /// Index of an endpoint; adds it to the service when it is not in the table.
    TableIndex findOrAdd(const EndpointName &name, TableIndex service);

    /// Index of a rack, assigned on first use.
    TableIndex rackIndex(const RackName &rack);

    EntryEndpoint &operator[](TableIndex index) { return m_endpoints[index]; }
    const EntryEndpoint &operator[](TableIndex index) const { return m_endpoints[index]; }
    [[nodiscard]] TableIndex size() const { return static_cast<TableIndex>(m_endpoints.size()); }

    /// Sets the number of slots held at the endpoint.
    void setSlots(TableIndex index, std::uint32_t slots);

    /// Marks the endpoint as leaving, or as available again under a new incarnation.
    void setLeaving(TableIndex index, bool leaving);

    /// Updates the counts of the service, and adds the endpoint to its pool or removes it. To be
    /// called after each direct change of the endpoint.
    void refresh(TableIndex index);

    /// Takes a slot and a connection for an attempt.
    /// @return true when an idle connection is reused
    bool takeSlot(TableIndex index, std::int64_t expectedEnd);

    /// Frees an attempt's slot.
    void freeSlot(TableIndex index, std::int64_t expectedEnd);

    /// Returns an attempt's connection to the idle ones when it was kept, else counts it as closed.
    void releaseConnection(TableIndex index, bool kept);

    /// Records that a connection without an attempt was closed.
    void idleConnectionClosed(TableIndex index);

    /// Endpoints that have had no credit, attempt, connection or unacknowledged change since
    /// `since`. Scans all endpoints, and sets the time of last use of those still in use to `now`.
    std::vector<TableIndex> unusedSince(Timestamp since, Timestamp now);

    /// Removes an endpoint that has no credit, attempt or connection.
    void remove(TableIndex index);

    /// Highest grant number of all removed endpoints. An endpoint that is added again ignores
    /// grants up to it.
    [[nodiscard]] std::uint64_t grantFloor() const { return m_grantFloor; }

    /// Resets the grant numbers, which start again in each term.
    void resetGrantNumbers();

private:
    std::uint64_t m_grantFloor = 0;
    ServiceTable *m_services;
    std::deque<EntryEndpoint> m_endpoints;
    std::vector<TableIndex> m_freeRows;
    std::unordered_map<EndpointName, TableIndex> m_byName;
    std::unordered_map<RackName, TableIndex> m_racks;
};

} // namespace acaciafork::routing
