#include "acaciafork/decisions/routing/GrantorTables.h"

#include <algorithm>

#include "acaciafork/core/Assert.h"

namespace acaciafork::routing {
namespace {

/// Difference of two counts, not below zero.
std::uint32_t subtractOrZero(std::uint32_t a, std::uint32_t b)
{
    return a > b ? a - b : 0;
}

} // namespace

std::uint32_t GrantorHolding::chargedSlots() const
{
    return pending() ? std::max(reportedSlots, pendingSlots) : reportedSlots;
}

std::uint32_t GrantorHolding::chargedConnections() const
{
    return pending() ? std::max(reportedConnections, pendingConnections) : reportedConnections;
}

std::uint32_t GrantorEndpoint::freeSlots() const
{
    return subtractOrZero(capacity(), chargedSlots + unreportedSlots);
}

std::uint32_t GrantorEndpoint::freeConnections() const
{
    return usable ? subtractOrZero(connections, chargedConnections + unreportedConnections) : 0;
}

bool GrantorService::hasFree() const
{
    return std::any_of(pools.begin(), pools.end(), [](const IndexPool &it) { return !it.empty(); });
}

TableIndex GrantorTables::findEndpoint(const EndpointName &name) const
{
    const auto it = m_endpointRows.find(name);
    return it == m_endpointRows.end() ? noIndex : it->second;
}

TableIndex GrantorTables::addEndpoint(const EndpointName &name, const ServiceName &service)
{
    TableIndex index = static_cast<TableIndex>(m_endpoints.size());
    if (m_freeEndpointRows.empty()) {
        m_endpoints.emplace_back();
    } else {
        index = m_freeEndpointRows.back();
        m_freeEndpointRows.pop_back();
        m_endpoints[index] = GrantorEndpoint {};
    }
    GrantorEndpoint &added = m_endpoints[index];
    added.name = name;
    added.service = serviceRow(service);
    m_endpointRows.emplace(name, index);
    return index;
}

void GrantorTables::applyAnnouncement(TableIndex index, const EndpointAnnouncement &announcement)
{
    // Out of its pool while it changes zone.
    changeEndpoint(index, [](GrantorEndpoint *it) { it->usable = false; });
    m_endpoints[index].zone = zoneRow(announcement.zone);
    changeEndpoint(index, [&](GrantorEndpoint *it) {
        it->usable = !announcement.leaving;
        it->address = announcement.address;
        it->zoneName = announcement.zone;
        it->rack = announcement.rack;
        it->incarnation = announcement.incarnation;
        it->sequence = announcement.sequence;
        it->slots = announcement.slots;
        it->connections = announcement.connections;
        it->requestsInProgress = announcement.requestsInProgress;
        it->listsAttempts = announcement.listsAttempts;
        it->attemptsInProgress = announcement.attemptsInProgress;
    });
}

void GrantorTables::removeEndpoint(TableIndex index)
{
    changeEndpoint(index, [](GrantorEndpoint *it) { it->usable = false; });
    ACACIAFORK_ASSERT(m_endpoints[index].holders.empty());
    m_endpointRows.erase(m_endpoints[index].name);
    m_freeEndpointRows.push_back(index);
}

TableIndex GrantorTables::serviceRow(const ServiceName &name)
{
    const auto [it, inserted] = m_serviceRows.try_emplace(name, serviceCount());
    if (inserted)
        m_services.emplace_back().name = name;
    return it->second;
}

TableIndex GrantorTables::zoneRow(const ZoneName &name)
{
    return m_zones.try_emplace(name, zoneCount()).first->second;
}

TableIndex GrantorTables::findSession(ProcessId entry, Incarnation incarnation) const
{
    for (TableIndex it = 0; it < sessionCount(); ++it) {
        const EntrySession &candidate = m_sessions[it];
        if (candidate.used && candidate.entry == entry && candidate.incarnation == incarnation)
            return it;
    }
    return noIndex;
}

TableIndex GrantorTables::addSession(ProcessId entry, Incarnation incarnation)
{
    TableIndex index = 0;
    while (index < sessionCount() && m_sessions[index].used)
        ++index;
    if (index == sessionCount())
        m_sessions.emplace_back();
    m_sessions[index] = EntrySession { .entry = entry, .incarnation = incarnation };
    return index;
}

void GrantorTables::removeSession(TableIndex index)
{
    ACACIAFORK_ASSERT(m_sessions[index].holdings.empty());
    m_sessions[index] = EntrySession { .live = false, .used = false };
}

GrantorHolding &GrantorTables::holding(TableIndex session, TableIndex endpoint)
{
    const auto [it, inserted] = m_sessions[session].holdings.try_emplace(endpoint);
    if (inserted)
        m_endpoints[endpoint].holders.push_back(session);
    return it->second;
}

SessionDemand &GrantorTables::demand(TableIndex session, TableIndex service)
{
    std::vector<SessionDemand> &demands = m_sessions[session].demands;
    if (demands.size() <= service)
        demands.resize(service + 1);
    return demands[service];
}

void GrantorTables::afterHoldingChange(TableIndex session, TableIndex index,
                                       const GrantorHolding &before)
{
    GrantorEndpoint &changed = m_endpoints[index];
    const GrantorHolding &after = m_sessions[session].holdings[index];
    changed.chargedSlots += after.chargedSlots() - before.chargedSlots();
    changed.chargedConnections += after.chargedConnections() - before.chargedConnections();

    SessionDemand &serviceDemand = demand(session, changed.service);
    serviceDemand.granted += after.slots - before.slots;
    serviceDemand.endpoints += (after.slots > 0 ? 1U : 0U) - (before.slots > 0 ? 1U : 0U);

    const bool holdingEmpty = after.chargedSlots() == 0 && after.chargedConnections() == 0
            && after.slots == 0 && after.lingering == 0 && !after.pending();
    if (holdingEmpty) {
        m_sessions[session].holdings.erase(index);
        std::erase(changed.holders, session);
    }
    refreshPool(index);
}

void GrantorTables::refreshPool(TableIndex index)
{
    const GrantorEndpoint &changed = m_endpoints[index];
    std::vector<IndexPool> &pools = m_services[changed.service].pools;
    if (pools.size() <= changed.zone)
        pools.resize(changed.zone + 1);
    if (changed.freeSlots() > 0 && changed.freeConnections() > 0)
        pools[changed.zone].add(index, &m_endpoints);
    else
        pools[changed.zone].remove(index, &m_endpoints);
}

} // namespace acaciafork::routing
