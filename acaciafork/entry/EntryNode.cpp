#include "acaciafork/entry/EntryNode.h"

#include <array>

#include <spdlog/spdlog.h>

namespace acaciafork::entry {
namespace {

/// Reason of a refusal as the retry hint for "not ready yet".
constexpr Duration notReadyRetryAfter = std::chrono::seconds(1);

} // namespace

/// Carries out the commands of the scheduler, one overload for each kind.
struct EntryCommandRunner
{
    EntryNode &node;
    Moment at;

    void operator()(const routing::StartAttempt &command) const
    {
        node.m_ports->startAttempt(command);
    }
    void operator()(const routing::ForwardAnswer &command) const
    {
        node.m_ports->forwardAnswer(command);
    }
    void operator()(const routing::AnswerNotRun &command) const
    {
        node.m_ports->answerNotRun(command);
    }
    void operator()(const routing::AnswerUnknown &command) const
    {
        node.m_ports->answerUnknown(command);
    }
    void operator()(const routing::AbandonAttempt &command) const
    {
        node.m_ports->abandonAttempt(command);
    }
    void operator()(const routing::ReleaseAttempt &command) const
    {
        node.m_ports->releaseAttempt(command);
    }
    void operator()(const routing::CloseConnections &command) const
    {
        node.m_ports->closeConnections(command);
    }
    void operator()(const routing::ProbeEndpoint &command) const
    {
        node.m_ports->probeEndpoint(command);
    }
    void operator()(const routing::AskLedger &command) const { node.m_ledger.ask(at.now, command); }
    void operator()(const routing::RecordLedgerEnd &command) const { node.m_ledger.end(command); }

    void operator()(const routing::ForwardToPeer &command) const
    {
        const auto it = node.m_entries.find(command.peer);
        node.m_ports->forwardToPeer(command,
                                    it == node.m_entries.end() ? std::string_view() : it->second);
    }

    void operator()(const routing::SendCreditReport &command) const
    {
        wire::Envelope envelope;
        peers::encodeReport(command.report, envelope.mutable_credit_report());
        node.sendToLeader(at, &envelope);
    }

    void operator()(const routing::BroadcastLeaving &command) const
    {
        for (const auto &[process, address] : node.m_entries) {
            wire::Envelope envelope;
            envelope.mutable_leaving_notice()->set_endpoint(command.notice.endpoint.value);
            envelope.mutable_leaving_notice()->set_incarnation(command.notice.incarnation.value);
            node.m_link->send(process, &envelope, at.wallMicroseconds);
        }
    }

    void operator()(const routing::RecordEvent &command) const
    {
        node.m_timeline->record(at.wallMicroseconds, command.kind, command.subject, command.detail);
    }
};

EntryNode::EntryNode(EntryNodeSettings settings, peers::PeerLink *link, EntryPorts *ports,
                     Timeline *timeline, CounterRegistry *counters)
    : m_settings(std::move(settings))
    , m_link(link)
    , m_ports(ports)
    , m_timeline(timeline)
    , m_counters(counters)
    , m_scheduler(routing::EntryOptions { .process = link->identity().process,
                                          .incarnation = link->identity().incarnation,
                                          .zone = m_settings.zone,
                                          .credit = m_settings.credit,
                                          .seed = m_settings.seed })
    , m_config(m_settings.config)
    , m_leader(m_settings.controlMembers, m_settings.leader)
    , m_calls(m_settings.calls, link->identity().incarnation.value)
    , m_ledger(m_settings.ledger)
    , m_accepted(&counters->counter("entry_requests_accepted_total"))
    , m_refusedNotReady(&counters->counter("entry_requests_refused_not_ready_total"))
    , m_configVersion(&counters->counter("entry_config_version", MetricKind::Gauge))
{ }

bool EntryNode::ready(Timestamp now) const
{
    return !m_draining && m_config.ready(now);
}

Duration EntryNode::allowedTime(const ServiceName &service, Duration named) const
{
    const routing::ServiceTable &services = m_scheduler.state().services;
    const routing::TableIndex index = services.find(service);
    const routing::ServiceSettings settings =
            index == routing::noIndex ? routing::ServiceSettings {} : services[index].settings;
    if (named == Duration::zero())
        return settings.defaultTimeout;
    return std::min(named, settings.maxTimeout);
}

void EntryNode::requestArrived(Moment at, const routing::RequestInfo &info)
{
    if (!ready(at.now)) {
        m_refusedNotReady->add();
        m_ports->answerNotRun({ .request = info.request,
                                .kind = FailureKind::NotReady,
                                .reason = m_draining ? routing::RefusalReason::Draining
                                                     : routing::RefusalReason::NoCredit,
                                .retryAfter = notReadyRetryAfter });
        return;
    }
    m_accepted->add();
    Commands commands;
    m_scheduler.requestArrived(at.now, info, &commands);
    run(at, &commands);
}

void EntryNode::callerGone(Moment at, RequestId request)
{
    Commands commands;
    m_scheduler.callerGone(at.now, request, &commands);
    run(at, &commands);
}

void EntryNode::apiCall(Moment at, peers::ApiCall call, const peers::CallTable::Handler &handler)
{
    // While an election goes on there is no use in waiting: the caller is told when to come back.
    const bool isLost =
            !m_leader.confirmed() && at.now - m_leaderKnownAt >= m_settings.calls.unsentTimeout;
    if (m_calls.needsLeader() && isLost) {
        handler(peers::failureAnswer(FailureKind::NotReady, "no control leader is known"));
        return;
    }
    // The leader carries the call out; the answer comes back by its number.
    if (m_calls.begin(at.now, std::move(call), handler) == 0) {
        handler(peers::failureAnswer(FailureKind::Overloaded, "too many calls wait for control"));
        return;
    }
    sendCalls(at);
}

void EntryNode::endpointAnnounced(Moment at, const routing::EndpointAnnouncement &announcement)
{
    peers::encodeAnnouncement(announcement, m_announcements.add_announcements());
    Commands commands;
    m_scheduler.endpointAnnounced(at.now, announcement, &commands);
    run(at, &commands);
}

void EntryNode::attemptHeaders(Moment at, AttemptId attempt, bool endpointError)
{
    Commands commands;
    m_scheduler.attemptHeaders(at.now, attempt, endpointError, &commands);
    run(at, &commands);
}

void EntryNode::attemptEnded(Moment at, AttemptId attempt, const routing::AttemptEnd &end)
{
    Commands commands;
    m_scheduler.attemptEnded(at.now, attempt, end, &commands);
    run(at, &commands);
}

void EntryNode::forwardEnded(Moment at, RequestId request, routing::ForwardOutcome outcome)
{
    Commands commands;
    m_scheduler.forwardEnded(at.now, request, outcome, &commands);
    run(at, &commands);
}

void EntryNode::probeEnded(Moment at, const EndpointName &endpoint, bool reached)
{
    Commands commands;
    m_scheduler.probeEnded(at.now, endpoint, reached, &commands);
    run(at, &commands);
}

void EntryNode::connectionClosed(Moment at, const EndpointName &endpoint)
{
    Commands commands;
    m_scheduler.connectionClosed(at.now, endpoint, &commands);
    run(at, &commands);
}

void EntryNode::peerMessage(Moment at, const wire::Envelope &envelope)
{
    using Body = wire::Envelope::BodyCase;
    using Method = void (EntryNode::*)(Moment, const wire::Envelope &);
    /// Messages that an entry takes, and what takes them.
    static constexpr std::array<std::pair<Body, Method>, 7> handlers { {
            { Body::kHeartbeatReply, &EntryNode::onHeartbeatReply },
            { Body::kNotLeader, &EntryNode::onNotLeader },
            { Body::kApiReply, &EntryNode::onApiReply },
            { Body::kCreditGrant, &EntryNode::onCreditGrant },
            { Body::kLeavingNotice, &EntryNode::onLeavingNotice },
            { Body::kLedgerVerdict, &EntryNode::onLedgerVerdict },
            { Body::kLedgerEndsAck, &EntryNode::onLedgerEndsAck },
    } };
    for (const auto &[body, method] : handlers) {
        if (envelope.body_case() == body)
            (this->*method)(at, envelope);
    }
}

void EntryNode::tick(Moment at)
{
    m_leader.tick(at.now);
    if (m_leader.confirmed())
        m_leaderKnownAt = at.now;
    if (m_leader.confirmed() != m_isLeaderShown) {
        m_isLeaderShown = m_leader.confirmed();
        if (m_isLeaderShown)
            spdlog::info("event=leader-found leader={} term={}", m_leader.target().value, m_term);
        else
            spdlog::info("event=leader-lost term={} calls={}", m_term, m_calls.size());
    }
    if (m_controlKnown && !m_leader.confirmed()) {
        m_controlKnown = false;
        Commands commands;
        m_scheduler.controlLeaderLost(at.now, &commands);
        run(at, &commands);
    }
    if (at.now >= m_heartbeatAt)
        sendHeartbeat(at);

    // What waits for the ledger: send what is due, give up on what is late.
    std::vector<wire::Envelope> messages;
    m_ledger.collectDue(at.now, &messages);
    for (wire::Envelope &it : messages)
        sendToLeader(at, &it);
    Commands commands;
    for (const RequestId it : m_ledger.takeExpired(at.now))
        m_scheduler.ledgerVerdict(at.now, it, routing::LedgerVerdict::Unavailable, &commands);

    sendCalls(at);
    sendAnnouncements(at);
    m_calls.expire(at.now);
    m_scheduler.tick(at.now, &commands);
    run(at, &commands);
}

void EntryNode::drain(Moment at)
{
    m_draining = true;
    m_timeline->record(at.wallMicroseconds, EventKind::ProcessDraining, "");
    Commands commands;
    m_scheduler.drain(at.now, &commands);
    run(at, &commands);
    sendHeartbeat(at);
}

void EntryNode::setControlMembers(std::span<const ProcessId> members)
{
    m_leader.setMembers(members);
}

bool EntryNode::drained() const
{
    return m_draining && m_scheduler.requestsInProgress() == 0 && m_ledger.empty();
}

void EntryNode::run(Moment at, Commands *commands)
{
    const EntryCommandRunner runner { .node = *this, .at = at };
    for (const routing::EntryCommand &it : *commands)
        std::visit(runner, it);
}

void EntryNode::sendToLeader(Moment at, wire::Envelope *envelope)
{
    if (const ProcessId target = m_leader.target())
        m_link->send(target, envelope, at.wallMicroseconds);
}

void EntryNode::sendHeartbeat(Moment at)
{
    m_heartbeatAt = at.now + m_settings.heartbeatInterval;
    wire::Envelope envelope;
    wire::EntryHeartbeat *message = envelope.mutable_entry_heartbeat();
    message->set_sequence(m_config.beginHeartbeat(at.now));
    message->set_zone(m_settings.zone.value);
    message->set_callers_address(m_settings.callersAddress);
    message->set_config_version(m_config.version().value);
    message->set_draining(m_draining);
    message->set_operators_address(m_settings.operatorsAddress);
    message->set_entries_revision(m_entriesRevision);
    sendToLeader(at, &envelope);
}

void EntryNode::sendCalls(Moment at)
{
    // A call that has not been sent can be refused for sure.
    if (m_calls.needsLeader() && !m_leader.confirmed())
        return;
    for (const auto &[number, call] : m_calls.due(at.now)) {
        wire::Envelope envelope;
        wire::ApiRequest *message = envelope.mutable_api_request();
        message->set_call(number);
        message->set_method(call->method);
        message->set_path(call->path);
        message->set_token(call->token);
        message->set_body(call->body);
        sendToLeader(at, &envelope);
    }
}

void EntryNode::sendAnnouncements(Moment at)
{
    if (m_announcements.announcements().empty())
        return;
    wire::Envelope envelope;
    envelope.mutable_endpoint_announcements()->Swap(&m_announcements);
    sendToLeader(at, &envelope);
}

void EntryNode::followLeader(Moment at, std::uint64_t term)
{
    if (m_controlKnown && term <= m_term)
        return;
    m_controlKnown = true;
    m_term = std::max(m_term, term);
    Commands commands;
    m_scheduler.controlLeaderFound(at.now, m_term, &commands);
    run(at, &commands);
}

void EntryNode::onHeartbeatReply(Moment at, const wire::Envelope &envelope)
{
    const wire::HeartbeatReply &reply = envelope.heartbeat_reply();

    // A deposed leader's late reply must not draw this entry back to it.
    if (reply.term() < m_term)
        return;
    m_leader.heardLeader(at.now, ProcessId { envelope.sender() });

    if (reply.entries_revision() != m_entriesRevision) {
        m_entriesRevision = reply.entries_revision();
        m_entries.clear();
        for (const wire::EntryPeer &it : reply.entries())
            m_entries[ProcessId { it.process() }] = it.callers_address();
    }

    const bool newer = m_config.reply(reply.sequence(), ConfigVersion { reply.config_version() },
                                      reply.config_document());
    if (newer) {
        m_configVersion->set(static_cast<std::int64_t>(reply.config_version()));
        m_timeline->record(at.wallMicroseconds, EventKind::ConfigInForce,
                           std::to_string(reply.config_version()));
        leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(services, peers::decodeServices(m_config.document()));
                    Commands commands;
                    m_scheduler.configApplied(at.now, services, &commands);
                    run(at, &commands);
                    return {};
                },
                [&] { m_counters->counter("entry_config_malformed_total").add(); });
        // Confirm at once: the operator waits for the version to be in force everywhere.
        sendHeartbeat(at);
    }
    followLeader(at, reply.term());
}

void EntryNode::onNotLeader(Moment at, const wire::Envelope &envelope)
{
    const ProcessId before = m_leader.target();
    m_leader.heardNotLeader(at.now, ProcessId { envelope.sender() },
                            ProcessId { envelope.not_leader().leader() });
    // Ask the new target at once; a hint saves a heartbeat's wait.
    if (m_leader.target() != before && envelope.not_leader().leader() != 0)
        m_heartbeatAt = at.now;
}

void EntryNode::onApiReply(Moment at, const wire::Envelope &envelope)
{
    const wire::ApiReply &reply = envelope.api_reply();

    // Without a leader nothing was done: the call goes out again until it times out.
    if (reply.no_leader())
        return;
    m_leader.heardTarget(at.now, ProcessId { envelope.sender() });
    m_calls.end(reply.call(),
                { .status = static_cast<int>(reply.status()),
                  .body = reply.body(),
                  .isRepeated = reply.forwarded_again() });
}

void EntryNode::onCreditGrant(Moment at, const wire::Envelope &envelope)
{
    const routing::CreditGrant grant =
            peers::decodeGrant(envelope.credit_grant(), m_link->identity().process);
    Commands commands;
    m_scheduler.grantReceived(at.now, grant, &commands);
    run(at, &commands);
}

void EntryNode::onLeavingNotice(Moment at, const wire::Envelope &envelope)
{
    const routing::LeavingNotice notice {
        .endpoint = { envelope.leaving_notice().endpoint() },
        .incarnation = { envelope.leaving_notice().incarnation() },
    };
    Commands commands;
    m_scheduler.endpointLeaving(at.now, notice, &commands);
    run(at, &commands);
}

void EntryNode::onLedgerVerdict(Moment at, const wire::Envelope &envelope)
{
    using routing::LedgerVerdict;
    /// By wire::LedgerAnswer.
    static constexpr std::array verdicts {
        LedgerVerdict::Unavailable,   LedgerVerdict::Recorded,     LedgerVerdict::Running,
        LedgerVerdict::EndedAnswered, LedgerVerdict::EndedUnknown, LedgerVerdict::BodyDiffers
    };
    const wire::LedgerVerdict &message = envelope.ledger_verdict();
    const RequestId request { message.request() };

    // A repeated verdict must not send the request a second time.
    if (!m_ledger.answered(request))
        return;
    const auto index = static_cast<std::size_t>(message.answer());
    const LedgerVerdict verdict =
            index < verdicts.size() ? verdicts[index] : LedgerVerdict::Unavailable;
    Commands commands;
    m_scheduler.ledgerVerdict(at.now, request, verdict, &commands);
    run(at, &commands);
}

void EntryNode::onLedgerEndsAck(Moment at, const wire::Envelope &envelope)
{
    (void)at;
    m_ledger.acknowledged(envelope.ledger_ends_ack().sequence());
}

} // namespace acaciafork::entry
