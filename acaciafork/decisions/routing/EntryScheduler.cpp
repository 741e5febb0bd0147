#include "acaciafork/decisions/routing/EntryScheduler.h"

#include <algorithm>

namespace acaciafork::routing {
namespace {

/// Share of the peak of demand that is kept from one tick to the next.
constexpr double demandDecayFactor = 0.995;
/// Time after which an endpoint is forgotten of which nothing is held or open.
constexpr Duration endpointRetention = std::chrono::seconds(60);
/// Time between two looks for such endpoints.
constexpr Duration cleanupInterval = std::chrono::seconds(10);
/// Hint below which a peer has too little spare credit to be worth the way.
constexpr std::uint32_t minPeerSpareSlots = 1;

} // namespace

EntryScheduler::EntryScheduler(const EntryOptions &options)
    : m_state(options)
    , m_credits(CreditHolder::Options { .process = options.process,
                                        .incarnation = options.incarnation,
                                        .zone = options.zone,
                                        .settings = options.credit,
                                        .services = &m_state.services,
                                        .endpoints = &m_state.endpoints,
                                        .attempts = &m_state.attempts,
                                        .tombstones = &m_state.tombstones })
    , m_admission(&m_state)
    , m_monitor(&m_state)
    , m_attempts(&m_state, &m_admission, &m_credits, &m_monitor)
{ }

void EntryScheduler::requestArrived(Timestamp now, const RequestInfo &info, EntryCommands *out)
{
    m_credits.checkLease(now);
    RequestRecord *record = m_admission.accept(now, info, out);
    if (!record)
        return;
    if (record->latestStart < now) {
        m_admission.refuse(record, FailureKind::Overloaded, RefusalReason::DeadlineTooClose, out);
        return;
    }
    startOrEnqueue(now, record, out);
}

void EntryScheduler::startOrEnqueue(Timestamp now, RequestRecord *record, EntryCommands *out)
{
    if (!m_admission.mustWait(*record) && m_attempts.start(now, record, out))
        return;
    if (forwardToPeer(record, out))
        return;
    m_admission.wait(now, record, out);
    m_credits.report(now, out);
}

bool EntryScheduler::forwardToPeer(RequestRecord *record, EntryCommands *out)
{
    EntryService &service = m_state.services[record->service];
    const bool forwardable = !record->forwarded && !record->mayHaveRun && !record->inLedger;
    if (!forwardable || service.hasFreeSlot())
        return false;
    const auto it =
            std::find_if(service.spares.begin(), service.spares.end(),
                         [](const SpareHint &hint) { return hint.slots >= minPeerSpareSlots; });
    if (it == service.spares.end())
        return false;

    --it->slots;
    record->forwarded = true;
    record->state = RequestState::Forwarded;
    out->push_back(ForwardToPeer {
            .request = record->request, .peer = it->peer, .deadline = record->deadline });
    return true;
}

void EntryScheduler::dispatch(Timestamp now, TableIndex index, EntryCommands *out)
{
    EntryService &service = m_state.services[index];
    m_admission.shed(now, index, out);
    while (service.hasFreeSlot()) {
        RequestRecord *next = m_admission.takeNext(now, index);
        if (!next)
            return;
        m_attempts.start(now, next, out);
    }
}

void EntryScheduler::dispatchAll(Timestamp now, EntryCommands *out)
{
    for (TableIndex it = 0; it < m_state.services.size(); ++it)
        dispatch(now, it, out);
}

void EntryScheduler::attemptHeaders(Timestamp now, AttemptId attempt, bool endpointError,
                                    EntryCommands *out)
{
    m_attempts.headersReceived(now, attempt, endpointError, out);
}

void EntryScheduler::attemptEnded(Timestamp now, AttemptId attempt, const AttemptEnd &end,
                                  EntryCommands *out)
{
    m_credits.checkLease(now);
    const AttemptRecord *record = m_state.attempts.find(attempt);
    if (!record)
        return;
    const TableIndex service = record->service;
    m_attempts.ended(now, attempt, end, out);
    for (RequestRecord *it : m_attempts.takeRetries())
        startOrEnqueue(now, it, out);
    dispatch(now, service, out);
}

void EntryScheduler::callerGone(Timestamp now, RequestId request, EntryCommands *out)
{
    RequestRecord *record = m_state.requests.find(request);
    if (!record)
        return;
    switch (record->state) {
    case RequestState::Waiting:
        m_admission.removeFromQueue(now, record);
        m_state.requests.remove(record);
        return;
    case RequestState::Forwarded:
        m_state.requests.remove(record);
        return;
    case RequestState::AwaitingLedger:
    case RequestState::Started:
        m_attempts.abandon(now, record, out);
        return;
    }
}

void EntryScheduler::forwardEnded(Timestamp now, RequestId request, ForwardOutcome outcome,
                                  EntryCommands *out)
{
    RequestRecord *record = m_state.requests.find(request);
    if (!record || record->state != RequestState::Forwarded)
        return;
    switch (outcome) {
    case ForwardOutcome::Answered:
        m_state.requests.remove(record);
        return;
    case ForwardOutcome::NotRun:
        // The peer had no room either; it may still be served here.
        m_credits.checkLease(now);
        startOrEnqueue(now, record, out);
        return;
    case ForwardOutcome::Unknown:
        record->mayHaveRun = true;
        m_admission.refuse(record, FailureKind::Timeout, RefusalReason::AttemptsFailed, out);
        return;
    }
}

void EntryScheduler::grantReceived(Timestamp now, const CreditGrant &grant, EntryCommands *out)
{
    m_credits.trimConnections(out);
    for (const LeavingNotice &it : grant.leaving)
        endpointLeaving(now, it, out);
    std::vector<AttemptId> ended;
    m_credits.applyGrant(now, grant, &ended);
    for (const AttemptId it : ended)
        m_attempts.release(it, out);
    m_credits.trimConnections(out);
    dispatchAll(now, out);
    m_credits.report(now, out);
}

void EntryScheduler::endpointAnnounced(Timestamp now, const EndpointAnnouncement &announcement,
                                       EntryCommands *out)
{
    if (!announcement.leaving)
        return;
    endpointLeaving(now,
                    LeavingNotice { .endpoint = announcement.endpoint,
                                    .incarnation = announcement.incarnation },
                    out);
}

void EntryScheduler::endpointLeaving(Timestamp now, const LeavingNotice &notice, EntryCommands *out)
{
    // Only the first to hear of it passes it on, so that each notice crosses each link once.
    if (!m_state.tombstones.add(now, notice))
        return;
    out->push_back(BroadcastLeaving { .notice = notice });
    out->push_back(
            RecordEvent { .kind = EventKind::EndpointLeaving, .subject = notice.endpoint.value });

    const TableIndex index = m_state.endpoints.find(notice.endpoint);
    if (index != noIndex && m_state.endpoints[index].incarnation <= notice.incarnation)
        m_state.endpoints.setLeaving(index, true);
}

void EntryScheduler::probeEnded(Timestamp now, const EndpointName &endpoint, bool reached,
                                EntryCommands *out)
{
    const TableIndex index = m_state.endpoints.find(endpoint);
    if (index == noIndex)
        return;
    if (m_monitor.probeEnded(now, index, reached, out))
        m_attempts.retryElsewhere(now, index, out);
    for (RequestRecord *it : m_attempts.takeRetries())
        startOrEnqueue(now, it, out);
    dispatch(now, m_state.endpoints[index].service, out);
}

void EntryScheduler::connectionClosed(Timestamp now, const EndpointName &endpoint,
                                      EntryCommands *out)
{
    const TableIndex index = m_state.endpoints.find(endpoint);
    if (index == noIndex)
        return;
    m_state.endpoints.idleConnectionClosed(index);
    m_credits.markChanged(index);
    dispatch(now, m_state.endpoints[index].service, out);
}

void EntryScheduler::ledgerVerdict(Timestamp now, RequestId request, LedgerVerdict verdict,
                                   EntryCommands *out)
{
    RequestRecord *record = m_state.requests.find(request);
    if (!record)
        return;
    const TableIndex service = record->service;
    m_attempts.ledgerVerdict(now, record, verdict, out);
    dispatch(now, service, out);
}

void EntryScheduler::configApplied(Timestamp now, std::span<const ServiceSettings> services,
                                   EntryCommands *out)
{
    m_state.services.configure(services);
    dispatchAll(now, out);
}

void EntryScheduler::controlLeaderFound(Timestamp now, std::uint64_t term, EntryCommands *out)
{
    m_credits.controlLeaderFound(term);
    m_credits.report(now, out);
}

void EntryScheduler::controlLeaderLost(Timestamp now, EntryCommands *out)
{
    m_credits.controlLeaderLost();
    dispatchAll(now, out);
}

void EntryScheduler::drain(Timestamp now, EntryCommands *out)
{
    m_state.draining = true;
    m_credits.drain();
    dispatchAll(now, out);
}

void EntryScheduler::updateDemand(TableIndex index)
{
    EntryService &service = m_state.services[index];
    // Slots at ejected endpoints are of no use: others are wanted in their place.
    const auto needed =
            static_cast<double>(service.inUse + service.queue.size() + service.ejectedSlots);
    service.wantedPeak = std::max(needed, service.wantedPeak * demandDecayFactor);
}

void EntryScheduler::removeUnusedEndpoints(Timestamp now)
{
    if (now - m_lastCleanup < cleanupInterval)
        return;
    m_lastCleanup = now;
    for (const TableIndex it : m_state.endpoints.unusedSince(now - endpointRetention, now)) {
        m_monitor.forget(it);
        m_state.endpoints.remove(it);
    }
}

void EntryScheduler::tick(Timestamp now, EntryCommands *out)
{
    m_credits.checkLease(now);
    m_state.tombstones.expire(now);
    m_monitor.endHoldOffs(now);
    const Duration elapsed = now - m_lastTick;
    m_lastTick = now;
    for (TableIndex it = 0; it < m_state.services.size(); ++it) {
        updateDemand(it);
        m_state.services[it].updateOfferedLoad(elapsed);
        m_attempts.reclassifyLongRunning(now, it);
        if (m_state.draining)
            m_credits.returnSurplus(it);
        dispatch(now, it, out);
    }
    m_monitor.probe(now, out);
    removeUnusedEndpoints(now);
    m_credits.trimConnections(out);
    m_credits.report(now, out);
}

} // namespace acaciafork::routing
