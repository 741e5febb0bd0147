#include "tests/decisions/routing/EntryFixture.h"

namespace acaciafork::routing::fake {

EntryFixture::EntryFixture(const ServiceSettings &baseSettings)
    : scheduler(EntryOptions { .process = ProcessId { 1 },
                               .incarnation = Incarnation { 1 },
                               .zone = ZoneName { "zone-a" } })
{
    ServiceSettings settings = baseSettings;
    settings.service = ServiceName { "loopdraw" };
    scheduler.configApplied(now, std::span(&settings, 1), &commands);
    scheduler.controlLeaderFound(now, 1, &commands);
    grant("endpoint-0", 2);
    grant("endpoint-1", 2);
}

RequestInfo EntryFixture::request(bool idempotent, std::uint64_t key)
{
    return RequestInfo { .request = RequestId { ++m_lastRequest },
                         .service = ServiceName { "loopdraw" },
                         .routeHash = 1,
                         .idempotent = idempotent,
                         .keyDigest = key,
                         .bodyDigest = key,
                         .deadline = now + std::chrono::seconds(10) };
}

std::optional<StartAttempt> EntryFixture::arrive(const RequestInfo &info)
{
    commands.clear();
    scheduler.requestArrived(now, info, &commands);
    const auto *start = sent<StartAttempt>();
    return start ? std::optional(*start) : std::nullopt;
}

void EntryFixture::end(AttemptId attempt, AttemptPhase phase, AttemptOutcome outcome)
{
    commands.clear();
    if (phase == AttemptPhase::Body)
        scheduler.attemptHeaders(now, attempt, false, &commands);
    const bool kept = outcome == AttemptOutcome::Ok || outcome == AttemptOutcome::EndpointError;
    scheduler.attemptEnded(
            now, attempt, AttemptEnd { .phase = phase, .outcome = outcome, .connectionKept = kept },
            &commands);
}

void EntryFixture::grant(const std::string &endpoint, std::uint32_t slots,
                         std::uint64_t incarnation)
{
    for (const EntryCommand &it : commands) {
        if (const auto *report = std::get_if<SendCreditReport>(&it))
            reportNumber = report->report.number;
    }
    CreditGrant grant = emptyGrant();
    grant.grants.push_back(EndpointGrant { .endpoint = EndpointName { endpoint },
                                           .service = ServiceName { "loopdraw" },
                                           .address = "127.0.0.1:" + endpoint,
                                           .zone = ZoneName { "zone-a" },
                                           .rack = RackName { "rack of " + endpoint },
                                           .incarnation = Incarnation { incarnation },
                                           .grantNumber = ++grantNumber,
                                           .slots = slots,
                                           .connections = 2 * slots });
    commands.clear();
    scheduler.grantReceived(now, grant, &commands);
}

CreditGrant EntryFixture::emptyGrant() const
{
    return CreditGrant { .entry = ProcessId { 1 },
                         .entryIncarnation = Incarnation { 1 },
                         .term = 1,
                         .reportNumber = reportNumber,
                         .lease = std::chrono::minutes(10) };
}

void EntryFixture::advance(Duration time)
{
    constexpr Duration step = std::chrono::milliseconds(10);
    commands.clear();
    for (const Timestamp until = now + time; now < until;) {
        now += step;
        scheduler.tick(now, &commands);
    }
}

} // namespace acaciafork::routing::fake
