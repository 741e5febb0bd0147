#include "acaciafork/decisions/routing/GrantAllocator.h"

#include <algorithm>

namespace acaciafork::routing {
namespace {

/// Time after which a grant that was not taken in is sent again.
constexpr Duration resendInterval = std::chrono::milliseconds(300);
/// Part of its target by which an entry may be above it before it gives slots back.
constexpr std::uint32_t targetSlackDivisor = 16;
/// Times the endpoints that its target needs at least which an entry may always reach.
constexpr std::uint32_t apertureHeadroom = 2;
/// Most peers named to an entry for one service.
constexpr std::size_t maxHintsPerService = 3;
/// Spare slots below which a peer is not named.
constexpr std::uint32_t minHintedSpare = 2;

} // namespace

GrantAllocator::GrantAllocator(GrantorTables *tables, const CreditSettings &settings)
    : m_tables(tables)
    , m_settings(settings)
{ }

void GrantAllocator::configure(std::span<const ServiceSettings> services)
{
    m_apertures.clear();
    for (const ServiceSettings &it : services)
        m_apertures[it.service] = it.aperture;
}

std::uint32_t GrantAllocator::apertureFor(TableIndex service)
{
    const auto it = m_apertures.find(m_tables->service(service).name);
    const std::uint32_t aperture =
            it == m_apertures.end() ? ServiceSettings().aperture : it->second;
    return aperture == 0 ? UINT32_MAX : aperture;
}

void GrantAllocator::setTargets(TableIndex index)
{
    const GrantorService &service = m_tables->service(index);
    std::uint64_t taken = service.unreported;
    std::uint64_t wanted = 0;
    std::uint32_t recipients = 0;
    for (TableIndex it = 0; it < m_tables->sessionCount(); ++it) {
        const SessionDemand &demand = m_tables->demand(it, index);
        const EntrySession &session = m_tables->session(it);
        if (!session.used || !session.live)
            taken += demand.granted;
        else
            wanted += demand.wanted;
        recipients += session.used && session.live && !session.draining ? 1 : 0;
    }
    const std::uint64_t capacity = service.capacity > taken ? service.capacity - taken : 0;

    // With enough for all, everyone gets what it wants and an even part of the rest; otherwise
    // everyone gets the same part of what it wants.
    for (TableIndex it = 0; it < m_tables->sessionCount(); ++it) {
        const EntrySession &session = m_tables->session(it);
        SessionDemand &demand = m_tables->demand(it, index);
        demand.target = 0;
        if (!session.used || !session.live || session.draining)
            continue;
        const std::uint64_t target = wanted <= capacity
                ? demand.wanted + (capacity - wanted) / recipients
                : capacity * demand.wanted / wanted;
        demand.target = static_cast<std::uint32_t>(target);
    }
}

void GrantAllocator::fillGrant(Timestamp now, TableIndex session, CreditGrant *grant)
{
    addUnresolved(now, session, grant);
    for (TableIndex it = 0; it < m_tables->serviceCount(); ++it) {
        allocate(now, session, it, grant);
        addHints(session, it, grant);
    }
}

bool GrantAllocator::canGrantMore(TableIndex session)
{
    for (TableIndex it = 0; it < m_tables->serviceCount(); ++it) {
        const SessionDemand &demand = m_tables->demand(session, it);
        if (demand.granted >= demand.target || !m_tables->service(it).hasFree())
            continue;
        if (!apertureReached(session, it) || !heldWithFreeSlots(session, it).empty())
            return true;
    }
    return false;
}

void GrantAllocator::allocate(Timestamp now, TableIndex session, TableIndex service,
                              CreditGrant *grant)
{
    std::vector<TableIndex> touched;
    std::vector<TableIndex> held;
    if (apertureReached(session, service))
        held = heldWithFreeSlots(session, service);
    while (m_tables->demand(session, service).granted < m_tables->demand(session, service).target) {
        const TableIndex endpoint = pickEndpoint(session, service, held);
        if (endpoint == noIndex)
            break;
        setGrant(now, session, endpoint, m_tables->holding(session, endpoint).slots + 1);
        touched.push_back(endpoint);
        if (held.empty() && apertureReached(session, service))
            held = heldWithFreeSlots(session, service);
    }
    std::sort(touched.begin(), touched.end());
    touched.erase(std::unique(touched.begin(), touched.end()), touched.end());
    for (const TableIndex it : touched)
        addEndpointGrant(now, session, it, grant);
}

bool GrantAllocator::apertureReached(TableIndex session, TableIndex index)
{
    // An entry that should hold much needs endpoints enough for twice that.
    const SessionDemand &demand = m_tables->demand(session, index);
    const GrantorService &service = m_tables->service(index);
    const std::uint32_t slotsEach =
            std::max(service.capacity / std::max(service.endpoints, 1U), 1U);
    const std::uint32_t needed = apertureHeadroom * demand.target / slotsEach;
    return demand.endpoints >= std::max(apertureFor(index), needed);
}

TableIndex GrantAllocator::pickEndpoint(TableIndex session, TableIndex service,
                                        const std::vector<TableIndex> &held)
{
    SessionDemand &demand = m_tables->demand(session, service);
    if (apertureReached(session, service)) {
        // Round the endpoints held already, until none of them has anything left.
        for (std::size_t it = 0; it < held.size(); ++it) {
            const TableIndex index = held[demand.cursor++ % held.size()];
            const GrantorEndpoint &endpoint = m_tables->endpoint(index);
            if (endpoint.freeSlots() > 0 && endpoint.freeConnections() > 0)
                return index;
        }
        return noIndex;
    }

    // The entry's own zone first; within a zone one endpoint after the other, so that the slots
    // of an entry are spread thinly.
    const std::vector<IndexPool> &pools = m_tables->service(service).pools;
    const TableIndex own = m_tables->zoneRow(m_tables->session(session).zone);
    if (own < pools.size() && !pools[own].empty())
        return pools[own].at(demand.cursor++ % pools[own].size());
    for (const IndexPool &it : pools) {
        if (!it.empty())
            return it.at(demand.cursor++ % it.size());
    }
    return noIndex;
}

std::vector<TableIndex> GrantAllocator::heldWithFreeSlots(TableIndex session,
                                                          TableIndex service) const
{
    std::vector<TableIndex> found;
    for (const auto &[endpoint, holding] : m_tables->session(session).holdings) {
        const GrantorEndpoint &candidate = m_tables->endpoint(endpoint);
        if (candidate.service == service && holding.slots > 0 && candidate.freeSlots() > 0
            && candidate.freeConnections() > 0)
            found.push_back(endpoint);
    }
    return found;
}

void GrantAllocator::setGrant(Timestamp now, TableIndex sessionIndex, TableIndex index,
                              std::uint32_t slots)
{
    EntrySession &session = m_tables->session(sessionIndex);
    const std::uint32_t freeConnections = m_tables->endpoint(index).freeConnections();
    m_tables->changeHolding(sessionIndex, index, [&](GrantorHolding *it) {
        const std::uint32_t most = it->chargedConnections() + freeConnections;
        const std::uint32_t connections = std::min(slots * m_settings.connectionsPerSlot, most);
        it->pendingSlots = it->pending() ? std::max(it->pendingSlots, slots) : slots;
        it->pendingConnections =
                it->pending() ? std::max(it->pendingConnections, connections) : connections;
        it->slots = slots;
        it->connections = connections;
        it->lastSentNumber = ++session.lastGrantNumber;
        it->lastSentAt = now;
        if (!it->unresolved)
            session.unresolved.push_back(index);
        it->unresolved = true;
    });
}

void GrantAllocator::addEndpointGrant(Timestamp now, TableIndex session, TableIndex index,
                                      CreditGrant *grant)
{
    const GrantorEndpoint &endpoint = m_tables->endpoint(index);
    GrantorHolding &holding = m_tables->holding(session, index);
    holding.lastSentAt = now;
    EndpointGrant endpointGrant { .endpoint = endpoint.name,
                                  .service = m_tables->service(endpoint.service).name,
                                  .address = endpoint.address,
                                  .zone = endpoint.zoneName,
                                  .rack = endpoint.rack,
                                  .incarnation = endpoint.incarnation,
                                  .grantNumber = holding.lastSentNumber,
                                  .slots = holding.slots,
                                  .connections = holding.connections };
    endpointGrant.hasEvidence = holding.lingering > 0 && endpoint.announcedAt != Timestamp();
    if (endpointGrant.hasEvidence) {
        endpointGrant.evidence =
                ProgressEvidence { .age = now - endpoint.announcedAt,
                                   .requestsInProgress = endpoint.requestsInProgress,
                                   .listsAttempts = endpoint.listsAttempts,
                                   .attemptsInProgress = endpoint.attemptsInProgress };
    }
    grant->grants.push_back(std::move(endpointGrant));
}

void GrantAllocator::addUnresolved(Timestamp now, TableIndex sessionIndex, CreditGrant *grant)
{
    EntrySession &session = m_tables->session(sessionIndex);
    std::vector<TableIndex> kept;
    for (const TableIndex it : session.unresolved) {
        const auto found = session.holdings.find(it);
        if (found == session.holdings.end())
            continue;
        GrantorHolding &holding = found->second;
        holding.unresolved = holding.pending() || holding.lingering > 0;
        if (!holding.unresolved)
            continue;
        kept.push_back(it);
        const bool due = holding.pending() && now - holding.lastSentAt >= resendInterval;
        // A fresh number, so that an entry which has forgotten the endpoint takes it in.
        if (due)
            holding.lastSentNumber = ++session.lastGrantNumber;
        if (due || holding.lingering > 0)
            addEndpointGrant(now, sessionIndex, it, grant);
    }
    session.unresolved = std::move(kept);
}

void GrantAllocator::addTargets(TableIndex session, CreditGrant *grant)
{
    for (TableIndex it = 0; it < m_tables->serviceCount(); ++it) {
        const SessionDemand &demand = m_tables->demand(session, it);
        if (demand.granted == 0)
            continue;
        const std::uint32_t slack = demand.target == 0 ? 0 : 1 + demand.target / targetSlackDivisor;
        grant->targets.push_back(ServiceTarget { .service = m_tables->service(it).name,
                                                 .slots = demand.target + slack });
    }
}

void GrantAllocator::addHints(TableIndex sessionIndex, TableIndex service, CreditGrant *grant)
{
    const SessionDemand &own = m_tables->demand(sessionIndex, service);
    if (own.wanted <= own.granted)
        return;
    const ZoneName &zone = m_tables->session(sessionIndex).zone;
    std::vector<SpareHint> hints;
    for (TableIndex it = 0; it < m_tables->sessionCount(); ++it) {
        const EntrySession &peer = m_tables->session(it);
        const std::uint32_t spare = m_tables->demand(it, service).spare;
        const bool usable = it != sessionIndex && peer.used && peer.live && !peer.draining;
        if (!usable || spare < minHintedSpare)
            continue;
        hints.push_back(SpareHint { .service = m_tables->service(service).name,
                                    .peer = peer.entry,
                                    .zone = peer.zone,
                                    .slots = spare / 2 });
    }
    std::sort(hints.begin(), hints.end(), [&](const SpareHint &a, const SpareHint &b) {
        return std::pair(a.zone != zone, b.slots) < std::pair(b.zone != zone, a.slots);
    });
    hints.resize(std::min(hints.size(), maxHintsPerService));
    grant->spares.insert(grant->spares.end(), hints.begin(), hints.end());
}

void GrantAllocator::reclaim(Timestamp now, TableIndex index, std::vector<TableIndex> *changed)
{
    const GrantorEndpoint &endpoint = m_tables->endpoint(index);
    const std::vector<TableIndex> holders = endpoint.holders;
    std::uint32_t granted = endpoint.unreportedSlots;
    for (const TableIndex it : holders)
        granted += m_tables->holding(it, index).slots;

    while (granted > endpoint.capacity()) {
        TableIndex most = noIndex;
        for (const TableIndex it : holders) {
            const bool live = m_tables->session(it).live;
            const std::uint32_t slots = live ? m_tables->holding(it, index).slots : 0;
            if (slots > 0 && (most == noIndex || slots > m_tables->holding(most, index).slots))
                most = it;
        }
        if (most == noIndex)
            return;
        setGrant(now, most, index, m_tables->holding(most, index).slots - 1);
        // To be sent with the next grant.
        m_tables->holding(most, index).lastSentAt = Timestamp();
        --granted;
        if (std::find(changed->begin(), changed->end(), most) == changed->end())
            changed->push_back(most);
    }
}

} // namespace acaciafork::routing
