#include <doctest/doctest.h>

#include "acaciafork/entry/LedgerOutbox.h"

using namespace acaciafork;
using namespace acaciafork::entry;

namespace {

constexpr Timestamp at(std::int64_t ms)
{
    return timestampFromMicroseconds(ms * 1000);
}

std::vector<wire::Envelope> due(LedgerOutbox *outbox, std::int64_t ms)
{
    std::vector<wire::Envelope> messages;
    outbox->collectDue(at(ms), &messages);
    return messages;
}

routing::RecordLedgerEnd end(std::uint64_t request)
{
    return { .request = { request },
             .service = { "drawings" },
             .end = routing::LedgerEnd::Answered };
}

} // namespace

TEST_CASE("a question is repeated until its verdict, and answered once")
{
    LedgerOutbox outbox({});
    outbox.ask(at(0), { .request = { 7 }, .service = { "drawings" }, .keyDigest = 1 });
    CHECK(due(&outbox, 0).size() == 1);
    CHECK(due(&outbox, 249).empty());
    CHECK(due(&outbox, 250).size() == 1);
    CHECK(outbox.answered(RequestId { 7 }));
    CHECK_FALSE(outbox.answered(RequestId { 7 }));
    CHECK(due(&outbox, 1000).empty());
}

TEST_CASE("a question without a verdict is given up once")
{
    LedgerOutbox outbox({});
    outbox.ask(at(0), { .request = { 7 } });
    CHECK(outbox.takeExpired(at(2999)).empty());
    CHECK(outbox.takeExpired(at(3000)) == std::vector { RequestId { 7 } });
    CHECK(outbox.takeExpired(at(3000)).empty());
    CHECK(outbox.empty());
}

TEST_CASE("ends share messages and are repeated until acknowledged")
{
    LedgerOutbox outbox({});
    outbox.end(end(1));
    outbox.end(end(2));
    const auto first = due(&outbox, 1000);
    REQUIRE(first.size() == 1);
    CHECK(first[0].ledger_ends().ends_size() == 2);
    const std::uint64_t sequence = first[0].ledger_ends().sequence();

    // A third end that comes before the acknowledgement is not covered by it.
    outbox.end(end(3));
    outbox.acknowledged(sequence);
    CHECK_FALSE(outbox.empty());
    const auto second = due(&outbox, 2000);
    REQUIRE(second.size() == 1);
    CHECK(second[0].ledger_ends().ends_size() == 1);
    CHECK(second[0].ledger_ends().ends(0).request() == 3);
    CHECK(due(&outbox, 2249).empty());
    CHECK(due(&outbox, 2250).size() == 1);
    outbox.acknowledged(second[0].ledger_ends().sequence());
    CHECK(outbox.empty());
}

TEST_CASE("the end of a request takes its open question back")
{
    LedgerOutbox outbox({});
    outbox.ask(at(0), { .request = { 7 } });
    outbox.end(end(7));
    CHECK_FALSE(outbox.answered(RequestId { 7 }));
}
