#include <doctest/doctest.h>

#include "tests/decisions/routing/EntryFixture.h"

namespace acaciafork::routing::fake {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Fills every slot of the entry and returns the attempts.
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

TEST_CASE("a request that must run at most once leaves only after the ledger has it")
{
    EntryFixture entry;
    const RequestInfo info = entry.request(false, 77);
    CHECK_FALSE(entry.arrive(info));
    REQUIRE(entry.sent<AskLedger>());
    CHECK(entry.sent<AskLedger>()->keyDigest == 77);

    verdict(&entry, info.request, LedgerVerdict::Recorded);
    REQUIRE(entry.sent<StartAttempt>());
    const AttemptId first = entry.sent<StartAttempt>()->attempt;

    // Not sent: another attempt, and the ledger is not asked again.
    entry.end(first, AttemptPhase::NotSent, AttemptOutcome::ConnectFailed);
    REQUIRE(entry.sent<StartAttempt>());
    CHECK_FALSE(entry.sent<AskLedger>());
    const AttemptId second = entry.sent<StartAttempt>()->attempt;

    // Sent: never again, and the ledger is told.
    entry.end(second, AttemptPhase::Sent, AttemptOutcome::Reset);
    CHECK_FALSE(entry.sent<StartAttempt>());
    CHECK(entry.sent<AnswerUnknown>());
    REQUIRE(entry.sent<RecordLedgerEnd>());
    CHECK(entry.sent<RecordLedgerEnd>()->end == LedgerEnd::Unknown);
}

TEST_CASE("each verdict of the ledger has its answer")
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
        // The slot that was set aside is free again.
        CHECK(fillSlots(&entry).size() == 4);
    }
}

TEST_CASE("a caller that goes away while the ledger is asked leaves a record of not run")
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

TEST_CASE("cancellation frees the queue place at once, the slot when the endpoint has ended")
{
    EntryFixture entry;
    const std::vector<StartAttempt> started = fillSlots(&entry);
    REQUIRE(started.size() == 4);
    const std::size_t before = entry.scheduler.requestsInProgress();
    CHECK(before == 5);

    // The fifth waits; its place is free as soon as its caller has gone.
    entry.scheduler.callerGone(entry.now, RequestId { 5 }, &entry.commands);
    CHECK(entry.scheduler.requestsInProgress() == 4);

    entry.commands.clear();
    entry.scheduler.callerGone(entry.now, started[0].request, &entry.commands);
    CHECK(entry.sent<AbandonAttempt>());
    CHECK_FALSE(entry.arrive(entry.request()));

    // The late answer goes nowhere, frees the slot, and its connection is not used again.
    entry.end(started[0].attempt, AttemptPhase::Body, AttemptOutcome::Ok);
    CHECK_FALSE(entry.sent<ForwardAnswer>());
    REQUIRE(entry.sent<StartAttempt>());
    CHECK_FALSE(entry.sent<StartAttempt>()->reuseConnection);
}

TEST_CASE("a timeout frees no slot, a late answer does")
{
    EntryFixture entry;
    const std::vector<StartAttempt> started = fillSlots(&entry);
    entry.end(started[0].attempt, AttemptPhase::Sent, AttemptOutcome::Timeout);
    // The retry and the fifth request still wait: no slot is free.
    CHECK_FALSE(entry.sent<StartAttempt>());
    entry.end(started[0].attempt, AttemptPhase::Headers, AttemptOutcome::Ok);
    CHECK(entry.sent<StartAttempt>());
    CHECK_FALSE(entry.sent<ForwardAnswer>());
}

TEST_CASE("an endpoint that leaves gets nothing new, whatever is announced or granted late")
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
    // Only a new incarnation is a new endpoint.
    entry.grant("endpoint-0", 2, 2);
    CHECK(entry.sent<StartAttempt>());
}

TEST_CASE("a tombstone outlives late announcements and then is forgotten")
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

TEST_CASE("what cannot be served in time is refused at once with a time to come back")
{
    EntryFixture entry;
    // Teach the entry that the route takes two seconds.
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

TEST_CASE("a request that waits without credit is given up on long before its deadline")
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

TEST_CASE("a request is passed to a peer at most once")
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
    // One that came from a peer is not passed on either.
    RequestInfo forwarded = entry.request();
    forwarded.forwarded = true;
    entry.arrive(forwarded);
    CHECK_FALSE(entry.sent<ForwardToPeer>());
}

TEST_CASE("streams never take all slots")
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

TEST_CASE("ejection stops at its floor and a probe brings an endpoint back")
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
    // One of two may be out.
    CHECK(ejected == 1);
    entry.advance(seconds(3));
    REQUIRE(entry.sent<ProbeEndpoint>());
    const EndpointName name { std::string(entry.sent<ProbeEndpoint>()->endpoint) };
    entry.commands.clear();
    entry.scheduler.probeEnded(entry.now, name, true, &entry.commands);
    REQUIRE(entry.sent<RecordEvent>());
    CHECK(entry.sent<RecordEvent>()->kind == EventKind::EndpointRestored);
}

TEST_CASE("a draining entry refuses what is new, finishes what it has and gives credit back")
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

TEST_CASE("an adaptive limit falls when an endpoint refuses work and recovers afterwards")
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

} // namespace acaciafork::routing::fake
