#include "acaciafork/decisions/routing/CreditGrantor.h"

#include <algorithm>

namespace acaciafork::routing {
namespace {

/// Time between two looks at all endpoints.
constexpr Duration sweepInterval = std::chrono::milliseconds(500);
/// Time without an announcement after which an endpoint is forgotten once nobody holds it.
constexpr Duration endpointRetention = std::chrono::minutes(10);

} // namespace

CreditGrantor::CreditGrantor(const CreditSettings &settings)
    : m_settings(settings)
    , m_evidence(&m_tables, settings)
    , m_allocator(&m_tables, settings)
    , m_tombstones(settings.tombstoneTime)
{ }

void CreditGrantor::becameLeader(Timestamp now, std::uint64_t term,
                                 std::span<const ProcessId> knownEntries, bool allEntriesKnown,
                                 GrantorCommands *)
{
    m_term = term;
    m_tables = GrantorTables();
    m_unreported.assign(knownEntries.begin(), knownEntries.end());
    m_allEntriesKnown = allEntriesKnown;
    m_earlierLeasesExpireAt = now + withClockSkewMargin(m_settings.lease);
    m_learningUntil = now + m_settings.announcementTimeout;
    m_lastSweep = now;
    if (m_allEntriesKnown && m_unreported.empty())
        m_earlierLeasesExpireAt = now;
}

void CreditGrantor::configApplied(std::span<const ServiceSettings> services)
{
    m_allocator.configure(services);
}

void CreditGrantor::recordReported(Timestamp now, ProcessId entry)
{
    if (std::erase(m_unreported, entry) > 0 && m_unreported.empty() && m_allEntriesKnown)
        m_earlierLeasesExpireAt = std::min(m_earlierLeasesExpireAt, now);
}

void CreditGrantor::requestFullReport(const CreditReport &report, GrantorCommands *out) const
{
    out->push_back(SendGrant { .grant = { .entry = report.entry,
                                          .entryIncarnation = report.entryIncarnation,
                                          .term = m_term,
                                          .reportNumber = report.number,
                                          .needFull = true } });
}

TableIndex CreditGrantor::sessionFor(const CreditReport &report, GrantorCommands *out)
{
    // An older start of the entry cannot come back; what it held stays charged.
    for (TableIndex it = 0; it < m_tables.sessionCount(); ++it) {
        const EntrySession &other = m_tables.session(it);
        if (!other.used || other.entry != report.entry)
            continue;
        if (other.incarnation > report.entryIncarnation)
            return noIndex;
        if (other.incarnation < report.entryIncarnation && other.live)
            quarantine(it, out);
    }
    const TableIndex known = m_tables.findSession(report.entry, report.entryIncarnation);
    if (known != noIndex)
        return known;
    if (!report.full) {
        requestFullReport(report, out);
        return noIndex;
    }
    out->push_back(RecordEvent { .kind = EventKind::EntryJoined,
                                 .subject = std::to_string(report.entry.value) });
    return m_tables.addSession(report.entry, report.entryIncarnation);
}

void CreditGrantor::creditReport(Timestamp now, const CreditReport &report, GrantorCommands *out)
{
    if (!leading() || report.term != m_term)
        return;
    const TableIndex index = sessionFor(report, out);
    if (index == noIndex)
        return;
    EntrySession &session = m_tables.session(index);
    if (report.number <= session.reportNumber)
        return;

    session.reportNumber = report.number;
    session.reportedAt = now;
    session.leaseExpiresAt = now + withClockSkewMargin(m_settings.lease);
    session.zone = report.zone;
    session.live = true;
    session.draining = report.draining;
    session.needsLeavingNotices = report.full;
    if (report.full)
        applyFullReport(index, report);
    for (const LeavingNotice &it : report.leaving)
        endpointLeaving(now, it, out);
    for (const CreditHolding &it : report.holdings)
        applyHolding(now, index, it);
    session.hasReported = true;
    recordReported(now, report.entry);

    for (const ServiceDemand &it : report.demands) {
        const TableIndex service = m_tables.serviceRow(it.service);
        SessionDemand &demand = m_tables.demand(index, service);
        demand.wanted = it.wanted;
        demand.spare = it.spare;
        m_allocator.setTargets(service);
    }
    grantTo(now, index, out);
}

void CreditGrantor::applyFullReport(TableIndex index, const CreditReport &report)
{
    // Whatever a full report does not list is not held, but for grants still on their way.
    std::vector<TableIndex> unlisted;
    for (const auto &[endpoint, holding] : m_tables.session(index).holdings) {
        const EndpointName &name = m_tables.endpoint(endpoint).name;
        const bool listed =
                std::any_of(report.holdings.begin(), report.holdings.end(),
                            [&](const CreditHolding &it) { return it.endpoint == name; });
        if (!listed)
            unlisted.push_back(endpoint);
    }
    for (const TableIndex it : unlisted) {
        m_tables.changeHolding(index, it, [](GrantorHolding *holding) {
            holding->reportedSlots = 0;
            holding->reportedConnections = 0;
            holding->lingering = 0;
            if (!holding->pending())
                holding->slots = 0;
        });
    }
}

void CreditGrantor::applyHolding(Timestamp now, TableIndex index, const CreditHolding &reported)
{
    TableIndex row = m_tables.findEndpoint(reported.endpoint);
    if (row == noIndex)
        row = m_tables.addEndpoint(reported.endpoint, reported.service);

    EntrySession &session = m_tables.session(index);
    const bool first = !session.hasReported;
    m_tables.changeHolding(index, row, [&](GrantorHolding *it) {
        it->acceptedNumber = std::max(it->acceptedNumber, reported.grantNumber);
        it->lastSentNumber = std::max(it->lastSentNumber, it->acceptedNumber);
        it->reportedSlots = std::max(reported.slots, reported.inUse);
        it->reportedConnections = reported.connections;
        it->lingering = reported.lingering;
        if (!it->pending()) {
            it->slots = reported.slots;
            it->connections = reported.connections;
        }
        if (it->lingering > 0 && !it->unresolved) {
            session.unresolved.push_back(row);
            it->unresolved = true;
        }
    });

    // What a newly reported entry holds is no longer unknown.
    if (first) {
        m_tables.changeEndpoint(row, [&](GrantorEndpoint *it) {
            const std::uint32_t slots = std::max(reported.slots, reported.inUse);
            it->unreportedSlots -= std::min(it->unreportedSlots, slots);
            it->unreportedConnections -= std::min(it->unreportedConnections, reported.connections);
        });
    }
    if (reported.refusals > 0) {
        m_tables.changeEndpoint(
                row, [&](GrantorEndpoint *it) { it->limit.recordRefusal(now, it->chargedSlots); });
    }
}

void CreditGrantor::endpointAnnounced(Timestamp now, const EndpointAnnouncement &announcement,
                                      GrantorCommands *out)
{
    if (!leading())
        return;
    if (announcement.leaving) {
        endpointLeaving(now,
                        LeavingNotice { .endpoint = announcement.endpoint,
                                        .incarnation = announcement.incarnation },
                        out);
    }

    // One that leaves is not taken up again, but what it says still proves what it has ended.
    const bool leaving = m_tombstones.covers(announcement.endpoint, announcement.incarnation);
    TableIndex index = m_tables.findEndpoint(announcement.endpoint);
    if (index == noIndex && leaving)
        return;
    if (index == noIndex)
        index = m_tables.addEndpoint(announcement.endpoint, announcement.service);
    const GrantorEndpoint &endpoint = m_tables.endpoint(index);
    const std::pair known(endpoint.incarnation, endpoint.sequence);
    if (std::pair(announcement.incarnation, announcement.sequence) <= known)
        return;

    const bool first = endpoint.announcedAt == Timestamp();
    m_tables.applyAnnouncement(index, announcement);
    m_tables.changeEndpoint(index, [&](GrantorEndpoint *it) {
        it->announcedAt = now;
        it->usable = !leaving;
        if (!first)
            return;
        // Whatever has not been reported to this leader may be held by someone.
        it->unreportedSlots = it->slots - std::min(it->slots, it->chargedSlots);
        it->unreportedConnections =
                it->connections - std::min(it->connections, it->chargedConnections);
    });
    if (first && !leaving) {
        out->push_back(RecordEvent { .kind = EventKind::EndpointJoined,
                                     .subject = announcement.endpoint.value });
    }
    m_evidence.apply(now, index, m_earlierLeasesExpireAt, out);
    reclaim(now, index, out);
}

void CreditGrantor::endpointLeaving(Timestamp now, const LeavingNotice &notice,
                                    GrantorCommands *out)
{
    if (!m_tombstones.add(now, notice) || !leading())
        return;
    out->push_back(
            RecordEvent { .kind = EventKind::EndpointLeaving, .subject = notice.endpoint.value });
    const TableIndex index = m_tables.findEndpoint(notice.endpoint);
    if (index == noIndex || m_tables.endpoint(index).incarnation > notice.incarnation)
        return;
    m_tables.changeEndpoint(index, [](GrantorEndpoint *it) { it->usable = false; });
    reclaim(now, index, out);
}

void CreditGrantor::entryLost(Timestamp, ProcessId entry, GrantorCommands *out)
{
    for (TableIndex it = 0; it < m_tables.sessionCount(); ++it) {
        const EntrySession &session = m_tables.session(it);
        if (session.used && session.live && session.entry == entry)
            quarantine(it, out);
    }
}

void CreditGrantor::quarantine(TableIndex index, GrantorCommands *out)
{
    EntrySession &session = m_tables.session(index);
    session.live = false;
    for (SessionDemand &it : session.demands) {
        it.wanted = 0;
        it.spare = 0;
    }
    out->push_back(
            RecordEvent { .kind = EventKind::CreditQuarantined,
                          .subject = std::to_string(session.entry.value),
                          .detail = "endpoints=" + std::to_string(session.holdings.size()) });
}

void CreditGrantor::grantTo(Timestamp now, TableIndex index, GrantorCommands *out)
{
    EntrySession &session = m_tables.session(index);
    CreditGrant grant { .entry = session.entry,
                        .entryIncarnation = session.incarnation,
                        .term = m_term,
                        .reportNumber = session.reportNumber,
                        .lease = m_settings.lease };
    m_allocator.fillGrant(now, index, &grant);
    // Nothing is taken back on the word of a leader that does not know all endpoints yet.
    if (now >= m_learningUntil)
        m_allocator.addTargets(index, &grant);
    if (session.needsLeavingNotices)
        grant.leaving = m_tombstones.latest();
    session.needsLeavingNotices = false;
    session.grantedAt = now;
    out->push_back(SendGrant { .grant = std::move(grant) });
}

void CreditGrantor::reclaim(Timestamp now, TableIndex endpoint, GrantorCommands *out)
{
    std::vector<TableIndex> changed;
    m_allocator.reclaim(now, endpoint, &changed);
    for (const TableIndex it : changed)
        grantTo(now, it, out);
}

void CreditGrantor::expireSessions(Timestamp now, GrantorCommands *out)
{
    for (TableIndex it = 0; it < m_tables.sessionCount(); ++it) {
        const EntrySession &session = m_tables.session(it);
        if (!session.used)
            continue;
        if (session.live && now >= session.leaseExpiresAt) {
            out->push_back(RecordEvent { .kind = EventKind::EntryLost,
                                         .subject = std::to_string(session.entry.value) });
            quarantine(it, out);
        }
        if (!session.live && session.holdings.empty() && now >= session.leaseExpiresAt)
            m_tables.removeSession(it);
    }
}

void CreditGrantor::sweepEndpoints(Timestamp now, GrantorCommands *out)
{
    std::vector<TableIndex> forgotten;
    std::vector<TableIndex> changed;
    for (const auto &[name, index] : m_tables.endpointRows()) {
        GrantorEndpoint &endpoint = m_tables.endpoint(index);
        const Duration silence = now - endpoint.announcedAt;
        if (endpoint.usable && silence >= m_settings.announcementTimeout) {
            m_tables.changeEndpoint(index, [](GrantorEndpoint *it) { it->usable = false; });
            out->push_back(
                    RecordEvent { .kind = EventKind::EndpointForgotten, .subject = name.value });
        }
        // Slots of endpoints that have gone are taken back from whoever still holds them.
        if (!endpoint.usable && !endpoint.holders.empty() && now >= m_learningUntil)
            changed.push_back(index);
        if (endpoint.limit.limited()) {
            m_tables.changeEndpoint(
                    index, [&](GrantorEndpoint *it) { it->limit.recover(now, it->slots); });
            changed.push_back(index);
        }
        if (!endpoint.usable && endpoint.holders.empty() && silence >= endpointRetention)
            forgotten.push_back(index);
    }
    for (const TableIndex it : changed)
        reclaim(now, it, out);
    for (const TableIndex it : forgotten)
        m_tables.removeEndpoint(it);
}

void CreditGrantor::tick(Timestamp now, GrantorCommands *out)
{
    if (!leading())
        return;
    m_tombstones.expire(now);
    expireSessions(now, out);
    if (now - m_lastSweep >= sweepInterval) {
        m_lastSweep = now;
        sweepEndpoints(now, out);
        for (TableIndex it = 0; it < m_tables.serviceCount(); ++it)
            m_allocator.setTargets(it);
    }
    // Slots that have become free go to the entries that lack some without waiting for a report.
    for (TableIndex it = 0; it < m_tables.sessionCount(); ++it) {
        const EntrySession &session = m_tables.session(it);
        const bool due = session.used && session.live
                && now - session.grantedAt >= m_settings.reportInterval;
        if (due && m_allocator.canGrantMore(it))
            grantTo(now, it, out);
    }
}

} // namespace acaciafork::routing
