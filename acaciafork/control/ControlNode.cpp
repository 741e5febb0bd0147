#include "acaciafork/control/ControlNode.h"

#include <algorithm>
#include <array>

#include "acaciafork/control/LedgerService.h"

namespace acaciafork::control {
namespace {

/// Bits of a request id below the process that made it; they start from the process's incarnation.
constexpr int requestCounterBits = 48;
constexpr std::uint64_t requestCounterMask = (std::uint64_t { 1 } << requestCounterBits) - 1;

} // namespace

/// Carries out the commands of the grantor.
struct GrantorCommandRunner
{
    ControlNode &node;
    Moment at;

    void operator()(const routing::SendGrant &command) const
    {
        wire::Envelope envelope;
        peers::encodeGrant(command.grant, envelope.mutable_credit_grant());
        node.m_link->send(command.grant.entry, &envelope, at.wallMicroseconds);
    }

    void operator()(const routing::RecordEvent &command) const
    {
        node.m_timeline->record(at.wallMicroseconds, command.kind, command.subject, command.detail);
    }
};

ControlNode::ControlNode(ControlNodeSettings settings, peers::PeerLink *link, ControlPorts *ports,
                         Timeline *timeline, CounterRegistry *counters)
    : m_settings(std::move(settings))
    , m_link(link)
    , m_ports(ports)
    , m_timeline(timeline)
    , m_counters(counters)
    , m_state(m_settings.cell)
    , m_entries(m_settings.entries)
    , m_grantor(m_settings.credit)
    , m_batch(
              m_settings.batch, &m_state, ports,
              [this](Moment at, wire::Command command, ProposalTable::Handler handler) {
                  return propose(at, std::move(command), std::move(handler));
              },
              [this](Moment at, const EndpointName &endpoint) { leaveEndpoint(at, endpoint); },
              [this](const EndpointName &endpoint) { return isIdle(endpoint); },
              [this](const EndpointName &endpoint) { return isServable(endpoint); }, counters)
    , m_jobs(
              m_settings.jobs, &m_state,
              [this](Moment at, wire::Command command, ProposalTable::Handler handler) {
                  return propose(at, std::move(command), std::move(handler));
              },
              counters)
    , m_applied(&counters->counter("control_commands_applied_total"))
    , m_ledgerAsks(&counters->counter("control_ledger_asks_total"))
{ }

void ControlNode::applied(Moment at, const consensus::LogPosition &position,
                          std::string_view command)
{
    const state::ApplyResult result = m_state.apply(position.index, state::bytesOf(command));
    m_applied->add();
    if (!m_isLeader)
        return;

    // Whoever proposed it hears first, so that a scheduler sees its own commit before the effects.
    m_proposals.applied(at, position, result);
    wire::Command decoded;
    if (!decoded.ParseFromArray(command.data(), static_cast<int>(command.size())))
        return;
    m_batch.applied(at, decoded, result);
    m_jobs.applied(at, decoded, result);
    recordEvents(at, decoded, result);
    if (m_leading && decoded.body_case() == wire::Command::kProposeConfig)
        configApplied(at);
}

void ControlNode::roleChanged(Moment at, bool isLeader, std::uint64_t term)
{
    if (isLeader == m_isLeader && term == m_term)
        return;
    if (m_isLeader)
        stopLeading(at);
    m_isLeader = isLeader;
    m_term = term;
}

bool ControlNode::loadSnapshot(std::string_view bytes)
{
    bool loaded = true;
    leaf::try_handle_all([&]() -> Result<void> { return m_state.restore(state::bytesOf(bytes)); },
                         [&] { loaded = false; });
    return loaded;
}

bool ControlNode::propose(Moment at, wire::Command command, ProposalTable::Handler handler)
{
    command.set_cell(m_settings.cell.value);
    command.set_time_us(at.wallMicroseconds);
    if (command.body_case() == wire::Command::kBatch) {
        for (wire::Command &it : *command.mutable_batch()->mutable_commands()) {
            it.set_cell(m_settings.cell.value);
            it.set_time_us(at.wallMicroseconds);
        }
    }
    bool accepted = false;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(position, m_ports->propose(at.now, state::encodeCommand(command)));
                m_proposals.add(position, std::move(handler));
                accepted = true;
                return {};
            },
            [&] { m_counters->counter("control_proposals_refused_total").add(); });
    return accepted;
}

void ControlNode::peerMessage(Moment at, const wire::Envelope &envelope)
{
    using Body = wire::Envelope::BodyCase;
    using Method = void (ControlNode::*)(Moment, const wire::Envelope &);
    /// Messages that the leader takes from entries, and what takes them.
    static constexpr std::array<std::pair<Body, Method>, 6> handlers { {
            { Body::kEntryHeartbeat, &ControlNode::onEntryHeartbeat },
            { Body::kCreditReport, &ControlNode::onCreditReport },
            { Body::kLeavingNotice, &ControlNode::onLeavingNotice },
            { Body::kEndpointAnnouncements, &ControlNode::onEndpointAnnouncements },
            { Body::kLedgerAsk, &ControlNode::onLedgerAsk },
            { Body::kLedgerEnds, &ControlNode::onLedgerEnds },
    } };
    if (!isKnownEntry({ envelope.sender() })) {
        m_counters->counter("control_messages_from_unknown_entries_total").add();
        return;
    }
    for (const auto &[body, method] : handlers) {
        if (envelope.body_case() != body)
            continue;
        if (m_leading && m_ports->canActAsLeader(at.now))
            (this->*method)(at, envelope);
        else
            refuseAsFollower(at, ProcessId { envelope.sender() });
    }
}

void ControlNode::endpointAnnounced(Moment at, const routing::EndpointAnnouncement &announcement)
{
    routing::GrantorCommands commands;
    m_grantor.endpointAnnounced(at.now, announcement, &commands);
    run(at, commands);
    m_batch.endpointAnnounced(at, announcement);
}

void ControlNode::workerReported(Moment at, const batch::WorkerReport &report, std::string address)
{
    m_batch.workerReported(at, report, std::move(address));
}

void ControlNode::usageReported(Moment at, const batch::UsageReport &report)
{
    m_batch.usageReported(at, report);
}

void ControlNode::workerCallAnswered(Moment at, batch::CallId call, batch::CallAnswer answer)
{
    m_batch.workerCallAnswered(at, call, answer);
}

void ControlNode::tick(Moment at)
{
    // Soft state starts only once the lease of the leader before is surely over.
    if (m_isLeader && !m_leading && m_ports->canActAsLeader(at.now))
        startLeading(at);
    if (!m_leading || !m_ports->canActAsLeader(at.now))
        return;

    routing::GrantorCommands commands;
    for (const EntryRecord &it : m_entries.expire(at.now))
        m_grantor.entryLost(at.now, it.process, &commands);
    m_grantor.tick(at.now, &commands);
    run(at, commands);

    m_jobs.tick(at);
    if (at.now >= m_batchTickAt) {
        m_batchTickAt = at.now + m_settings.batchTick;
        m_batch.tick(at);
    }
    const ConfigVersion version = m_state.configuration().version();
    if (m_inForce < version && m_entries.inForce(at.now, version)) {
        m_inForce = version;
        m_timeline->record(at.wallMicroseconds, EventKind::ConfigInForce,
                           std::to_string(version.value), "everywhere");
    }
}

void ControlNode::turnEnded(Moment at)
{
    if (m_leading && m_ports->canActAsLeader(at.now))
        m_jobs.carryOut(at);
}

void ControlNode::startLeading(Moment at)
{
    m_leading = true;
    m_timeline->record(at.wallMicroseconds, EventKind::LeaderElected,
                       std::to_string(m_link->identity().process.value),
                       "term=" + std::to_string(m_term));
    m_entries.becameLeader(at.now);
    routing::GrantorCommands commands;
    m_grantor.becameLeader(at.now, m_term, m_settings.knownEntries, true, &commands);
    run(at, commands);
    m_accepted = m_state.configuration().version();
    configApplied(at);
    m_batch.start(at);
    m_jobs.start(at);
}

void ControlNode::stopLeading(Moment at)
{
    if (m_leading)
        m_timeline->record(at.wallMicroseconds, EventKind::LeaderLost,
                           std::to_string(m_link->identity().process.value),
                           "term=" + std::to_string(m_term));
    m_leading = false;
    m_grantor.lostLeadership();
    m_batch.stop();
    m_jobs.stop();
    m_proposals.abandon(at);
}

void ControlNode::run(Moment at, const routing::GrantorCommands &commands)
{
    const GrantorCommandRunner runner { .node = *this, .at = at };
    for (const routing::GrantorCommand &it : commands)
        std::visit(runner, it);
}

void ControlNode::configApplied(Moment at)
{
    const wire::ConfigRecord &record = m_state.configuration().current();
    if (record.version() == 0)
        return;

    // A resent proposal, and a later leader, accept nothing new.
    if (ConfigVersion { record.version() } > m_accepted) {
        m_accepted = { record.version() };
        m_timeline->record(at.wallMicroseconds, EventKind::ConfigAccepted,
                           std::to_string(record.version()), "author=" + record.author());
    }
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(services,
                                peers::decodeServices(record.document().SerializeAsString()));
                m_grantor.configApplied(services);
                return {};
            },
            [&] { m_counters->counter("control_config_malformed_total").add(); });
}

void ControlNode::recordEvents(Moment at, const wire::Command &command,
                               const state::ApplyResult &result)
{
    if (command.body_case() == wire::Command::kBatch) {
        for (int i = 0; i < command.batch().commands_size() && i < result.parts_size(); ++i)
            recordEvents(at, command.batch().commands(i), result.parts(i));
        return;
    }
    if (result.outcome() != wire::OUTCOME_APPLIED)
        return;

    const auto record = [&](EventKind kind, const std::string &subject, std::string detail = {}) {
        m_timeline->record(at.wallMicroseconds, kind, subject, std::move(detail));
    };
    switch (command.body_case()) {
    case wire::Command::kSubmitTask:
        record(EventKind::JobQueued, command.submit_task().task());
        break;
    case wire::Command::kLeaseTask:
        record(command.lease_task().epoch() > 1 ? EventKind::JobResumed : EventKind::JobLeased,
               command.lease_task().task(),
               "worker=" + command.lease_task().worker()
                       + " epoch=" + std::to_string(command.lease_task().epoch()));
        break;
    case wire::Command::kTaskStarted:
        record(EventKind::JobStarted, command.task_started().task());
        break;
    case wire::Command::kTaskStopped:
        record(EventKind::JobEvicted, command.task_stopped().task(),
               "epoch=" + std::to_string(command.task_stopped().epoch()));
        break;
    case wire::Command::kTaskFinished:
        record(EventKind::JobFinished, command.task_finished().task());
        break;
    case wire::Command::kTaskFailed:
        record(EventKind::JobFailed, command.task_failed().task(),
               "reason=" + command.task_failed().reason());
        break;
    case wire::Command::kCancelTask:
        record(EventKind::JobCancelled, command.cancel_task().task());
        break;
    case wire::Command::kTaskUnschedulable:
        record(EventKind::JobUnschedulable, command.task_unschedulable().task());
        break;
    case wire::Command::kChangeRack: {
        /// By wire::RackState.
        static constexpr std::array kinds { EventKind::RackRestored, EventKind::RackDraining,
                                            EventKind::RackDrained, EventKind::RackRetired };
        record(kinds.at(static_cast<std::size_t>(command.change_rack().target())),
               command.change_rack().name());
        break;
    }
    case wire::Command::kChangeZone:
        record(command.change_zone().closed() ? EventKind::ZoneClosed : EventKind::ZoneOpened,
               command.change_zone().zone());
        break;
    default:
        break;
    }
}

void ControlNode::onEntryHeartbeat(Moment at, const wire::Envelope &envelope)
{
    const wire::EntryHeartbeat &heartbeat = envelope.entry_heartbeat();
    const ProcessId entry { envelope.sender() };
    m_entries.heartbeat(at.now,
                        { .process = entry,
                          .incarnation = { envelope.incarnation() },
                          .zone = heartbeat.zone(),
                          .callersAddress = heartbeat.callers_address(),
                          .operatorsAddress = heartbeat.operators_address(),
                          .version = { heartbeat.config_version() },
                          .draining = heartbeat.draining() });

    // The version goes along whole only to an entry that is behind.
    const wire::ConfigRecord &record = m_state.configuration().current();
    wire::Envelope envelopeOut;
    wire::HeartbeatReply *reply = envelopeOut.mutable_heartbeat_reply();
    reply->set_sequence(heartbeat.sequence());
    reply->set_term(m_term);
    reply->set_config_version(record.version());
    if (heartbeat.config_version() < record.version())
        reply->set_config_document(record.document().SerializeAsString());
    addEntries(entry, heartbeat.entries_revision(), reply);
    m_link->send(entry, &envelopeOut, at.wallMicroseconds);
}

void ControlNode::addEntries(ProcessId receiver, std::uint64_t heldRevision,
                             wire::HeartbeatReply *reply) const
{
    // Revisions of different leaderships never meet: the term stands above the count.
    constexpr int revisionBits = 32;
    const std::uint64_t revision = (m_term << revisionBits) | m_entries.revision();
    reply->set_entries_revision(revision);
    if (heldRevision == revision)
        return;
    for (const auto &[process, it] : m_entries.entries()) {
        if (process == receiver || it.draining)
            continue;
        wire::EntryPeer *peer = reply->add_entries();
        peer->set_process(process.value);
        peer->set_zone(it.zone);
        peer->set_callers_address(it.callersAddress);
    }
}

void ControlNode::onCreditReport(Moment at, const wire::Envelope &envelope)
{
    routing::GrantorCommands commands;
    m_grantor.creditReport(at.now, peers::decodeReport(envelope), &commands);
    run(at, commands);
}

void ControlNode::onLeavingNotice(Moment at, const wire::Envelope &envelope)
{
    const wire::LeavingNotice &notice = envelope.leaving_notice();
    routing::GrantorCommands commands;
    m_grantor.endpointLeaving(
            at.now, { .endpoint = { notice.endpoint() }, .incarnation = { notice.incarnation() } },
            &commands);
    run(at, commands);
}

void ControlNode::onEndpointAnnouncements(Moment at, const wire::Envelope &envelope)
{
    for (const wire::EndpointAnnouncement &it : envelope.endpoint_announcements().announcements())
        endpointAnnounced(at, peers::decodeAnnouncement(it));
}

void ControlNode::onLedgerAsk(Moment at, const wire::Envelope &envelope)
{
    m_ledgerAsks->add();
    const ProcessId entry { envelope.sender() };
    const std::uint64_t request = envelope.ledger_ask().request();
    wire::Command command = ledgerBegin(envelope);
    const std::string service = command.ledger_begin().service();
    const std::string key = command.ledger_begin().key();
    const auto handler = [this, entry, request, service, key](Moment when,
                                                              const state::ApplyResult *result) {
        answerLedger(when, entry, request, ledgerAnswer(result, holderLives(service, key)));
    };
    if (!propose(at, std::move(command), handler))
        answerLedger(at, entry, request, wire::LEDGER_ANSWER_UNAVAILABLE);
}

void ControlNode::onLedgerEnds(Moment at, const wire::Envelope &envelope)
{
    const ProcessId entry { envelope.sender() };
    const std::uint64_t sequence = envelope.ledger_ends().sequence();
    propose(at, ledgerEnds(envelope), [=, this](Moment when, const state::ApplyResult *result) {
        // Unknown whether committed: the entry sends the ends again.
        if (result == nullptr)
            return;
        wire::Envelope reply;
        reply.mutable_ledger_ends_ack()->set_sequence(sequence);
        m_link->send(entry, &reply, when.wallMicroseconds);
    });
}

void ControlNode::answerLedger(Moment at, ProcessId entry, std::uint64_t request,
                               wire::LedgerAnswer answer)
{
    wire::Envelope reply;
    reply.mutable_ledger_verdict()->set_request(request);
    reply.mutable_ledger_verdict()->set_answer(answer);
    m_link->send(entry, &reply, at.wallMicroseconds);
}

void ControlNode::refuseAsFollower(Moment at, ProcessId to)
{
    wire::Envelope reply;
    const ProcessId leader = m_ports->leader();
    reply.mutable_not_leader()->set_leader(leader == m_link->identity().process ? 0 : leader.value);
    m_link->send(to, &reply, at.wallMicroseconds);
}

void ControlNode::leaveEndpoint(Moment at, const EndpointName &endpoint)
{
    const auto &rows = m_grantor.tables().endpointRows();
    const auto it = rows.find(endpoint);
    if (it == rows.end())
        return;
    const Incarnation incarnation = m_grantor.tables().endpoint(it->second).incarnation;
    m_timeline->record(at.wallMicroseconds, EventKind::EndpointLeaving, endpoint.value);

    routing::GrantorCommands commands;
    m_grantor.endpointLeaving(at.now, { .endpoint = endpoint, .incarnation = incarnation },
                              &commands);
    run(at, commands);
    for (const auto &[process, record] : m_entries.entries()) {
        wire::Envelope envelope;
        envelope.mutable_leaving_notice()->set_endpoint(endpoint.value);
        envelope.mutable_leaving_notice()->set_incarnation(incarnation.value);
        m_link->send(process, &envelope, at.wallMicroseconds);
    }
}

bool ControlNode::isKnownEntry(ProcessId process) const
{
    const auto &known = m_settings.knownEntries;
    return m_settings.takesAnyEntry
            || std::find(known.begin(), known.end(), process) != known.end();
}

bool ControlNode::isIdle(const EndpointName &endpoint) const
{
    const auto &rows = m_grantor.tables().endpointRows();
    const auto it = rows.find(endpoint);
    if (it == rows.end())
        return true;
    const routing::GrantorEndpoint &row = m_grantor.tables().endpoint(it->second);
    return row.chargedSlots == 0 && row.unreportedSlots == 0 && row.requestsInProgress == 0;
}

bool ControlNode::isServable(const EndpointName &endpoint) const
{
    const auto &rows = m_grantor.tables().endpointRows();
    const auto it = rows.find(endpoint);
    if (it == rows.end())
        return false;
    const routing::GrantorEndpoint &row = m_grantor.tables().endpoint(it->second);
    return row.usable && row.unreportedSlots == 0;
}

bool ControlNode::holderLives(const std::string &service, const std::string &key) const
{
    const state::LedgerEntry *ledgerEntry = m_state.ledger().find(service, key);
    if (ledgerEntry == nullptr)
        return false;
    const auto it = m_entries.entries().find(ledgerEntry->entry);
    if (it == m_entries.entries().end())
        return false;

    // Request ids count up from the incarnation: a lower one is from before a restart.
    const std::uint64_t started = it->second.incarnation.value & requestCounterMask;
    return (ledgerEntry->attempt.value & requestCounterMask) >= started;
}

} // namespace acaciafork::control
