#include "acaciafork/decisions/routing/AttemptFlow.h"

#include <algorithm>

#include "acaciafork/core/Assert.h"
#include "acaciafork/decisions/routing/RetryPolicy.h"

namespace acaciafork::routing {
namespace {

/// Weight of the newest answer in an endpoint's slowness.
constexpr float slownessWeight = 0.1F;
/// Bounds of an endpoint's slowness, so that one answer does not decide.
constexpr float leastSlowness = 0.5F;
constexpr float mostSlowness = 4;
/// Time without an answer from which on an endpoint is probed: at least this, and this many times
/// what nine of ten requests of the route stay under.
constexpr Duration leastSuspicion = std::chrono::seconds(1);
constexpr int suspicionFactor = 3;
/// Time between two looks at all attempts, and between two probes of one endpoint.
constexpr Duration suspectInterval = std::chrono::milliseconds(250);
constexpr Duration probeInterval = std::chrono::seconds(2);
/// Time for which an endpoint gets nothing after a failed connect.
constexpr Duration holdOffTime = std::chrono::milliseconds(200);
/// Failures that a failed connect counts as.
constexpr std::uint32_t connectFailureWeight = 2;
/// A timeout speaks against the endpoint once it took this many times as long as expected.
constexpr int blamedTimeoutFactor = 4;

/// True when the end shows that the endpoint no longer works on the attempt.
bool provesEnded(const AttemptEnd &end)
{
    return end.phase == AttemptPhase::NotSent || end.outcome == AttemptOutcome::Ok
            || end.outcome == AttemptOutcome::EndpointError
            || end.outcome == AttemptOutcome::RefusedNotRun;
}

/// True when the attempt's connection is gone after this end.
bool connectionGone(AttemptOutcome outcome)
{
    return outcome != AttemptOutcome::Timeout;
}

/// Failure that a caller is told when no further attempt is made.
FailureKind failureOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Timeout:
        return FailureKind::Timeout;
    case AttemptOutcome::ConnectFailed:
        return FailureKind::NotReady;
    case AttemptOutcome::RefusedNotRun:
        return FailureKind::Overloaded;
    default:
        return FailureKind::Protocol;
    }
}

} // namespace

AttemptFlow::AttemptFlow(EntryState *state, Admission *admission, CreditHolder *credits)
    : m_state(state)
    , m_admission(admission)
    , m_credits(credits)
    , m_router(&state->generator)
{ }

bool AttemptFlow::start(Timestamp now, RequestRecord *record, EntryCommands *out)
{
    EntryService &service = m_state->services[record->service];
    const TableIndex index = m_router.choose(now, service, m_state->endpoints, record->expected,
                                             record->lastEndpoint);
    if (index == noIndex)
        return false;

    // The slot is taken now, also when the ledger has to answer first.
    AttemptRecord *attempt = m_state->attempts.add();
    attempt->request = record;
    attempt->service = record->service;
    attempt->endpoint = index;
    attempt->lane = record->lane;
    attempt->countsAsLong = record->lane == Lane::Long || record->lane == Lane::Batch;
    attempt->incarnation = m_state->endpoints[index].incarnation;
    attempt->routeHash = record->routeHash;
    attempt->startedAt = now;
    attempt->expectedEnd = toMicroseconds(now + record->expected);
    attempt->reusesConnection = m_state->endpoints.takeSlot(index, attempt->expectedEnd);
    service.countAttempt(attempt->lane, attempt->countsAsLong, 1);
    if (attempt->lane == Lane::Short)
        service.shortAttempts.push_back(attempt->attempt);

    record->attempt = attempt->attempt;
    record->endpoint = index;
    record->lastEndpoint = index;
    ++record->attempts;

    const bool atMostOnce = !record->idempotent && record->keyDigest != 0;
    if (atMostOnce && !record->inLedger) {
        record->state = RequestState::AwaitingLedger;
        out->push_back(AskLedger { .request = record->request,
                                   .service = service.settings.service,
                                   .keyDigest = record->keyDigest,
                                   .bodyDigest = record->bodyDigest });
        return true;
    }
    send(*attempt, out);
    return true;
}

void AttemptFlow::send(const AttemptRecord &attempt, EntryCommands *out)
{
    const EntryEndpoint &endpoint = m_state->endpoints[attempt.endpoint];
    attempt.request->state = RequestState::Started;
    out->push_back(StartAttempt { .request = attempt.request->request,
                                  .attempt = attempt.attempt,
                                  .endpoint = endpoint.name.view(),
                                  .address = endpoint.address,
                                  .incarnation = endpoint.incarnation,
                                  .deadline = attempt.request->deadline,
                                  .reuseConnection = attempt.reusesConnection });
}

void AttemptFlow::ledgerVerdict(Timestamp now, RequestRecord *record, LedgerVerdict verdict,
                                EntryCommands *out)
{
    if (record->state != RequestState::AwaitingLedger)
        return;
    AttemptRecord *attempt = m_state->attempts.find(record->attempt);
    ACACIAFORK_ASSERT(attempt);
    record->inLedger = verdict == LedgerVerdict::Recorded;
    if (record->inLedger && !record->callerGone && record->latestStart >= now) {
        send(*attempt, out);
        return;
    }

    // Nothing was sent: the slot is free again, with the connection that was set aside.
    free(attempt, attempt->reusesConnection);
    if (record->callerGone) {
        if (record->inLedger)
            finish(record, LedgerEnd::NotRun, out);
        else
            m_state->requests.remove(record);
        return;
    }
    switch (verdict) {
    case LedgerVerdict::Recorded:
        m_admission->refuse(record, FailureKind::Overloaded, RefusalReason::DeadlineTooClose, out);
        return;
    case LedgerVerdict::BodyDiffers:
        m_admission->refuse(record, FailureKind::Conflict, RefusalReason::KeyReused, out);
        return;
    case LedgerVerdict::Unavailable:
        m_admission->refuse(record, FailureKind::NotReady, RefusalReason::LedgerUnavailable, out);
        return;
    case LedgerVerdict::Running:
        // The work of this key runs, or may have run, for another request of the caller.
        record->mayHaveRun = true;
        m_admission->refuse(record, FailureKind::Conflict, RefusalReason::LedgerRunning, out);
        return;
    case LedgerVerdict::EndedAnswered:
    case LedgerVerdict::EndedUnknown:
        record->mayHaveRun = true;
        m_admission->refuse(record, FailureKind::Conflict, RefusalReason::LedgerEnded, out);
        return;
    }
}

void AttemptFlow::headers(Timestamp now, AttemptId id, bool endpointError, EntryCommands *out)
{
    const AttemptRecord *attempt = m_state->attempts.find(id);
    if (!attempt || !attempt->request || attempt->request->answerStarted)
        return;

    // An error that will be tried again is not shown; the retry is paid for now.
    RequestRecord *record = attempt->request;
    const RetryDecision decision =
            retryDecision(AttemptPhase::Headers, AttemptOutcome::EndpointError, record->idempotent);
    if (endpointError && decision == RetryDecision::Retry && mayRetry(now, *record)) {
        record->retryTaken = true;
        return;
    }
    record->answerStarted = true;
    out->push_back(ForwardAnswer { .request = record->request, .attempt = id });
}

void AttemptFlow::ended(Timestamp now, AttemptId id, const AttemptEnd &reported, EntryCommands *out)
{
    AttemptRecord *attempt = m_state->attempts.find(id);
    if (!attempt)
        return;
    RequestRecord *record = attempt->request;
    AttemptEnd end = reported;
    if (record && record->answerStarted)
        end.phase = AttemptPhase::Body;

    attempt->request = nullptr;
    judge(now, *attempt, end, out);
    if (provesEnded(end)) {
        free(attempt, end.connectionKept);
    } else {
        if (attempt->connected && connectionGone(end.outcome)) {
            attempt->connected = false;
            m_state->endpoints.connectionDone(attempt->endpoint, false);
        }
        linger(now, attempt);
    }
    if (record)
        decide(now, record, end, out);
}

std::vector<RequestRecord *> AttemptFlow::takeRetries()
{
    return std::exchange(m_retries, {});
}

void AttemptFlow::decide(Timestamp now, RequestRecord *record, const AttemptEnd &end,
                         EntryCommands *out)
{
    const RetryRule &rule = retryRule(end.phase, end.outcome);
    record->mayHaveRun |= !rule.surelyNotRun;
    record->attempt = AttemptId();
    record->endpoint = noIndex;
    switch (retryDecision(end.phase, end.outcome, record->idempotent)) {
    case RetryDecision::Deliver:
        if (!record->answerStarted) {
            record->answerStarted = true;
            out->push_back(ForwardAnswer { .request = record->request });
        }
        finish(record, LedgerEnd::Answered, out);
        return;
    case RetryDecision::Retry:
        if (record->retryTaken || mayRetry(now, *record)) {
            record->retryTaken = false;
            m_retries.push_back(record);
            return;
        }
        break;
    case RetryDecision::NotRun:
    case RetryDecision::Unknown:
        break;
    }
    m_admission->refuse(record, failureOf(end.outcome), RefusalReason::AttemptsFailed, out);
}

bool AttemptFlow::mayRetry(Timestamp now, const RequestRecord &record)
{
    EntryService &service = m_state->services[record.service];
    return record.attempts < service.settings.maxAttempts && record.latestStart > now
            && service.retries.take();
}

void AttemptFlow::finish(RequestRecord *record, LedgerEnd end, EntryCommands *out)
{
    if (record->inLedger) {
        out->push_back(
                RecordLedgerEnd { .request = record->request,
                                  .service = m_state->services[record->service].settings.service,
                                  .keyDigest = record->keyDigest,
                                  .end = end });
    }
    m_state->requests.remove(record);
}

void AttemptFlow::abandon(Timestamp now, RequestRecord *record, EntryCommands *out)
{
    if (record->state == RequestState::AwaitingLedger) {
        record->callerGone = true;
        return;
    }
    AttemptRecord *attempt = m_state->attempts.find(record->attempt);
    ACACIAFORK_ASSERT(attempt);
    attempt->request = nullptr;
    linger(now, attempt);
    out->push_back(AbandonAttempt { .attempt = attempt->attempt });
    finish(record, LedgerEnd::Unknown, out);
}

void AttemptFlow::linger(Timestamp now, AttemptRecord *attempt)
{
    if (attempt->lingering)
        return;
    attempt->lingering = true;
    attempt->abandonedAt = now;
    m_state->endpoints[attempt->endpoint].lingering.push_back(attempt->attempt);
    m_credits->markChanged(attempt->endpoint);
}

void AttemptFlow::release(AttemptId id, EntryCommands *out)
{
    AttemptRecord *attempt = m_state->attempts.find(id);
    if (!attempt || !attempt->lingering)
        return;
    if (attempt->connected)
        out->push_back(ReleaseAttempt { .attempt = id });
    free(attempt, false);
}

void AttemptFlow::free(AttemptRecord *attempt, bool connectionKept)
{
    const TableIndex index = attempt->endpoint;
    EntryEndpoint &endpoint = m_state->endpoints[index];
    const bool overhang =
            endpoint.inUse > endpoint.slots || endpoint.openConnections > endpoint.connections;
    if (attempt->lingering)
        std::erase(endpoint.lingering, attempt->attempt);
    if (overhang || attempt->lingering)
        m_credits->markChanged(index);

    if (attempt->connected)
        m_state->endpoints.connectionDone(index, connectionKept && !attempt->lingering);
    m_state->endpoints.freeSlot(index, attempt->expectedEnd);
    m_state->services[attempt->service].countAttempt(attempt->lane, attempt->countsAsLong, -1);
    const TableIndex service = attempt->service;
    m_state->attempts.remove(attempt->attempt);
    m_credits->returnSurplus(service);
}

void AttemptFlow::judge(Timestamp now, const AttemptRecord &attempt, const AttemptEnd &end,
                        EntryCommands *out)
{
    if (attempt.lingering)
        return;
    EntryService &service = m_state->services[attempt.service];
    EntryEndpoint &endpoint = m_state->endpoints[attempt.endpoint];
    const Duration elapsed = now - attempt.startedAt;
    const Duration expected(attempt.expectedEnd - toMicroseconds(attempt.startedAt));

    if (end.outcome == AttemptOutcome::Ok && end.phase != AttemptPhase::NotSent) {
        service.retries.noteSuccess(service.settings.retryBudgetPercent);
        endpoint.health.noteSuccess();
        if (attempt.lane == Lane::Stream)
            return;
        service.estimator.note(attempt.routeHash, elapsed);
        service.attained.add(now, attempt.routeHash, elapsed);
        const float ratio = static_cast<float>(elapsed.count())
                / static_cast<float>(std::max<Duration::rep>(expected.count(), 1));
        const float bounded = std::clamp(ratio, leastSlowness, mostSlowness);
        if (expected > Duration::zero())
            endpoint.slowness += (bounded - endpoint.slowness) * slownessWeight;
        return;
    }
    if (end.outcome == AttemptOutcome::RefusedNotRun) {
        ++endpoint.refusals;
        m_credits->markChanged(attempt.endpoint);
        return;
    }
    const bool impatient =
            end.outcome == AttemptOutcome::Timeout && elapsed < expected * blamedTimeoutFactor;
    const bool unreachable = end.outcome == AttemptOutcome::ConnectFailed;
    const std::uint32_t weight = unreachable ? connectFailureWeight : 1;
    if (unreachable && !endpoint.heldOff) {
        endpoint.heldOff = true;
        m_heldOff.emplace_back(now + holdOffTime, attempt.endpoint);
        m_state->endpoints.refresh(attempt.endpoint);
    }
    if (impatient || !endpoint.health.noteFailure(service.settings, weight))
        return;
    eject(now, attempt.endpoint, out);
    if (unreachable && !endpoint.health.serving())
        evacuate(now, attempt.endpoint, out);
}

void AttemptFlow::endHoldOffs(Timestamp now)
{
    while (!m_heldOff.empty() && m_heldOff.front().first <= now) {
        const TableIndex index = m_heldOff.front().second;
        m_heldOff.pop_front();
        m_state->endpoints[index].heldOff = false;
        m_state->endpoints.refresh(index);
    }
}

void AttemptFlow::forget(TableIndex index)
{
    std::erase(m_ejected, index);
    std::erase_if(m_heldOff, [&](const auto &it) { return it.second == index; });
}

void AttemptFlow::evacuate(Timestamp now, TableIndex index, EntryCommands *out)
{
    // An instance that is gone leaves its attempts without an end: what may run twice is tried
    // elsewhere now, and the slots stay taken until they are known to be free.
    for (const AttemptId it : m_state->attempts.at(index)) {
        AttemptRecord *attempt = m_state->attempts.find(it);
        RequestRecord *record = attempt->request;
        if (!record || !record->idempotent || record->answerStarted
            || record->state != RequestState::Started || !mayRetry(now, *record))
            continue;
        attempt->request = nullptr;
        linger(now, attempt);
        out->push_back(AbandonAttempt { .attempt = it });
        record->mayHaveRun = true;
        record->attempt = AttemptId();
        m_retries.push_back(record);
    }
}

void AttemptFlow::eject(Timestamp now, TableIndex index, EntryCommands *out)
{
    EntryEndpoint &endpoint = m_state->endpoints[index];
    EntryService &service = m_state->services[endpoint.service];
    const std::uint32_t mayBeOut =
            service.endpoints * (100 - service.settings.ejectionFloorPercent) / 100;
    if (service.ejected >= mayBeOut)
        return;
    ++service.ejected;
    m_ejected.push_back(index);
    endpoint.health.eject(now, service.settings);
    m_state->endpoints.refresh(index);
    out->push_back(
            RecordEvent { .kind = EventKind::EndpointEjected, .subject = endpoint.name.value });
}

bool AttemptFlow::sendProbe(Timestamp now, TableIndex index, EntryCommands *out)
{
    EntryEndpoint &endpoint = m_state->endpoints[index];
    if (endpoint.probing || endpoint.openConnections >= endpoint.connections)
        return false;
    endpoint.probing = true;
    endpoint.probedAt = now;
    ++endpoint.openConnections;
    m_state->endpoints.refresh(index);
    out->push_back(ProbeEndpoint { .endpoint = endpoint.name.view(), .address = endpoint.address });
    return true;
}

void AttemptFlow::probe(Timestamp now, EntryCommands *out)
{
    for (const TableIndex it : m_ejected) {
        EntryEndpoint &endpoint = m_state->endpoints[it];
        if (endpoint.health.probeDue(now) && sendProbe(now, it, out))
            endpoint.health.probeSent();
    }
    if (now - m_suspectedAt >= suspectInterval) {
        m_suspectedAt = now;
        probeSuspects(now, out);
    }
}

void AttemptFlow::probeSuspects(Timestamp now, EntryCommands *out)
{
    // An instance that is gone says nothing. When all slots held there are taken by attempts that
    // never end, only a probe finds out.
    std::vector<TableIndex> suspects;
    m_state->attempts.forEach([&](const AttemptRecord &it) {
        if (!it.request || it.request->answerStarted || it.lane == Lane::Stream)
            return;
        const EntryEndpoint &endpoint = m_state->endpoints[it.endpoint];
        const Duration high = m_state->services[it.service].estimator.high(it.routeHash);
        const bool late = now - it.startedAt > std::max(leastSuspicion, suspicionFactor * high);
        if (late && endpoint.health.serving() && now - endpoint.probedAt >= probeInterval)
            suspects.push_back(it.endpoint);
    });
    std::sort(suspects.begin(), suspects.end());
    for (const TableIndex it : suspects)
        sendProbe(now, it, out);
}

void AttemptFlow::probeEnded(Timestamp now, TableIndex index, bool reached, EntryCommands *out)
{
    EntryEndpoint &endpoint = m_state->endpoints[index];
    EntryService &service = m_state->services[endpoint.service];
    if (!endpoint.probing)
        return;
    endpoint.probing = false;
    m_state->endpoints.connectionDone(index, false);
    if (endpoint.health.serving()) {
        if (reached)
            return;
        eject(now, index, out);
        evacuate(now, index, out);
        return;
    }
    endpoint.health.probeEnded(now, reached, service.settings);
    if (!reached)
        return;
    --service.ejected;
    std::erase(m_ejected, index);
    m_state->endpoints.refresh(index);
    out->push_back(
            RecordEvent { .kind = EventKind::EndpointRestored, .subject = endpoint.name.value });
}

void AttemptFlow::countLongRunning(Timestamp now, TableIndex index)
{
    EntryService &service = m_state->services[index];
    while (!service.shortAttempts.empty()) {
        AttemptRecord *attempt = m_state->attempts.find(service.shortAttempts.front());
        if (attempt && now - attempt->startedAt <= service.settings.shortWork)
            return;
        if (attempt) {
            attempt->countsAsLong = true;
            ++service.longInUse;
        }
        service.shortAttempts.pop_front();
    }
}

} // namespace acaciafork::routing
