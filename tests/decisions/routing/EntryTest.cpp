#include <doctest/doctest.h>

#include "tests/decisions/routing/EntryFixture.h"

namespace acaciafork::routing::fake {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Sends requests until no slot of the entry is free; the last one is queued.
/// @return the attempts started
std::vector<StartAttempt> fillSlots(EntryFixture *entry)
{
    std::vector<StartAttempt> started;
    while (auto it = entry->arrive(entry->request()))
        started.push_back(*it);
    return started;
}

void verdict(EntryFixture *entry, RequestId request, LedgerVerdict verdict)
{
    entry->commands.clear();
    entry->scheduler.ledgerVerdict(entry->now, request, verdict, &entry->commands);
}

} // namespace

TEST_CASE("an at-most-once request is sent only after the ledger has recorded it")
{
    EntryFixture entry;
    const RequestInfo info = entry.request(false, 77);
    CHECK_FALSE(entry.arrive(info));
    REQUIRE(entry.sent<AskLedger>());
    CHECK(entry.sent<AskLedger>()->keyDigest == 77);

    verdict(&entry, info.request, LedgerVerdict::Recorded);
    REQUIRE(entry.sent<StartAttempt>());
    const AttemptId first = entry.sent<StartAttempt>()->attempt;

    // Nothing was sent: retried, without asking the ledger again.
    entry.end(first, AttemptPhase::NotSent, AttemptOutcome::ConnectFailed);
    REQUIRE(entry.sent<StartAttempt>());
    CHECK_FALSE(entry.sent<AskLedger>());
    const AttemptId second = entry.sent<StartAttempt>()->attempt;

    // The request was sent: not retried, and its end is recorded in the ledger.
    entry.end(second, AttemptPhase::Sent, AttemptOutcome::Reset);
    CHECK_FALSE(entry.sent<StartAttempt>());
    CHECK(entry.sent<AnswerUnknown>());
    REQUIRE(entry.sent<RecordLedgerEnd>());
    CHECK(entry.sent<RecordLedgerEnd>()->end == LedgerEnd::Unknown);
}

TEST_CASE("each ledger verdict other than recorded refuses the request with its reason")
{
    struct Row
    {
        LedgerVerdict verdict;
        RefusalReason reason;
        bool notRun;
    };
    const Row rows[] = { { LedgerVerdict::BodyDiffers, RefusalReason::KeyReused, true },
                         { LedgerVerdict::Unavailable, RefusalReason::LedgerUnavailable, true },
                         { LedgerVerdict::Running, RefusalReason::LedgerRunning, false },
                         { LedgerVerdict::EndedAnswered, RefusalReason::LedgerEnded, false },
                         { LedgerVerdict::EndedUnknown, RefusalReason::LedgerEnded, false } };
    for (const Row &row : rows) {
        CAPTURE(static_cast<int>(row.verdict));
        EntryFixture entry;
        const RequestInfo info = entry.request(false, 5);
        entry.arrive(info);
        verdict(&entry, info.request, row.verdict);
        CHECK_FALSE(entry.sent<StartAttempt>());
        if (row.notRun) {
            REQUIRE(entry.sent<AnswerNotRun>());
            CHECK(entry.sent<AnswerNotRun>()->reason == row.reason);
        } else {
            REQUIRE(entry.sent<AnswerUnknown>());
            CHECK(entry.sent<AnswerUnknown>()->reason == row.reason);
        }
        // The reserved slot is free again.
        CHECK(fillSlots(&entry).size() == 4);
    }
}

TEST_CASE("a request whose caller disconnects while the ledger is asked is recorded as not run")
{
    EntryFixture entry;
    const RequestInfo info = entry.request(false, 5);
    entry.arrive(info);
    entry.scheduler.callerGone(entry.now, info.request, &entry.commands);
    verdict(&entry, info.request, LedgerVerdict::Recorded);
    CHECK_FALSE(entry.sent<StartAttempt>());
    REQUIRE(entry.sent<RecordLedgerEnd>());
    CHECK(entry.sent<RecordLedgerEnd>()->end == LedgerEnd::NotRun);
    CHECK(entry.scheduler.requestsInProgress() == 0);
}

TEST_CASE("cancellation dequeues a request at once but frees a slot only when the attempt ends")
{
    EntryFixture entry;
    const std::vector<StartAttempt> started = fillSlots(&entry);
    REQUIRE(started.size() == 4);
    const std::size_t before = entry.scheduler.requestsInProgress();
    CHECK(before == 5);

    // The fifth request is queued, and removed as soon as its caller disconnects.
    entry.scheduler.callerGone(entry.now, RequestId { 5 }, &entry.commands);
    CHECK(entry.scheduler.requestsInProgress() == 4);

    entry.commands.clear();
    entry.scheduler.callerGone(entry.now, started[0].request, &entry.commands);
    CHECK(entry.sent<AbandonAttempt>());
    CHECK_FALSE(entry.arrive(entry.request()));

    // The late answer is discarded and frees the slot. Its connection is not reused.
    entry.end(started[0].attempt, AttemptPhase::Body, AttemptOutcome::Ok);
    CHECK_FALSE(entry.sent<ForwardAnswer>());
    REQUIRE(entry.sent<StartAttempt>());
    CHECK_FALSE(entry.sent<StartAttempt>()->reuseConnection);
}

TEST_CASE("a timeout does not free the slot, but a late answer does")
{
    EntryFixture entry;
    const std::vector<StartAttempt> started = fillSlots(&entry);
    entry.end(started[0].attempt, AttemptPhase::Sent, AttemptOutcome::Timeout);
    // No slot is free, so the retry and the fifth request stay queued.
    CHECK_FALSE(entry.sent<StartAttempt>());
    entry.end(started[0].attempt, AttemptPhase::Headers, AttemptOutcome::Ok);
    CHECK(entry.sent<StartAttempt>());
    CHECK_FALSE(entry.sent<ForwardAnswer>());
}

TEST_CASE("a leaving endpoint gets no new requests, even after a late grant")
{
    EntryFixture entry;
    const LeavingNotice notice { .endpoint = EndpointName { "endpoint-0" },
                                 .incarnation = Incarnation { 1 } };
    entry.commands.clear();
    entry.scheduler.endpointLeaving(entry.now, notice, &entry.commands);
    CHECK(entry.sent<BroadcastLeaving>());
    entry.commands.clear();
    entry.scheduler.endpointLeaving(entry.now, notice, &entry.commands);
    CHECK_FALSE(entry.sent<BroadcastLeaving>());

    entry.grant("endpoint-0", 2);
    for (const StartAttempt &it : fillSlots(&entry))
        CHECK(it.endpoint == "endpoint-1");
    // A new incarnation of the endpoint gets requests again.
    entry.grant("endpoint-0", 2, 2);
    CHECK(entry.sent<StartAttempt>());
}

TEST_CASE("a tombstone covers old incarnations until it expires")
{
    TombstoneTable table(seconds(10));
    const Timestamp now = timestampFromMicroseconds(0);
    const EndpointName name { "endpoint-0" };
    CHECK(table.add(now, LeavingNotice { .endpoint = name, .incarnation = Incarnation { 3 } }));
    CHECK_FALSE(
            table.add(now, LeavingNotice { .endpoint = name, .incarnation = Incarnation { 2 } }));
    CHECK(table.covers(name, Incarnation { 3 }));
    CHECK_FALSE(table.covers(name, Incarnation { 4 }));
    table.expire(now + seconds(9));
    CHECK(table.covers(name, Incarnation { 3 }));
    table.expire(now + seconds(10));
    CHECK(table.size() == 0);
}

TEST_CASE("a request that cannot meet its deadline is refused at once with a retry delay")
{
    EntryFixture entry;
    // Train the estimate of the route to two seconds.
    for (int it = 0; it < 20; ++it) {
        const auto attempt = entry.arrive(entry.request());
        entry.now += seconds(2);
        entry.end(attempt->attempt, AttemptPhase::Body, AttemptOutcome::Ok);
    }
    RequestInfo info = entry.request();
    info.deadline = entry.now + seconds(1);
    CHECK_FALSE(entry.arrive(info));
    REQUIRE(entry.sent<AnswerNotRun>());
    CHECK(entry.sent<AnswerNotRun>()->reason == RefusalReason::DeadlineTooClose);
    CHECK(entry.sent<AnswerNotRun>()->retryAfter >= seconds(1));
}

TEST_CASE("a request queued while no credit is held is refused long before its deadline")
{
    EntryFixture entry;
    entry.grant("endpoint-0", 0);
    entry.grant("endpoint-1", 0);
    CHECK_FALSE(entry.arrive(entry.request()));
    CHECK_FALSE(entry.sent<AnswerNotRun>());
    entry.advance(seconds(3));
    REQUIRE(entry.sent<AnswerNotRun>());
    CHECK(entry.sent<AnswerNotRun>()->reason == RefusalReason::NoCredit);
}

TEST_CASE("a request is forwarded to a peer at most once")
{
    EntryFixture entry;
    fillSlots(&entry);
    CreditGrant grant = entry.emptyGrant();
    grant.spares.push_back(SpareHint { .service = ServiceName { "loopdraw" },
                                       .peer = ProcessId { 2 },
                                       .zone = ZoneName { "zone-a" },
                                       .slots = 10 });
    entry.scheduler.grantReceived(entry.now, grant, &entry.commands);
    const RequestInfo info = entry.request();
    entry.arrive(info);
    REQUIRE(entry.sent<ForwardToPeer>());
    CHECK(entry.sent<ForwardToPeer>()->peer == ProcessId { 2 });
    entry.commands.clear();
    entry.scheduler.forwardEnded(entry.now, info.request, ForwardOutcome::NotRun, &entry.commands);
    CHECK_FALSE(entry.sent<ForwardToPeer>());
    // A request that came from a peer is not forwarded either.
    RequestInfo forwarded = entry.request();
    forwarded.forwarded = true;
    entry.arrive(forwarded);
    CHECK_FALSE(entry.sent<ForwardToPeer>());
}

TEST_CASE("streams never occupy all slots")
{
    EntryFixture entry;
    int streams = 0;
    for (int it = 0; it < 4; ++it) {
        RequestInfo info = entry.request();
        info.requestClass = RequestClass::Stream;
        streams += entry.arrive(info) ? 1 : 0;
    }
    CHECK(streams == 2);
    CHECK(entry.arrive(entry.request()));
    CHECK(entry.arrive(entry.request()));
}

TEST_CASE("ejection keeps the minimum share of endpoints, and a probe restores an ejected one")
{
    EntryFixture entry;
    int ejected = 0;
    for (int it = 0; it < 40; ++it) {
        const auto attempt = entry.arrive(entry.request(false));
        if (!attempt)
            break;
        entry.end(attempt->attempt, AttemptPhase::Headers, AttemptOutcome::EndpointError);
        ejected += entry.sent<RecordEvent>() ? 1 : 0;
    }
    // One of the two endpoints may be ejected.
    CHECK(ejected == 1);
    entry.advance(seconds(3));
    REQUIRE(entry.sent<ProbeEndpoint>());
    const EndpointName name { std::string(entry.sent<ProbeEndpoint>()->endpoint) };
    entry.commands.clear();
    entry.scheduler.probeEnded(entry.now, name, true, &entry.commands);
    REQUIRE(entry.sent<RecordEvent>());
    CHECK(entry.sent<RecordEvent>()->kind == EventKind::EndpointRestored);
}

TEST_CASE("a draining entry refuses new requests, finishes the others and returns its credit")
{
    EntryFixture entry;
    const auto attempt = entry.arrive(entry.request());
    entry.commands.clear();
    entry.scheduler.drain(entry.now, &entry.commands);
    CHECK_FALSE(entry.arrive(entry.request()));
    CHECK(entry.sent<AnswerNotRun>()->reason == RefusalReason::Draining);
    entry.end(attempt->attempt, AttemptPhase::Body, AttemptOutcome::Ok);
    CHECK(entry.sent<ForwardAnswer>());
    CHECK(entry.scheduler.requestsInProgress() == 0);
    entry.advance(seconds(2));
    REQUIRE(entry.sent<SendCreditReport>());
    const CreditReport &report = entry.sent<SendCreditReport>()->report;
    CHECK(report.draining);
    for (const CreditHolding &it : report.holdings)
        CHECK(it.slots == 0);
}

TEST_CASE("an adaptive limit falls when the endpoint refuses work and recovers afterwards")
{
    AdaptiveLimit limit;
    Timestamp now = timestampFromMicroseconds(0);
    CHECK(limit.apply(8) == 8);
    limit.recordRefusal(now, 8);
    CHECK(limit.apply(8) == 6);
    limit.recordRefusal(now + milliseconds(100), 8);
    CHECK(limit.apply(8) == 6);
    for (int it = 0; it < 20; ++it)
        limit.recordRefusal(now += seconds(1), 8);
    CHECK(limit.apply(8) == 1);
    for (int it = 0; it < 20; ++it)
        limit.recover(now += seconds(3), 8);
    CHECK_FALSE(limit.limited());
}

TEST_CASE("an endpoint that is ejected while a probe is on its way gets requests again")
{
    // The probe of a suspect ends well after failures have ejected the endpoint: it left the list
    // of ejected endpoints but stayed ejected, so that it was never probed again.
    EntryFixture entry;
    const auto slow = entry.arrive(entry.request(false));
    REQUIRE(slow);
    const std::string suspect(slow->endpoint);
    // The other one stays free of failures.
    entry.advance(milliseconds(1500));
    REQUIRE(entry.sent<ProbeEndpoint>());
    REQUIRE(entry.sent<ProbeEndpoint>()->endpoint == suspect);
    bool isEjected = false;
    for (int it = 0; it < 60 && !isEjected; ++it) {
        std::vector<StartAttempt> attempts;
        for (int n = 0; n < 3; ++n) {
            if (const auto attempt = entry.arrive(entry.request(false)))
                attempts.push_back(*attempt);
        }
        for (const StartAttempt &attempt : attempts) {
            const bool fails = attempt.endpoint == suspect;
            entry.end(attempt.attempt, AttemptPhase::Headers,
                      fails ? AttemptOutcome::EndpointError : AttemptOutcome::Ok);
            isEjected = isEjected || entry.sent<RecordEvent>();
        }
    }
    REQUIRE(isEjected);
    entry.commands.clear();
    entry.scheduler.probeEnded(entry.now, EndpointName { suspect }, true, &entry.commands);
    // Ten minutes in which each probe succeeds.
    for (int it = 0; it < 600; ++it) {
        entry.advance(seconds(1));
        if (const auto *probe = entry.sent<ProbeEndpoint>()) {
            const EndpointName name { std::string(probe->endpoint) };
            entry.commands.clear();
            entry.scheduler.probeEnded(entry.now, name, true, &entry.commands);
        }
        entry.grant("endpoint-0", 2);
        entry.grant("endpoint-1", 2);
    }
    bool isUsed = false;
    for (int n = 0; n < 3; ++n) {
        const auto attempt = entry.arrive(entry.request(false));
        isUsed = isUsed || (attempt && attempt->endpoint == suspect);
    }
    CHECK(isUsed);
}
} // namespace acaciafork::routing::fake
