#include <doctest/doctest.h>

#include "tests/decisions/routing/EntryFixture.h"

namespace acaciafork::routing::fake {
namespace {

/// What the callers and the endpoints see after an attempt has ended.
enum class ObservedResult : std::uint8_t { Answer, SecondAttempt, NotRun, Unknown, Nothing };

ObservedResult observedResult(const EntryFixture &entry)
{
    if (entry.sent<StartAttempt>())
        return ObservedResult::SecondAttempt;
    if (entry.sent<AnswerNotRun>())
        return ObservedResult::NotRun;
    if (entry.sent<AnswerUnknown>())
        return ObservedResult::Unknown;
    return entry.sent<ForwardAnswer>() ? ObservedResult::Answer : ObservedResult::Nothing;
}

ObservedResult expectedResult(RetryDecision decision)
{
    switch (decision) {
    case RetryDecision::Deliver:
        return ObservedResult::Answer;
    case RetryDecision::Retry:
        return ObservedResult::SecondAttempt;
    case RetryDecision::NotRun:
        return ObservedResult::NotRun;
    case RetryDecision::Unknown:
        return ObservedResult::Unknown;
    }
    return ObservedResult::Nothing;
}

} // namespace

TEST_CASE("each cell of the retry table is produced by an attempt that ends so")
{
    for (const RetryRule &rule : retryTable) {
        for (const bool idempotent : { true, false }) {
            CAPTURE(static_cast<int>(rule.phase));
            CAPTURE(static_cast<int>(rule.outcome));
            CAPTURE(idempotent);
            EntryFixture entry;
            const auto first = entry.arrive(entry.request(idempotent));
            REQUIRE(first);
            entry.end(first->attempt, rule.phase, rule.outcome);
            CHECK(observedResult(entry)
                  == expectedResult(retryDecision(rule.phase, rule.outcome, idempotent)));
        }
    }
}

TEST_CASE("the retry table keeps its promises")
{
    for (const RetryRule &rule : retryTable) {
        CAPTURE(static_cast<int>(rule.phase));
        CAPTURE(static_cast<int>(rule.outcome));
        CHECK(&retryRule(rule.phase, rule.outcome) == &rule);
        // Work that may have run is never tried again unless it is idempotent.
        CHECK((rule.knownNotRun || rule.nonIdempotent != RetryDecision::Retry));
        // Not run is said only of work that surely did not run.
        CHECK((rule.knownNotRun || rule.idempotent != RetryDecision::NotRun));
        // Once part of an answer is with the caller nothing is tried again.
        if (rule.phase == AttemptPhase::Body)
            CHECK(rule.idempotent != RetryDecision::Retry);
    }
}

TEST_CASE("a retry goes to another rack and is told as not run when nothing began")
{
    ServiceSettings settings;
    settings.maxAttempts = 2;
    EntryFixture entry(settings);
    const auto first = entry.arrive(entry.request(false));
    const std::string firstEndpoint(first->endpoint);
    entry.end(first->attempt, AttemptPhase::NotSent, AttemptOutcome::ConnectFailed);
    REQUIRE(entry.sent<StartAttempt>());
    const StartAttempt second = *entry.sent<StartAttempt>();
    CHECK(second.endpoint != firstEndpoint);
    CHECK(second.attempt != first->attempt);
    entry.end(second.attempt, AttemptPhase::NotSent, AttemptOutcome::ConnectFailed);
    REQUIRE(entry.sent<AnswerNotRun>());
    CHECK(entry.sent<AnswerNotRun>()->retryAfter >= std::chrono::seconds(1));
}

TEST_CASE("an attempt that may have run makes the last word unknown")
{
    ServiceSettings settings;
    settings.maxAttempts = 2;
    EntryFixture entry(settings);
    const auto first = entry.arrive(entry.request(true));
    entry.end(first->attempt, AttemptPhase::Sent, AttemptOutcome::Reset);
    const StartAttempt second = *entry.sent<StartAttempt>();
    entry.end(second.attempt, AttemptPhase::NotSent, AttemptOutcome::ConnectFailed);
    CHECK(entry.sent<AnswerUnknown>());
    CHECK_FALSE(entry.sent<AnswerNotRun>());
}

TEST_CASE("retries end with the budget of the service")
{
    ServiceSettings settings;
    settings.ejectionFailures = 1000;
    EntryFixture entry(settings);
    int retries = 0;
    for (int it = 0; it < 100; ++it) {
        auto attempt = entry.arrive(entry.request());
        while (attempt) {
            entry.end(attempt->attempt, AttemptPhase::Sent, AttemptOutcome::RefusedNotRun);
            const auto *retryAttempt = entry.sent<StartAttempt>();
            retries += retryAttempt ? 1 : 0;
            attempt = retryAttempt ? std::optional(*retryAttempt) : std::nullopt;
        }
    }
    CHECK(retries == 10);
    // A success earns a tenth of a retry.
    RetryBudget budget;
    while (budget.take()) { }
    for (int it = 0; it < 9; ++it)
        budget.recordSuccess(settings.retryBudgetPercent);
    CHECK_FALSE(budget.take());
    budget.recordSuccess(settings.retryBudgetPercent);
    CHECK(budget.take());
}

TEST_CASE("an endpoint error that is tried again is never shown")
{
    EntryFixture entry;
    const auto first = entry.arrive(entry.request());
    entry.commands.clear();
    entry.scheduler.attemptHeaders(entry.now, first->attempt, true, &entry.commands);
    CHECK(entry.commands.empty());
    entry.end(first->attempt, AttemptPhase::Headers, AttemptOutcome::EndpointError);
    REQUIRE(entry.sent<StartAttempt>());
    // The other attempt's answer is the caller's, and the first one's cannot be.
    const AttemptId second = entry.sent<StartAttempt>()->attempt;
    entry.commands.clear();
    entry.scheduler.attemptHeaders(entry.now, second, false, &entry.commands);
    REQUIRE(entry.sent<ForwardAnswer>());
    CHECK(entry.sent<ForwardAnswer>()->attempt == second);
    entry.commands.clear();
    entry.scheduler.attemptHeaders(entry.now, first->attempt, false, &entry.commands);
    CHECK(entry.commands.empty());
}

TEST_CASE("a broken answer that has begun is not ended as a whole one")
{
    for (const AttemptOutcome outcome :
         { AttemptOutcome::Truncated, AttemptOutcome::Reset, AttemptOutcome::MismatchedAttempt }) {
        EntryFixture entry;
        const auto first = entry.arrive(entry.request());
        entry.end(first->attempt, AttemptPhase::Body, outcome);
        CHECK(entry.sent<AnswerUnknown>());
        CHECK_FALSE(entry.sent<StartAttempt>());
    }
}

} // namespace acaciafork::routing::fake
