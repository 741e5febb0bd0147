#include "acaciafork/peers/CreditCodec.h"

namespace acaciafork::peers {
namespace {

void encodeEvidence(const routing::ProgressEvidence &evidence, wire::ProgressEvidence *message)
{
    message->set_age_us(evidence.age.count());
    message->set_requests_in_progress(evidence.requestsInProgress);
    message->set_lists_attempts(evidence.listsAttempts);
    for (const AttemptId it : evidence.attemptsInProgress)
        message->add_attempts_in_progress(it.value);
}

routing::ProgressEvidence decodeEvidence(const wire::ProgressEvidence &message)
{
    routing::ProgressEvidence evidence { .age = Duration(message.age_us()),
                                         .requestsInProgress = message.requests_in_progress(),
                                         .listsAttempts = message.lists_attempts() };
    for (const std::uint64_t it : message.attempts_in_progress())
        evidence.attemptsInProgress.push_back(AttemptId { it });
    return evidence;
}

void encodeEndpointGrant(const routing::EndpointGrant &grant, wire::EndpointGrant *message)
{
    message->set_endpoint(grant.endpoint.value);
    message->set_service(grant.service.value);
    message->set_address(grant.address);
    message->set_zone(grant.zone.value);
    message->set_rack(grant.rack.value);
    message->set_incarnation(grant.incarnation.value);
    message->set_grant_number(grant.grantNumber);
    message->set_slots(grant.slots);
    message->set_connections(grant.connections);
    if (grant.hasEvidence)
        encodeEvidence(grant.evidence, message->mutable_evidence());
}

routing::EndpointGrant decodeEndpointGrant(const wire::EndpointGrant &message)
{
    routing::EndpointGrant grant { .endpoint = { message.endpoint() },
                                   .service = { message.service() },
                                   .address = message.address(),
                                   .zone = { message.zone() },
                                   .rack = { message.rack() },
                                   .incarnation = { message.incarnation() },
                                   .grantNumber = message.grant_number(),
                                   .slots = message.slots(),
                                   .connections = message.connections(),
                                   .hasEvidence = message.has_evidence() };
    if (grant.hasEvidence)
        grant.evidence = decodeEvidence(message.evidence());
    return grant;
}

/// Adds notices to a repeated field.
template <typename List>
void encodeNotices(const std::vector<routing::LeavingNotice> &notices, List *list)
{
    for (const routing::LeavingNotice &it : notices) {
        wire::LeavingNotice *message = list->Add();
        message->set_endpoint(it.endpoint.value);
        message->set_incarnation(it.incarnation.value);
    }
}

template <typename List>
std::vector<routing::LeavingNotice> decodeNotices(const List &list)
{
    std::vector<routing::LeavingNotice> notices;
    for (const wire::LeavingNotice &it : list)
        notices.push_back({ .endpoint = { it.endpoint() }, .incarnation = { it.incarnation() } });
    return notices;
}

} // namespace

void encodeReport(const routing::CreditReport &report, wire::CreditReport *message)
{
    message->set_zone(report.zone.value);
    message->set_term(report.term);
    message->set_number(report.number);
    message->set_full(report.full);
    message->set_draining(report.draining);
    for (const routing::ServiceDemand &it : report.demands) {
        wire::ServiceDemand *demand = message->add_demands();
        demand->set_service(it.service.value);
        demand->set_wanted(it.wanted);
        demand->set_held(it.held);
        demand->set_spare(it.spare);
    }
    for (const routing::CreditHolding &it : report.holdings) {
        wire::CreditHolding *holding = message->add_holdings();
        holding->set_endpoint(it.endpoint.value);
        holding->set_service(it.service.value);
        holding->set_grant_number(it.grantNumber);
        holding->set_slots(it.slots);
        holding->set_in_use(it.inUse);
        holding->set_lingering(it.lingering);
        holding->set_connections(it.connections);
        holding->set_refusals(it.refusals);
    }
    encodeNotices(report.leaving, message->mutable_leaving());
}

routing::CreditReport decodeReport(const wire::Envelope &envelope)
{
    const wire::CreditReport &message = envelope.credit_report();
    routing::CreditReport report { .entry = { envelope.sender() },
                                   .entryIncarnation = { envelope.incarnation() },
                                   .zone = { message.zone() },
                                   .term = message.term(),
                                   .number = message.number(),
                                   .full = message.full(),
                                   .draining = message.draining() };
    for (const wire::ServiceDemand &it : message.demands()) {
        report.demands.push_back({ .service = { it.service() },
                                   .wanted = it.wanted(),
                                   .held = it.held(),
                                   .spare = it.spare() });
    }
    for (const wire::CreditHolding &it : message.holdings()) {
        report.holdings.push_back({ .endpoint = { it.endpoint() },
                                    .service = { it.service() },
                                    .grantNumber = it.grant_number(),
                                    .slots = it.slots(),
                                    .inUse = it.in_use(),
                                    .lingering = it.lingering(),
                                    .connections = it.connections(),
                                    .refusals = it.refusals() });
    }
    report.leaving = decodeNotices(message.leaving());
    return report;
}

void encodeGrant(const routing::CreditGrant &grant, wire::CreditGrant *message)
{
    message->set_entry_incarnation(grant.entryIncarnation.value);
    message->set_term(grant.term);
    message->set_report_number(grant.reportNumber);
    message->set_need_full(grant.needFull);
    message->set_lease_us(grant.lease.count());
    for (const routing::EndpointGrant &it : grant.grants)
        encodeEndpointGrant(it, message->add_grants());
    for (const routing::ServiceTarget &it : grant.targets) {
        wire::ServiceTarget *target = message->add_targets();
        target->set_service(it.service.value);
        target->set_slots(it.slots);
    }
    for (const routing::SpareHint &it : grant.spares) {
        wire::SpareHint *hint = message->add_spares();
        hint->set_service(it.service.value);
        hint->set_peer(it.peer.value);
        hint->set_zone(it.zone.value);
        hint->set_slots(it.slots);
    }
    encodeNotices(grant.leaving, message->mutable_leaving());
}

routing::CreditGrant decodeGrant(const wire::CreditGrant &message, ProcessId self)
{
    routing::CreditGrant grant { .entry = self,
                                 .entryIncarnation = { message.entry_incarnation() },
                                 .term = message.term(),
                                 .reportNumber = message.report_number(),
                                 .needFull = message.need_full(),
                                 .lease = Duration(message.lease_us()) };
    for (const wire::EndpointGrant &it : message.grants())
        grant.grants.push_back(decodeEndpointGrant(it));
    for (const wire::ServiceTarget &it : message.targets())
        grant.targets.push_back({ .service = { it.service() }, .slots = it.slots() });
    for (const wire::SpareHint &it : message.spares()) {
        grant.spares.push_back({ .service = { it.service() },
                                 .peer = { it.peer() },
                                 .zone = { it.zone() },
                                 .slots = it.slots() });
    }
    grant.leaving = decodeNotices(message.leaving());
    return grant;
}

void encodeAnnouncement(const routing::EndpointAnnouncement &announcement,
                        wire::EndpointAnnouncement *message)
{
    message->set_endpoint(announcement.endpoint.value);
    message->set_service(announcement.service.value);
    message->set_address(announcement.address);
    message->set_zone(announcement.zone.value);
    message->set_rack(announcement.rack.value);
    message->set_incarnation(announcement.incarnation.value);
    message->set_sequence(announcement.sequence);
    message->set_slots(announcement.slots);
    message->set_connections(announcement.connections);
    message->set_requests_in_progress(announcement.requestsInProgress);
    message->set_leaving(announcement.leaving);
}

routing::EndpointAnnouncement decodeAnnouncement(const wire::EndpointAnnouncement &message)
{
    return { .endpoint = { message.endpoint() },
             .service = { message.service() },
             .address = message.address(),
             .zone = { message.zone() },
             .rack = { message.rack() },
             .incarnation = { message.incarnation() },
             .sequence = message.sequence(),
             .slots = message.slots(),
             .connections = message.connections(),
             .requestsInProgress = message.requests_in_progress(),
             .leaving = message.leaving() };
}

} // namespace acaciafork::peers
