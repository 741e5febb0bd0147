#include "acaciafork/decisions/routing/Admission.h"

#include <algorithm>

namespace acaciafork::routing {
namespace {

/// Time that batch work waits behind interactive work that came later.
constexpr Duration batchDelay = std::chrono::seconds(10);
/// Service time attained for each slot kept busy that delays a route's next request.
constexpr Duration delayPerSlotUsed = std::chrono::milliseconds(20);
/// Time that requests wait for a first slot while the entry holds none.
constexpr Duration noCreditTimeout = std::chrono::seconds(2);
/// Times the wait accepted after which a waiting request is refused.
constexpr int queueTimeoutFactor = 2;
/// Bounds of what a refused caller is told.
constexpr Duration minRetryAfter = std::chrono::seconds(1);
constexpr Duration maxRetryAfter = std::chrono::seconds(30);

} // namespace

Admission::Admission(EntryState *state)
    : m_state(state)
{ }

RequestRecord *Admission::accept(Timestamp now, const RequestInfo &info, EntryCommands *out)
{
    const auto refuseNew = [&](FailureKind kind, RefusalReason reason) -> RequestRecord * {
        out->push_back(AnswerNotRun { .request = info.request,
                                      .kind = kind,
                                      .reason = reason,
                                      .retryAfter = minRetryAfter });
        return nullptr;
    };
    if (m_state->draining)
        return refuseNew(FailureKind::NotReady, RefusalReason::Draining);
    const TableIndex index = m_state->services.find(info.service);
    if (index == noIndex || !m_state->services[index].configured)
        return refuseNew(FailureKind::NotFound, RefusalReason::UnknownService);

    RequestRecord *record = m_state->requests.add(info.request);
    if (!record)
        return nullptr;
    EntryService &service = m_state->services[index];
    record->service = index;
    record->idempotent = info.idempotent;
    record->forwarded = info.forwarded;
    record->routeHash = info.routeHash;
    record->keyDigest = info.keyDigest;
    record->bodyDigest = info.bodyDigest;
    record->arrival = now;
    record->deadline = std::min(info.deadline, now + service.settings.maxTimeout);
    record->expected = service.estimator.expected(info.routeHash);
    record->latestStart = record->deadline - record->expected;
    record->lane = laneOf(service, *record, info.requestClass);
    if (record->lane != Lane::Stream)
        service.recordArrival(record->lane, record->expected);

    // Routes that kept many slots busy lately stand behind the others, but not for ever.
    const double slotsUsed = service.attained.slotsUsed(now, info.routeHash);
    const Duration attainedDelay(static_cast<Duration::rep>(slotsUsed * delayPerSlotUsed.count()));
    record->orderKey = toMicroseconds(now)
            + std::min(attainedDelay, service.settings.maxAttainedDelay).count();
    if (record->lane == Lane::Batch)
        record->orderKey += batchDelay.count();
    return record;
}

Lane Admission::laneOf(const EntryService &service, const RequestRecord &record,
                       RequestClass requestClass) const
{
    if (requestClass == RequestClass::Stream)
        return Lane::Stream;
    if (requestClass == RequestClass::Batch)
        return Lane::Batch;
    return record.expected <= service.settings.shortWork ? Lane::Short : Lane::Long;
}

bool Admission::mustWait(const RequestRecord &record) const
{
    const EntryService &service = m_state->services[record.service];
    if (!service.hasFreeSlot() || !service.laneCanStart(record.lane))
        return true;
    // Others that could start now were there first.
    for (std::size_t it = 0; it < laneCount; ++it) {
        const auto lane = static_cast<Lane>(it);
        if (service.queue.size(lane) > 0 && service.laneCanStart(lane))
            return true;
    }
    return false;
}

Duration Admission::maxWait(Timestamp now, const RequestRecord &record) const
{
    // Nobody waits for batch work, and long work may wait as long as it takes.
    const EntryService &service = m_state->services[record.service];
    if (record.lane == Lane::Batch)
        return Duration::max();
    const auto &overload = service.overload[static_cast<std::size_t>(record.lane)];
    const bool sustainedOverload = overload.overloaded(now, service.settings.overloadDetectionTime);
    const Duration bound =
            sustainedOverload ? service.settings.maxOverloadWait : service.settings.maxBurstWait;
    return std::max(bound, record.expected);
}

void Admission::wait(Timestamp now, RequestRecord *record, EntryCommands *out)
{
    EntryService &service = m_state->services[record->service];
    OverloadDetector &overload = service.overload[static_cast<std::size_t>(record->lane)];
    const Duration expected = service.expectedWait(record->lane);
    if (now + expected > record->latestStart) {
        refuse(record, FailureKind::Overloaded, RefusalReason::DeadlineTooClose, out);
        return;
    }
    const bool full = service.queue.size() >= service.settings.queueBound;
    if (full || expected > maxWait(now, *record)) {
        overload.recordRefusal(now, service.settings.overloadDetectionTime);
        refuse(record, FailureKind::Overloaded, RefusalReason::QueueFull, out);
        return;
    }
    record->state = RequestState::Waiting;
    service.queue.push(record);
    overload.queueChanged(now, false);
}

void Admission::removeFromQueue(Timestamp now, RequestRecord *record)
{
    EntryService &service = m_state->services[record->service];
    service.queue.remove(record);
    service.overload[static_cast<std::size_t>(record->lane)].queueChanged(
            now, service.queue.size(record->lane) == 0);
}

RequestRecord *Admission::takeNext(Timestamp now, TableIndex index)
{
    EntryService &service = m_state->services[index];
    RequestRecord *next = nullptr;
    for (std::size_t it = 0; it < laneCount; ++it) {
        const auto lane = static_cast<Lane>(it);
        if (service.queue.size(lane) == 0 || !service.laneCanStart(lane))
            continue;
        // In a queue that stands the oldest have little time left: serve those who still have it.
        const bool newestFirst = lane != Lane::Batch
                && service.overload[it].overloaded(now, service.settings.overloadDetectionTime);
        RequestRecord *candidate =
                newestFirst ? service.queue.newest(lane) : service.queue.first(lane);
        if (!next || candidate->orderKey < next->orderKey)
            next = candidate;
    }
    if (next)
        removeFromQueue(now, next);
    return next;
}

void Admission::shed(Timestamp now, TableIndex index, EntryCommands *out)
{
    EntryService &service = m_state->services[index];
    while (RequestRecord *record = service.queue.mostUrgent()) {
        if (record->latestStart >= now)
            break;
        removeFromQueue(now, record);
        refuse(record, FailureKind::Overloaded, RefusalReason::DeadlineTooClose, out);
    }

    // Whoever has waited twice as long as was accepted is not going to be served in good time.
    for (const Lane lane : { Lane::Short, Lane::Long, Lane::Stream }) {
        while (RequestRecord *record = service.queue.oldest(lane)) {
            const bool withoutCredit = service.heldSlots == 0;
            const Duration queueTimeout =
                    withoutCredit ? noCreditTimeout : queueTimeoutFactor * maxWait(now, *record);
            if (now - record->arrival < queueTimeout)
                break;
            removeFromQueue(now, record);
            service.overload[static_cast<std::size_t>(lane)].recordRefusal(
                    now, service.settings.overloadDetectionTime);
            refuse(record, FailureKind::Overloaded,
                   withoutCredit ? RefusalReason::NoCredit : RefusalReason::QueueFull, out);
        }
    }
}

void Admission::refuse(RequestRecord *record, FailureKind kind, RefusalReason reason,
                       EntryCommands *out)
{
    const Duration after = retryAfter(record->service);
    if (record->inLedger) {
        out->push_back(RecordLedgerEnd {
                .request = record->request,
                .service = m_state->services[record->service].settings.service,
                .keyDigest = record->keyDigest,
                .end = record->mayHaveRun ? LedgerEnd::Unknown : LedgerEnd::NotRun });
    }
    if (record->mayHaveRun) {
        out->push_back(AnswerUnknown {
                .request = record->request, .kind = kind, .reason = reason, .retryAfter = after });
    } else {
        out->push_back(AnswerNotRun {
                .request = record->request, .kind = kind, .reason = reason, .retryAfter = after });
    }
    m_state->requests.remove(record);
}

Duration Admission::retryAfter(TableIndex index) const
{
    const EntryService &service = m_state->services[index];
    const Duration wait = 2 * (service.queue.work() / service.laneSlots(Lane::Short));
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
}

} // namespace acaciafork::routing
