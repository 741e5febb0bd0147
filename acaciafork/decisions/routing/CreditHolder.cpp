#include "acaciafork/decisions/routing/CreditHolder.h"

#include <algorithm>

namespace acaciafork::routing {
namespace {

/// A demand is reported again once it differs by this part of what was last reported.
constexpr std::uint32_t demandChangeDivisor = 8;
/// Reports about less than a shortage wait for this many report intervals.
constexpr int nonUrgentReportIntervals = 5;

} // namespace

CreditHolder::CreditHolder(const Options &options)
    : m_options(options)
{ }

void CreditHolder::controlLeaderFound(std::uint64_t term)
{
    m_connected = true;
    if (term <= m_term)
        return;

    // From the first report of the new term on, grants of older terms are ignored, so what that
    // report lists is all that this entry can hold.
    m_term = term;
    m_firstFullReport = 0;
    m_fullAcknowledged = false;
    m_lastReportAt = Timestamp();
    m_options.endpoints->resetGrantNumbers();
}

const CreditHolder::SentReport *CreditHolder::sentReport(std::uint64_t number) const
{
    const SentReport &sent = m_sent[number % sentReportCapacity];
    return number != 0 && sent.number == number ? &sent : nullptr;
}

void CreditHolder::applyGrant(Timestamp now, const CreditGrant &grant,
                              std::vector<AttemptId> *ended)
{
    const bool forThisEntry =
            grant.entry == m_options.process && grant.entryIncarnation == m_options.incarnation;
    if (!forThisEntry || grant.term != m_term)
        return;
    if (grant.needFull) {
        m_firstFullReport = 0;
        m_fullAcknowledged = false;
        return;
    }

    // The lease runs from when the report was sent. A grant that is over already is void as a
    // whole: the leader may have given its slots away.
    const SentReport *sent = sentReport(grant.reportNumber);
    if (!sent || now >= sent->at + grant.lease)
        return;
    checkLease(now);
    m_leaseUntil = std::max(m_leaseUntil, sent->at + grant.lease);
    if (m_firstFullReport != 0 && grant.reportNumber >= m_firstFullReport)
        m_fullAcknowledged = true;
    acknowledge(grant.reportNumber);

    for (const EndpointGrant &it : grant.grants) {
        applyEndpointGrant(now, it);
        applyEvidence(sent->at, it, ended);
    }
    for (const ServiceTarget &it : grant.targets) {
        const TableIndex service = m_options.services->find(it.service);
        if (service == noIndex)
            continue;
        (*m_options.services)[service].targetSlots = it.slots;
        returnSurplus(service);
    }
    for (TableIndex it = 0; it < m_options.services->size(); ++it)
        (*m_options.services)[it].spares.clear();
    for (const SpareHint &it : grant.spares) {
        const TableIndex service = m_options.services->find(it.service);
        if (service != noIndex)
            (*m_options.services)[service].spares.push_back(it);
    }
}

void CreditHolder::applyEndpointGrant(Timestamp now, const EndpointGrant &grant)
{
    const TableIndex service = m_options.services->find(grant.service);
    if (service == noIndex)
        return;
    EndpointTable &endpoints = *m_options.endpoints;
    const TableIndex index = endpoints.findOrAdd(grant.endpoint, service);
    EntryEndpoint &endpoint = endpoints[index];
    if (grant.grantNumber <= endpoint.grantNumber)
        return;

    endpoint.grantNumber = grant.grantNumber;
    if (grant.incarnation > endpoint.incarnation || endpoint.address.empty()) {
        endpoint.address = grant.address;
        endpoint.rackIndex = endpoints.rackIndex(grant.rack);
        endpoint.incarnation = grant.incarnation;
        endpoint.firstCredit = now;
        endpoint.local = grant.zone == m_options.zone;
    }
    endpoint.connections = grant.connections;
    endpoints.setLeaving(index, m_options.tombstones->covers(endpoint.name, endpoint.incarnation));
    endpoints.setSlots(index, grant.slots);
    markChanged(index);
}

void CreditHolder::applyEvidence(Timestamp reportSentAt, const EndpointGrant &grant,
                                 std::vector<AttemptId> *ended)
{
    const TableIndex index = m_options.endpoints->find(grant.endpoint);
    if (!grant.hasEvidence || index == noIndex)
        return;

    // The grant was sent after the report, so the announcement reached the leader after
    // `reportSentAt - age`, and was made at most one flight earlier. Every attempt that could no
    // longer arrive by then was either running and counted, or had ended.
    const ProgressEvidence &evidence = grant.evidence;
    const Duration flight = m_options.settings.maxNetworkDelay;
    const Timestamp madeAfter = reportSentAt - withClockSkewMargin(evidence.age) - flight;
    std::vector<AttemptId> arrived;
    for (const AttemptId it : (*m_options.endpoints)[index].lingering) {
        const AttemptRecord *attempt = m_options.attempts->find(it);
        if (attempt && attempt->abandonedAt + flight <= madeAfter)
            arrived.push_back(it);
    }

    if (evidence.listsAttempts) {
        const std::vector<AttemptId> &running = evidence.attemptsInProgress;
        for (const AttemptId it : arrived) {
            if (std::find(running.begin(), running.end(), it) == running.end())
                ended->push_back(it);
        }
        return;
    }
    // Only a number is known: no more of them can be running than all that are.
    for (std::size_t it = evidence.requestsInProgress; it < arrived.size(); ++it)
        ended->push_back(arrived[it]);
}

void CreditHolder::checkLease(Timestamp now)
{
    if (leaseHeld(now) || m_leaseUntil == Timestamp())
        return;
    m_leaseUntil = Timestamp();
    for (TableIndex it = 0; it < m_options.endpoints->size(); ++it) {
        if ((*m_options.endpoints)[it].slots == 0)
            continue;
        reduceHolding(it, 0);
    }
}

void CreditHolder::returnSurplus(TableIndex index)
{
    EntryService &service = (*m_options.services)[index];
    const std::uint32_t target = m_draining ? 0 : service.targetSlots;
    for (const IndexPool *pool : { &service.remotePool, &service.localPool }) {
        while (service.heldSlots + service.ejectedSlots > target && !pool->empty()) {
            const TableIndex endpoint = pool->at(pool->size() - 1);
            reduceHolding(endpoint, (*m_options.endpoints)[endpoint].slots - 1);
        }
    }
}

void CreditHolder::reduceHolding(TableIndex index, std::uint32_t slots)
{
    EntryEndpoint &endpoint = (*m_options.endpoints)[index];
    endpoint.connections =
            std::min(endpoint.connections, slots * m_options.settings.connectionsPerSlot);
    m_options.endpoints->setSlots(index, slots);
    markChanged(index);
}

void CreditHolder::trimConnections(EntryCommands *out)
{
    for (const TableIndex it : m_changed) {
        EntryEndpoint &endpoint = (*m_options.endpoints)[it];
        const std::uint32_t open = endpoint.openConnections - endpoint.closingConnections;
        if (open <= endpoint.connections || endpoint.idleConnections == 0)
            continue;
        const std::uint32_t count = std::min(open - endpoint.connections, endpoint.idleConnections);
        endpoint.idleConnections -= count;
        endpoint.closingConnections += count;
        m_options.endpoints->refresh(it);
        out->push_back(CloseConnections { .endpoint = endpoint.name.view(), .count = count });
    }
}

void CreditHolder::markChanged(TableIndex index)
{
    EntryEndpoint &endpoint = (*m_options.endpoints)[index];
    if (endpoint.unacknowledgedSince == 0)
        m_changed.push_back(index);
    endpoint.unacknowledgedSince = m_lastReport + 1;
}

void CreditHolder::acknowledge(std::uint64_t reportNumber)
{
    std::size_t kept = 0;
    for (const TableIndex it : m_changed) {
        EntryEndpoint &endpoint = (*m_options.endpoints)[it];
        if (endpoint.unacknowledgedSince <= reportNumber)
            endpoint.unacknowledgedSince = 0;
        else
            m_changed[kept++] = it;
    }
    m_changed.resize(kept);
}

bool CreditHolder::reportDue(Timestamp now) const
{
    const CreditSettings &settings = m_options.settings;
    const Duration elapsed = now - m_lastReportAt;
    if (!m_connected || elapsed < settings.reportInterval)
        return false;
    if (m_lastReportAt == Timestamp() || elapsed >= settings.heartbeatInterval)
        return true;

    bool changed = !m_changed.empty() || !m_fullAcknowledged;
    for (TableIndex it = 0; it < m_options.services->size(); ++it) {
        const EntryService &service = (*m_options.services)[it];
        const auto wanted = static_cast<std::uint32_t>(service.wantedPeak);
        const std::uint32_t last = service.wantedReported;
        if (wanted > last && wanted > service.heldSlots + service.ejectedSlots)
            return true;
        const std::uint32_t difference = wanted > last ? wanted - last : last - wanted;
        changed |= difference > 1 + last / demandChangeDivisor;
    }
    return changed && elapsed >= settings.reportInterval * nonUrgentReportIntervals;
}

void CreditHolder::report(Timestamp now, EntryCommands *out)
{
    if (reportDue(now))
        out->push_back(SendCreditReport { .report = makeReport(now) });
}

CreditReport CreditHolder::makeReport(Timestamp now)
{
    ++m_lastReport;
    m_lastReportAt = now;
    m_sent[m_lastReport % sentReportCapacity] = SentReport { .number = m_lastReport, .at = now };

    CreditReport report { .entry = m_options.process,
                          .entryIncarnation = m_options.incarnation,
                          .zone = m_options.zone,
                          .term = m_term,
                          .number = m_lastReport,
                          .full = !m_fullAcknowledged,
                          .draining = m_draining };
    if (report.full && m_firstFullReport == 0)
        m_firstFullReport = m_lastReport;
    addDemands(&report);

    if (report.full) {
        for (TableIndex it = 0; it < m_options.endpoints->size(); ++it)
            addHolding(it, &report);
        report.leaving = m_options.tombstones->latest();
        return report;
    }
    for (const TableIndex it : m_changed)
        addHolding(it, &report);
    return report;
}

void CreditHolder::addDemands(CreditReport *report)
{
    for (TableIndex it = 0; it < m_options.services->size(); ++it) {
        EntryService &service = (*m_options.services)[it];
        service.wantedReported = static_cast<std::uint32_t>(service.wantedPeak);
        const std::uint32_t wanted = m_draining ? 0 : service.wantedReported;
        report->demands.push_back(ServiceDemand { .service = service.settings.service,
                                                  .wanted = wanted,
                                                  .held = service.heldSlots + service.ejectedSlots,
                                                  .spare = service.spareSlots() });
    }
}

void CreditHolder::addHolding(TableIndex index, CreditReport *report)
{
    EntryEndpoint &endpoint = (*m_options.endpoints)[index];
    const bool unused = endpoint.slots == 0 && endpoint.inUse == 0 && endpoint.openConnections == 0;
    if (report->full && unused)
        return;
    report->holdings.push_back(
            CreditHolding { .endpoint = endpoint.name,
                            .service = (*m_options.services)[endpoint.service].settings.service,
                            .grantNumber = endpoint.grantNumber,
                            .slots = endpoint.slots,
                            .inUse = endpoint.inUse,
                            .lingering = static_cast<std::uint32_t>(endpoint.lingering.size()),
                            .connections = std::max(endpoint.connections, endpoint.openConnections),
                            .refusals = endpoint.refusals });
    endpoint.refusals = 0;
}

} // namespace acaciafork::routing
