#include "acaciafork/decisions/routing/AttemptLifecycle.h"

#include <algorithm>

#include "acaciafork/core/Assert.h"
#include "acaciafork/decisions/routing/RetryPolicy.h"

namespace acaciafork::routing {
namespace {

/// Weight of the newest answer in an endpoint's slowness.
constexpr float slownessWeight = 0.1F;
/// Bounds of an endpoint's slowness, so that one answer does not decide.
constexpr float minSlowness = 0.5F;
constexpr float maxSlowness = 4;
/// True when the end shows that the endpoint no longer works on the attempt.
bool endpointFinished(const AttemptEnd &end)
{
    return end.phase == AttemptPhase::NotSent || end.outcome == AttemptOutcome::Ok
            || end.outcome == AttemptOutcome::EndpointError
            || end.outcome == AttemptOutcome::RefusedNotRun;
}

/// True when the attempt's connection is gone after this end.
bool closesConnection(AttemptOutcome outcome)
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

AttemptLifecycle::AttemptLifecycle(EntryState *state, Admission *admission, CreditHolder *credits,
                                   EndpointMonitor *monitor)
    : m_state(state)
    , m_admission(admission)
    , m_credits(credits)
    , m_monitor(monitor)
    , m_router(&state->generator)
{ }

bool AttemptLifecycle::start(Timestamp now, RequestRecord *record, EntryCommands *out)
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

void AttemptLifecycle::send(const AttemptRecord &attempt, EntryCommands *out)
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

void AttemptLifecycle::ledgerVerdict(Timestamp now, RequestRecord *record, LedgerVerdict verdict,
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
    removeAttempt(attempt, attempt->reusesConnection);
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

void AttemptLifecycle::headersReceived(Timestamp now, AttemptId id, bool endpointError,
                                       EntryCommands *out)
{
    const AttemptRecord *attempt = m_state->attempts.find(id);
    if (!attempt || !attempt->request || attempt->request->answerStarted)
        return;

    // An error that will be tried again is not shown; the retry is paid for now.
    RequestRecord *record = attempt->request;
    const RetryDecision decision =
            retryDecision(AttemptPhase::Headers, AttemptOutcome::EndpointError, record->idempotent);
    if (endpointError && decision == RetryDecision::Retry && tryTakeRetry(now, *record)) {
        record->retryReserved = true;
        return;
    }
    record->answerStarted = true;
    out->push_back(ForwardAnswer { .request = record->request, .attempt = id });
}

void AttemptLifecycle::ended(Timestamp now, AttemptId id, const AttemptEnd &reported,
                             EntryCommands *out)
{
    AttemptRecord *attempt = m_state->attempts.find(id);
    if (!attempt)
        return;
    RequestRecord *record = attempt->request;
    AttemptEnd end = reported;
    if (record && record->answerStarted)
        end.phase = AttemptPhase::Body;

    attempt->request = nullptr;
    recordOutcome(now, *attempt, end, out);
    if (endpointFinished(end)) {
        removeAttempt(attempt, end.connectionKept);
    } else {
        if (attempt->connected && closesConnection(end.outcome)) {
            attempt->connected = false;
            m_state->endpoints.releaseConnection(attempt->endpoint, false);
        }
        markLingering(now, attempt);
    }
    if (record)
        retryOrFinish(now, record, end, out);
}

std::vector<RequestRecord *> AttemptLifecycle::takeRetries()
{
    return std::exchange(m_retries, {});
}

void AttemptLifecycle::retryOrFinish(Timestamp now, RequestRecord *record, const AttemptEnd &end,
                                     EntryCommands *out)
{
    const RetryRule &rule = retryRule(end.phase, end.outcome);
    record->mayHaveRun |= !rule.knownNotRun;
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
        if (record->retryReserved || tryTakeRetry(now, *record)) {
            record->retryReserved = false;
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

bool AttemptLifecycle::tryTakeRetry(Timestamp now, const RequestRecord &record)
{
    EntryService &service = m_state->services[record.service];
    return record.attempts < service.settings.maxAttempts && record.latestStart > now
            && service.retries.take();
}

void AttemptLifecycle::finish(RequestRecord *record, LedgerEnd end, EntryCommands *out)
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

void AttemptLifecycle::abandon(Timestamp now, RequestRecord *record, EntryCommands *out)
{
    if (record->state == RequestState::AwaitingLedger) {
        record->callerGone = true;
        return;
    }
    AttemptRecord *attempt = m_state->attempts.find(record->attempt);
    ACACIAFORK_ASSERT(attempt);
    attempt->request = nullptr;
    markLingering(now, attempt);
    out->push_back(AbandonAttempt { .attempt = attempt->attempt });
    finish(record, LedgerEnd::Unknown, out);
}

void AttemptLifecycle::markLingering(Timestamp now, AttemptRecord *attempt)
{
    if (attempt->lingering)
        return;
    attempt->lingering = true;
    attempt->abandonedAt = now;
    m_state->endpoints[attempt->endpoint].lingering.push_back(attempt->attempt);
    m_credits->markChanged(attempt->endpoint);
}

void AttemptLifecycle::release(AttemptId id, EntryCommands *out)
{
    AttemptRecord *attempt = m_state->attempts.find(id);
    if (!attempt || !attempt->lingering)
        return;
    if (attempt->connected)
        out->push_back(ReleaseAttempt { .attempt = id });
    removeAttempt(attempt, false);
}

void AttemptLifecycle::removeAttempt(AttemptRecord *attempt, bool connectionKept)
{
    const TableIndex index = attempt->endpoint;
    EntryEndpoint &endpoint = m_state->endpoints[index];
    const bool exceedsCredit =
            endpoint.inUse > endpoint.slots || endpoint.openConnections > endpoint.connections;
    if (attempt->lingering)
        std::erase(endpoint.lingering, attempt->attempt);
    if (exceedsCredit || attempt->lingering)
        m_credits->markChanged(index);

    if (attempt->connected)
        m_state->endpoints.releaseConnection(index, connectionKept && !attempt->lingering);
    m_state->endpoints.freeSlot(index, attempt->expectedEnd);
    m_state->services[attempt->service].countAttempt(attempt->lane, attempt->countsAsLong, -1);
    const TableIndex service = attempt->service;
    m_state->attempts.remove(attempt->attempt);
    m_credits->returnSurplus(service);
}

void AttemptLifecycle::recordOutcome(Timestamp now, const AttemptRecord &attempt,
                                     const AttemptEnd &end, EntryCommands *out)
{
    if (attempt.lingering)
        return;
    EntryService &service = m_state->services[attempt.service];
    EntryEndpoint &endpoint = m_state->endpoints[attempt.endpoint];
    const Duration elapsed = now - attempt.startedAt;
    const Duration expected(attempt.expectedEnd - toMicroseconds(attempt.startedAt));

    if (end.outcome == AttemptOutcome::Ok && end.phase != AttemptPhase::NotSent) {
        service.retries.recordSuccess(service.settings.retryBudgetPercent);
        endpoint.health.recordSuccess();
        if (attempt.lane == Lane::Stream)
            return;
        service.estimator.note(attempt.routeHash, elapsed);
        service.attained.add(now, attempt.routeHash, elapsed);
        const float ratio = static_cast<float>(elapsed.count())
                / static_cast<float>(std::max<Duration::rep>(expected.count(), 1));
        const float bounded = std::clamp(ratio, minSlowness, maxSlowness);
        if (expected > Duration::zero())
            endpoint.slowness += (bounded - endpoint.slowness) * slownessWeight;
        return;
    }
    if (end.outcome == AttemptOutcome::RefusedNotRun) {
        ++endpoint.refusals;
        m_credits->markChanged(attempt.endpoint);
        return;
    }
    if (m_monitor->recordFailure(now, attempt, end.outcome, out))
        retryElsewhere(now, attempt.endpoint, out);
}

void AttemptLifecycle::retryElsewhere(Timestamp now, TableIndex index, EntryCommands *out)
{
    // An instance that is gone leaves its attempts without an end: what may run twice is tried
    // elsewhere now, and the slots stay taken until they are known to be free.
    for (const AttemptId it : m_state->attempts.at(index)) {
        AttemptRecord *attempt = m_state->attempts.find(it);
        RequestRecord *record = attempt->request;
        if (!record || !record->idempotent || record->answerStarted
            || record->state != RequestState::Started || !tryTakeRetry(now, *record))
            continue;
        attempt->request = nullptr;
        markLingering(now, attempt);
        out->push_back(AbandonAttempt { .attempt = it });
        record->mayHaveRun = true;
        record->attempt = AttemptId();
        m_retries.push_back(record);
    }
}

void AttemptLifecycle::reclassifyLongRunning(Timestamp now, TableIndex index)
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
