#pragma once

#include <deque>
#include <unordered_map>

#include "acaciafork/decisions/routing/EntryEndpoint.h"
#include "acaciafork/decisions/routing/ServiceTable.h"

namespace acaciafork::routing {

/// The endpoints at which one entry holds, or held, credit. Every change goes through it, so that
/// the counts and pools of the services always agree with the endpoints.
class EndpointTable
{
public:
    /// @param[in] services outlives the table
    explicit EndpointTable(ServiceTable *services);

    /// Row of an endpoint, or noIndex.
    [[nodiscard]] TableIndex find(const EndpointName &name) const;

    /// Row of an endpoint of a service, made on first use.
    TableIndex findOrAdd(const EndpointName &name, TableIndex service);

    /// Number that stands for a rack.
    TableIndex rackIndex(const RackName &rack);

    EntryEndpoint &operator[](TableIndex index) { return m_endpoints[index]; }
    const EntryEndpoint &operator[](TableIndex index) const { return m_endpoints[index]; }
    [[nodiscard]] TableIndex size() const { return static_cast<TableIndex>(m_endpoints.size()); }

    /// Sets the slots held.
    void setSlots(TableIndex index, std::uint32_t slots);

    /// Marks the endpoint as leaving, or as back under a new incarnation.
    void setLeaving(TableIndex index, bool leaving);

    /// Puts the endpoint into its pool or takes it out, after any change of it.
    void refresh(TableIndex index);

    /// Takes a slot and a connection for an attempt. @return true when the connection is an idle
    /// one
    bool takeSlot(TableIndex index, std::int64_t expectedEnd);

    /// Gives a slot back.
    void freeSlot(TableIndex index, std::int64_t expectedEnd);

    /// Notes what became of an attempt's connection.
    void releaseConnection(TableIndex index, bool kept);

    /// Notes that a connection which no attempt held is closed.
    void idleConnectionClosed(TableIndex index);

    /// Rows of which nothing has been held, open or unreported since `since`; looks at all rows.
    std::vector<TableIndex> unusedSince(Timestamp since, Timestamp now);

    /// Forgets an endpoint of which nothing is held or in use.
    void remove(TableIndex index);

    /// Highest number of a grant for an endpoint that has been forgotten.
    [[nodiscard]] std::uint64_t grantFloor() const { return m_grantFloor; }

    /// Starts the numbers of grants anew, for a new term.
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
