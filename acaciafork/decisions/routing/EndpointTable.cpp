#include "acaciafork/decisions/routing/EndpointTable.h"

#include <algorithm>

#include "acaciafork/core/Assert.h"

namespace acaciafork::routing {

EndpointTable::EndpointTable(ServiceTable *services)
    : m_services(services)
{ }

TableIndex EndpointTable::find(const EndpointName &name) const
{
    const auto it = m_byName.find(name);
    return it == m_byName.end() ? noIndex : it->second;
}

TableIndex EndpointTable::findOrAdd(const EndpointName &name, TableIndex service)
{
    const auto [it, inserted] = m_byName.try_emplace(name, noIndex);
    if (!inserted)
        return it->second;

    if (m_freeRows.empty()) {
        it->second = size();
        m_endpoints.emplace_back();
    } else {
        it->second = m_freeRows.back();
        m_freeRows.pop_back();
    }
    EntryEndpoint &endpoint = m_endpoints[it->second];
    endpoint.name = name;
    endpoint.grantNumber = m_grantFloor;
    endpoint.service = service;
    ++(*m_services)[service].endpoints;
    return it->second;
}

TableIndex EndpointTable::rackIndex(const RackName &rack)
{
    return m_racks.try_emplace(rack, static_cast<TableIndex>(m_racks.size())).first->second;
}

void EndpointTable::setSlots(TableIndex index, std::uint32_t slots)
{
    m_endpoints[index].slots = slots;
    refresh(index);
}

void EndpointTable::setLeaving(TableIndex index, bool leaving)
{
    m_endpoints[index].leaving = leaving;
    refresh(index);
}

void EndpointTable::refresh(TableIndex index)
{
    EntryEndpoint &endpoint = m_endpoints[index];
    EntryService &service = (*m_services)[endpoint.service];
    const std::uint32_t slots = endpoint.leaving ? 0 : endpoint.slots;
    const std::uint32_t held = endpoint.health.serving() ? slots : 0;
    service.heldSlots += held - endpoint.countedHeld;
    service.ejectedSlots += slots - held - endpoint.countedEjected;
    endpoint.countedHeld = held;
    endpoint.countedEjected = slots - held;

    IndexPool &pool = endpoint.local ? service.localPool : service.remotePool;
    if (endpoint.available())
        pool.add(index, &m_endpoints);
    else
        pool.remove(index, &m_endpoints);
}

bool EndpointTable::takeSlot(TableIndex index, std::int64_t expectedEnd)
{
    EntryEndpoint &endpoint = m_endpoints[index];
    ACACIAFORK_ASSERT(endpoint.available());
    ++endpoint.inUse;
    endpoint.expectedEnds += expectedEnd;

    const bool reuse = endpoint.idleConnections > 0;
    if (reuse)
        --endpoint.idleConnections;
    else
        ++endpoint.openConnections;
    refresh(index);
    return reuse;
}

void EndpointTable::freeSlot(TableIndex index, std::int64_t expectedEnd)
{
    EntryEndpoint &endpoint = m_endpoints[index];
    ACACIAFORK_ASSERT(endpoint.inUse > 0);
    --endpoint.inUse;
    endpoint.expectedEnds -= expectedEnd;
    refresh(index);
}

void EndpointTable::releaseConnection(TableIndex index, bool kept)
{
    EntryEndpoint &endpoint = m_endpoints[index];
    ACACIAFORK_ASSERT(endpoint.openConnections > 0);
    if (kept)
        ++endpoint.idleConnections;
    else
        --endpoint.openConnections;
    refresh(index);
}

void EndpointTable::idleConnectionClosed(TableIndex index)
{
    EntryEndpoint &endpoint = m_endpoints[index];
    if (endpoint.closingConnections > 0)
        --endpoint.closingConnections;
    else if (endpoint.idleConnections > 0)
        --endpoint.idleConnections;
    else
        return;
    --endpoint.openConnections;
    refresh(index);
}

void EndpointTable::resetGrantNumbers()
{
    m_grantFloor = 0;
    for (EntryEndpoint &it : m_endpoints)
        it.grantNumber = 0;
}

std::vector<TableIndex> EndpointTable::unusedSince(Timestamp since, Timestamp now)
{
    std::vector<TableIndex> found;
    for (TableIndex it = 0; it < size(); ++it) {
        EntryEndpoint &endpoint = m_endpoints[it];
        if (endpoint.name.value.empty())
            continue;
        const bool unused = endpoint.slots == 0 && endpoint.inUse == 0
                && endpoint.openConnections == 0 && endpoint.unacknowledgedSince == 0;
        if (!unused)
            endpoint.lastUsedAt = now;
        else if (endpoint.lastUsedAt < since)
            found.push_back(it);
    }
    return found;
}

void EndpointTable::remove(TableIndex index)
{
    EntryEndpoint &endpoint = m_endpoints[index];
    ACACIAFORK_ASSERT(endpoint.inUse == 0 && endpoint.slots == 0 && endpoint.openConnections == 0);
    EntryService &service = (*m_services)[endpoint.service];
    --service.endpoints;
    if (!endpoint.health.serving())
        --service.ejected;
    m_grantFloor = std::max(m_grantFloor, endpoint.grantNumber);
    m_byName.erase(endpoint.name);
    endpoint = EntryEndpoint {};
    m_freeRows.push_back(index);
}

} // namespace acaciafork::routing
