#include <doctest/doctest.h>

#include "tests/state/Driver.h"

using namespace acaciafork;
using namespace acaciafork::state;

TEST_CASE("a repeated request is reported as already begun, and later gets the first outcome")
{
    Driver driver;
    CHECK(driver.apply(ledgerBegin("k", 1)).outcome() == wire::OUTCOME_BEGUN_NOW);
    CHECK(driver.apply(ledgerBegin("k", 1)).outcome() == wire::OUTCOME_BEGUN_NOW);
    CHECK(driver.apply(ledgerBegin("k", 2)).outcome() == wire::OUTCOME_ALREADY_BEGUN);
    CHECK(driver.apply(ledgerBegin("k", 3, "other")).outcome() == wire::OUTCOME_CONTENT_CONFLICT);
    driver.apply(ledgerEnd("k", 1, wire::LEDGER_OUTCOME_ANSWERED));
    const ApplyResult repeat = driver.apply(ledgerBegin("k", 4));
    CHECK(repeat.outcome() == wire::OUTCOME_LEDGER_FINISHED);
    CHECK(repeat.ledger_outcome() == wire::LEDGER_OUTCOME_ANSWERED);
    CHECK(repeat.ledger_status() == 200);
}

TEST_CASE("a request that did not run frees its key, and a late close can't affect the next one")
{
    Driver driver;
    driver.apply(ledgerBegin("k", 1));
    driver.apply(ledgerEnd("k", 1, wire::LEDGER_OUTCOME_NOT_RUN));
    CHECK(driver.apply(ledgerBegin("k", 2)).outcome() == wire::OUTCOME_BEGUN_NOW);
    const ApplyResult late = driver.apply(ledgerEnd("k", 1, wire::LEDGER_OUTCOME_NOT_RUN));
    CHECK(late.parts(0).outcome() == wire::OUTCOME_STALE_EPOCH);
    CHECK(driver.apply(ledgerBegin("k", 3)).outcome() == wire::OUTCOME_ALREADY_BEGUN);
}

TEST_CASE("a full ledger rejects new requests until the window of an old one has passed")
{
    Driver driver({ .ledgerWindow = std::chrono::seconds(10), .ledgerEntries = 2 });
    driver.apply(ledgerBegin("a", 1));
    driver.apply(ledgerBegin("b", 2));
    CHECK(driver.apply(ledgerBegin("c", 3)).outcome() == wire::OUTCOME_FULL);
    CHECK(driver.apply(ledgerBegin("a", 4)).outcome() == wire::OUTCOME_ALREADY_BEGUN);
    driver.now += 11'000'000;
    CHECK(driver.apply(ledgerBegin("c", 5)).outcome() == wire::OUTCOME_BEGUN_NOW);
    CHECK(driver.machine.ledger().size() == 1);
}
