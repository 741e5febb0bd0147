#include "acaciafork/decisions/routing/CapacityEvidence.h"

#include <algorithm>

#include "acaciafork/decisions/routing/AttemptTable.h"

namespace acaciafork::routing {

CapacityEvidence::CapacityEvidence(GrantorTables *tables, const CreditSettings &settings)
    : m_tables(tables)
    , m_settings(settings)
{ }

bool CapacityEvidence::isConclusive(Timestamp now, Timestamp leaseExpiresAt) const
{
    // What was started last arrives one flight later; the announcement was made at most one
    // flight before it came.
    return now >= leaseExpiresAt + withClockSkewMargin(2 * m_settings.maxNetworkDelay);
}

void CapacityEvidence::apply(Timestamp now, TableIndex index, Timestamp earlierLeasesExpireAt,
                             GrantorCommands *out)
{
    releaseUnreported(now, index, earlierLeasesExpireAt);
    const std::vector<TableIndex> holders = m_tables->endpoint(index).holders;
    for (const TableIndex it : holders) {
        if (!m_tables->session(it).live)
            releaseLost(now, index, it, out);
    }
}

void CapacityEvidence::releaseUnreported(Timestamp now, TableIndex index,
                                         Timestamp earlierLeasesExpireAt)
{
    const GrantorEndpoint &endpoint = m_tables->endpoint(index);
    const bool noneUnreported =
            endpoint.unreportedSlots == 0 && endpoint.unreportedConnections == 0;
    if (noneUnreported || !isConclusive(now, earlierLeasesExpireAt))
        return;

    // Every process but those on lost instances has closed its connections by now. For these,
    // all connections that the slots do not need are kept back until the endpoint closes them.
    const std::uint32_t needed = endpoint.slots * m_settings.connectionsPerSlot;
    const bool closed = now >= earlierLeasesExpireAt + m_settings.halfOpenTimeout;
    const std::uint32_t halfOpen =
            closed || needed > endpoint.connections ? 0 : endpoint.connections - needed;
    const std::uint32_t running = countUnreportedRunning(endpoint);
    m_tables->changeEndpoint(index, [&](GrantorEndpoint *it) {
        it->unreportedSlots = std::min(it->unreportedSlots, running);
        it->unreportedConnections = std::min(it->unreportedConnections, halfOpen);
    });
}

std::uint32_t CapacityEvidence::countUnreportedRunning(const GrantorEndpoint &endpoint) const
{
    if (!endpoint.listsAttempts)
        return endpoint.requestsInProgress;
    const std::vector<AttemptId> &running = endpoint.attemptsInProgress;
    const auto n = std::count_if(running.begin(), running.end(),
                                 [&](AttemptId it) { return !isKnownPrefix(attemptIdPrefix(it)); });
    return static_cast<std::uint32_t>(n);
}

bool CapacityEvidence::isKnownPrefix(std::uint64_t prefix) const
{
    for (TableIndex it = 0; it < m_tables->sessionCount(); ++it) {
        const EntrySession &session = m_tables->session(it);
        if (session.used && session.hasReported
            && attemptIdPrefix(session.entry, session.incarnation) == prefix)
            return true;
    }
    return false;
}

void CapacityEvidence::releaseLost(Timestamp now, TableIndex index, TableIndex sessionIndex,
                                   GrantorCommands *out)
{
    const EntrySession &session = m_tables->session(sessionIndex);
    if (!isConclusive(now, session.leaseExpiresAt))
        return;

    const GrantorEndpoint &endpoint = m_tables->endpoint(index);
    std::uint32_t running = endpoint.requestsInProgress;
    if (endpoint.listsAttempts) {
        const std::uint64_t prefix = attemptIdPrefix(session.entry, session.incarnation);
        const std::vector<AttemptId> &ids = endpoint.attemptsInProgress;
        running =
                static_cast<std::uint32_t>(std::count_if(ids.begin(), ids.end(), [&](AttemptId it) {
                    return attemptIdPrefix(it) == prefix;
                }));
    }
    const bool closed = now >= session.leaseExpiresAt + m_settings.halfOpenTimeout;
    const std::uint32_t before = m_tables->holding(sessionIndex, index).chargedSlots();
    m_tables->changeHolding(sessionIndex, index, [&](GrantorHolding *it) {
        const std::uint32_t charged = it->chargedSlots();
        it->reportedConnections = closed ? running : it->chargedConnections();
        it->reportedSlots = std::min(charged, running);
        it->slots = 0;
        it->lingering = 0;
        it->pendingSlots = 0;
        it->pendingConnections = 0;
        it->acceptedNumber = it->lastSentNumber;
    });
    if (before > 0 && running == 0) {
        out->push_back(RecordEvent { .kind = EventKind::CreditReleased,
                                     .subject = endpoint.name.value,
                                     .detail = "entry=" + std::to_string(session.entry.value) });
    }
}

} // namespace acaciafork::routing
