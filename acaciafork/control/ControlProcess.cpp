#include "acaciafork/control/ControlProcess.h"

#include <spdlog/spdlog.h>

#include "acaciafork/control/PlatformRecords.h"

namespace acaciafork::control {
namespace {

/// Pause between two looks for a change of the membership, for the log.
constexpr Duration membershipLookInterval = std::chrono::milliseconds(100);
/// Pause before a displaced member that could not mark its folder tries again.
constexpr Duration rejoinRetry = std::chrono::seconds(1);
/// How much older than the leader knows a worker's report may be: it may come through another
/// member.
constexpr Duration maxReportDelay = std::chrono::milliseconds(200);
constexpr Duration tickInterval = std::chrono::milliseconds(10);
/// A tick that comes so late is told in the log, at most once in an interval.
constexpr Duration notableLag = std::chrono::milliseconds(100);
constexpr Duration lagLogInterval = std::chrono::seconds(1);
constexpr std::string_view workersPath = "/acaciafork/v1/workers/";
constexpr std::string_view usageSuffix = "/usage";
/// Longest wait for a leadership transfer before a draining member ends all the same.
constexpr Duration drainTimeout = std::chrono::seconds(2);

/// Answer of a process's own time line and counters, which need no leader.
bool isLocalRead(const peers::ApiCall &call)
{
    const std::string_view path = std::string_view(call.path).substr(0, call.path.find('?'));
    return call.operatorsPort && call.method == "GET"
            && (path == "/acaciafork/v1/timeline" || path == "/acaciafork/v1/counters");
}

/// Collects the answers to the commands of one worker call.
struct CallProgress
{
    std::size_t left = 0;
    batch::CallAnswer worst = batch::CallAnswer::Ok;
};

} // namespace

ControlProcess::ControlProcess(net::Loop *loop, const ControlSettings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_incarnation { static_cast<std::uint64_t>(net::Loop::wallMicroseconds()) }
    , m_messages(*loop, {})
    , m_workers(*loop, {})
    , m_orderRelay(
              {},
              [this](ProcessId leader, wire::Envelope *answers) {
                  m_link->send(leader, answers, net::Loop::wallMicroseconds());
              },
              &m_counters)
    , m_relays({}, m_incarnation.value)
    , m_committed(&m_counters.counter("control_commit_index", MetricKind::Gauge))
    , m_lag(&m_counters.histogram("control_loop_lag_seconds"))
{ }

ControlProcess::~ControlProcess() = default;

Result<void> ControlProcess::start()
{
    if (!m_settings.tokenFile.empty()) {
        BOOST_LEAF_ASSIGN(m_token, readFile(m_settings.tokenFile));
    }
    BOOST_LEAF_CHECK(listenPeers());
    BOOST_LEAF_CHECK(listenOperators());
    BOOST_LEAF_AUTO(seeds, peers::seedPeers(m_settings));
    BOOST_LEAF_CHECK(openMember(std::move(seeds)));
    BOOST_LEAF_CHECK(connectPeers());

    // Writes are synced beside the loop. The turn that a sync wakes takes its outcome at its end.
    m_loop->watchReadable(m_writer.descriptor(), [] {});
    m_loop->every(tickInterval, [this] { tick(); });
    m_loop->onTurnEnd([this] { endTurn(); });
    m_timeline->record(net::Loop::wallMicroseconds(), EventKind::ProcessStarted, "control");
    spdlog::info("event=started role=control id={} operators={} peers={}", m_self.value,
                 m_operatorsAddress, m_peersAddress);
    return {};
}

Result<void> ControlProcess::openMember(std::vector<std::string> seeds)
{
    BOOST_LEAF_CHECK(openFolder());
    m_timeline =
            std::make_unique<Timeline>(m_self, static_cast<std::size_t>(m_settings.timelineEvents));
    m_link = std::make_unique<peers::PeerLink>(
            peers::PeerIdentity { .process = self(),
                                  .incarnation = m_incarnation,
                                  .cluster = m_settings.cluster,
                                  .cell = { static_cast<std::uint32_t>(m_settings.cell) },
                                  .address = m_peersAddress },
            m_timeline.get(), &m_counters,
            [this](ProcessId to, std::span<const std::byte> bytes) { m_messages.send(to, bytes); },
            [this](const wire::Envelope &envelope) { onMessage(envelope); });

    ControlNodeSettings nodeSettings { .cell = { static_cast<std::uint32_t>(m_settings.cell) },
                                       .entries = { .lease = m_settings.configLease } };
    nodeSettings.batch.lease.leaseLength = m_settings.taskLease;
    nodeSettings.batch.lease.workerSilentAfter = m_settings.workerSilence;
    nodeSettings.jobs.lease = m_settings.jobLease;
    nodeSettings.jobs.stopTimeout = m_settings.stopTimeout;
    nodeSettings.jobs.placer.maxReportAge = m_settings.workerContact + m_settings.workerReports
            - nodeSettings.jobs.startTimeout - maxReportDelay;
    nodeSettings.jobs.maxTimeOverTarget = m_settings.tailHarm / 2;
    nodeSettings.jobs.promptTakeOver = m_settings.promptTakeOver;
    nodeSettings.jobs.cautiousBackfill = m_settings.cautiousBackfill;
    nodeSettings.jobs.lookAhead = m_settings.lookAhead;
    nodeSettings.jobs.learnDurations = m_settings.learnDurations;
    nodeSettings.jobs.memory.budget = m_settings.jobMemoryBytes();
    nodeSettings.jobs.placer.prefersWarmWorkers = m_settings.evacuation;
    nodeSettings.takesAnyEntry = !m_settings.seeds.empty();
    for (const peers::PeerAddress &it : m_settings.entries)
        nodeSettings.knownEntries.push_back(it.process);
    m_node = std::make_unique<ControlNode>(std::move(nodeSettings), m_link.get(),
                                           static_cast<ControlPorts *>(this), m_timeline.get(),
                                           &m_counters);
    m_views = std::make_unique<ControlViews>(m_settings.cluster, self(), m_node.get(),
                                             m_timeline.get(), &m_counters);
    m_router = std::make_unique<OrderRouter>(
            jobs::RelaySettings { .fromWorkers =
                                          static_cast<std::size_t>(m_settings.relayFromWorkers) },
            self(), m_settings.zone,
            [this](ProcessId relay, wire::Envelope *orders) {
                m_link->send(relay, orders, net::Loop::wallMicroseconds());
            },
            net::Loop::bootMicroseconds, &m_counters);
    m_router->setLocal(m_orders);
    m_router->setDriver(&m_node->jobs());
    m_node->jobs().setOrders(m_orders == nullptr ? nullptr : m_router.get());
    m_node->jobs().setAdvisor(m_advisor);
    m_views->setZones(m_settings.zoneNames);
    m_node->jobs().setZoneNames(m_settings.zoneNames);
    m_views->setZones(m_settings.zoneNames);
    m_views->setStatus([this] { return m_replica->status(net::Loop::now()); });
    m_api = std::make_unique<operators::OperatorApi>(
            operators::tokenDigest(operators::trimmedToken(m_token)), m_node->state(), *m_views);

    BOOST_LEAF_CHECK(openReplica());
    m_finder = std::make_unique<peers::MemberFinder>(
            peers::DirectoryIdentity { .self = self(),
                                       .address = m_peersAddress,
                                       .controlAddress = m_controlAddress.empty()
                                               ? m_operatorsAddress
                                               : m_controlAddress,
                                       .zone = m_settings.zone },
            std::move(seeds), &m_messages, m_link.get());
    m_views->setMemberAddress(self(), { .peers = m_peersAddress, .operators = m_operatorsAddress });
    return {};
}

void ControlProcess::closeMember()
{
    for (const auto &[process, member] : m_finder->directory().members())
        m_messages.removePeer(process);
    m_heardAt.clear();
    m_reports.Clear();
    m_finder.reset();
    m_replica.reset();
    m_api.reset();
    m_router.reset();
    m_views.reset();
    m_node.reset();
    m_link.reset();
    m_timeline.reset();
}

Result<void> ControlProcess::listenPeers()
{
    BOOST_LEAF_AUTO(address, net::parseAddress(m_settings.listenPeers));
    BOOST_LEAF_ASSIGN(address.port, m_messages.listen(address));
    m_peersAddress = address.toString();
    m_messages.onMessage([this](std::span<const std::byte> bytes) {
        m_link->receive(bytes, net::Loop::wallMicroseconds());
    });
    return {};
}

Result<void> ControlProcess::openFolder()
{
    BOOST_LEAF_ASSIGN(m_folder, consensus::PosixFolder::open(m_settings.dataFolder));
    m_self = { static_cast<std::uint32_t>(m_settings.id) };
    if (m_self)
        return {};
    BOOST_LEAF_CHECK(consensus::finishDiscard(m_folder.get()));
    BOOST_LEAF_AUTO(wasDiscarded, consensus::wasDiscarded(m_folder.get()));
    m_mayFound = m_settings.mayFound && !wasDiscarded;

    // A member keeps the number that its folder was formatted with.
    BOOST_LEAF_AUTO(member, consensus::LogFolder::readMember(m_folder.get()));
    m_self = member.value_or(peers::drawProcessId());
    return {};
}

Result<void> ControlProcess::openReplica()
{
    consensus::ReplicaSettings settings { .cluster = m_settings.cluster,
                                          .identity = { .self = self(),
                                                        .zone = { m_settings.zone } },
                                          .node = m_settings.agreement,
                                          .replacement = m_settings.replacement,
                                          .seed = m_incarnation.value,
                                          .counters = &m_counters,
                                          .clock = net::Loop::now,
                                          .writer = &m_writer };
    for (const peers::PeerAddress &it : m_settings.members)
        settings.identity.initialMembers.push_back(
                { .id = it.process, .zone = it.zone, .voter = true });

    // One process alone may found a cluster whose members find each other; the others join it.
    BOOST_LEAF_AUTO(seeds, peers::seedPeers(m_settings));
    if (m_mayFound && !seeds.empty() && seeds.front() == m_peersAddress)
        settings.identity.initialMembers.push_back(
                { .id = self(), .zone = { m_settings.zone }, .voter = true });
    BOOST_LEAF_ASSIGN(
            m_replica,
            consensus::Replica::open(net::Loop::now(), std::move(settings), m_folder.get(), this));
    return {};
}

Result<void> ControlProcess::reload(const ControlSettings &settings)
{
    return m_finder->reload(settings);
}

Result<void> ControlProcess::connectPeers()
{
    for (const auto *list : { &m_settings.entries, &m_settings.members }) {
        for (const peers::PeerAddress &it : *list) {
            if (it.process == self())
                continue;
            BOOST_LEAF_AUTO(address, net::parseAddress(it.address));
            BOOST_LEAF_CHECK(m_messages.addPeer(it.process, address));
        }
    }
    for (const peers::PeerAddress &it : m_settings.members)
        m_views->setMemberAddress(it.process, { .peers = it.address });
    return {};
}

Result<void> ControlProcess::listenOperators()
{
    m_operators = std::make_unique<net::HttpServer>(
            *m_loop,
            net::HttpServerSettings { .mostBodyBytes =
                                              static_cast<std::int64_t>(operators::largestBody) },
            [this](const std::shared_ptr<net::HttpExchange> &exchange) {
                const peers::ApiCall call {
                    .method = std::string(exchange->method()),
                    .path = std::string(exchange->target()),
                    .token = std::string(operators::bearerToken(exchange->header("authorization"))),
                    .body = std::string(exchange->body()),
                    .operatorsPort = true,
                };
                callApi(call, [exchange](const peers::ApiAnswer &answer) {
                    exchange->answerJson(answer.status, answer.body);
                });
            });
    BOOST_LEAF_AUTO(address, net::parseAddress(m_settings.listenOperators));
    BOOST_LEAF_ASSIGN(address.port, m_operators->listen(address));
    m_operatorsAddress = address.toString();
    return {};
}

void ControlProcess::drain()
{
    if (m_draining)
        return;
    m_draining = true;
    spdlog::info("event=draining role=control leader={}", m_replica->isLeader());
    m_timeline->record(net::Loop::wallMicroseconds(), EventKind::ProcessDraining, "control");
    m_loop->after(drainTimeout, [this] { m_loop->stop(); });

    // A leader names a voter that is up to date; a follower can go at once.
    ProcessId next;
    for (const consensus::MemberStatus &it : m_replica->status(net::Loop::now()).node.members) {
        if (it.member.voter && it.live && it.member.id != self())
            next = it.member.id;
    }
    if (!m_replica->isLeader() || !next) {
        m_loop->post([this] { m_loop->stop(); });
        return;
    }
    leaf::try_handle_all(
            [&]() -> Result<void> { return m_replica->transferLeadership(net::Loop::now(), next); },
            [] {});
}

void ControlProcess::noteLag(Timestamp now)
{
    const Timestamp before = std::exchange(m_tickedAt, now);
    if (before == Timestamp {})
        return;
    const Duration late = std::max(now - before - tickInterval, Duration {});
    m_lag->observe(late);
    m_load.addLag(late);
    if (late < notableLag || now < m_nextLagLog)
        return;
    m_nextLagLog = now + lagLogInterval;
    spdlog::warn("event=loop-late late-ms={} leader={}", late / std::chrono::milliseconds(1),
                 m_replica->isLeader());
}

void ControlProcess::tick()
{
    if (m_isBroken)
        return;
    const Moment at = moment();
    noteLag(at.now);
    m_load.logIfDue(at.now, m_replica->isLeader(), m_replica->syncs(), m_replica->syncTime(),
                    m_link.get());
    findMembers();
    flushLog();
    m_replica->tick(at.now);
    m_node->tick(at);
    m_committed->set(static_cast<std::int64_t>(m_node->state().appliedIndex()));
    sendRelays();
    m_relays.expire(at.now);
    sendReports();
    updateRelays();
    endIfBroken();
    if (at.now >= m_nextMembershipLook) {
        m_nextMembershipLook = at.now + membershipLookInterval;
        showMembership();
        rejoinIfDisplaced(at.now);
    }
    if (m_draining && !m_replica->isLeader())
        m_loop->stop();
}

void ControlProcess::findMembers()
{
    if (!m_finder->tick(moment()))
        return;
    std::vector<ProcessId> members;
    for (const auto &[process, member] : m_finder->directory().members()) {
        members.push_back(process);
        m_views->setMemberAddress(process, { .peers = member.address });
    }
    m_replica->addContacts(members);
}

bool ControlProcess::leadsJobs() const
{
    return m_node->leading() && m_node->jobs().isActive() && canActAsLeader(net::Loop::now());
}

std::string ControlProcess::leaderControlAddress() const
{
    const ProcessId leader = m_replica->leader();
    const auto &members = m_finder->directory().members();
    const auto it = members.find(leader);
    return it == members.end() ? std::string() : it->second.controlAddress;
}

void ControlProcess::showMembership()
{
    const consensus::Node &node = m_replica->node();
    const consensus::Membership &membership = node.membership();
    if (const consensus::Standing standing = node.standing(); standing != m_shownStanding) {
        spdlog::info("event=standing standing={} was={} committed={} last={}",
                     consensus::standingName(standing), consensus::standingName(m_shownStanding),
                     node.commitIndex(), node.lastIndex());
        m_shownStanding = standing;
    }
    if (membership == m_shownMembership)
        return;
    m_shownMembership = membership;
    std::string members;
    for (const consensus::Member &it : membership.members) {
        members += fmt::format("{}{}{}{}", members.empty() ? "" : ",", it.id.value,
                               it.voter ? "" : ":learner",
                               it.replaces ? fmt::format(":replaces-{}", it.replaces.value) : "");
    }
    spdlog::info("event=membership members={} retired={} term={}", members,
                 membership.retired.size(), node.term());
}

void ControlProcess::rejoinIfDisplaced(Timestamp now)
{
    // An id of the settings was retired for good, so only an operator can give a new one.
    const bool isDue = now >= m_nextRejoin && m_settings.id == 0
            && m_replica->node().standing() == consensus::Standing::Displaced;
    if (!isDue || m_isBroken || m_draining || m_replica->isLeader() || m_replica->isWriting())
        return;
    const ProcessId was = m_self;
    spdlog::warn("event=displaced member={}; rejoining with an empty folder", was.value);
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_CHECK(consensus::beginDiscard(m_folder.get()));
                rejoin();
                return {};
            },
            [&](const Failure &failure) {
                spdlog::error("event=rejoin-failed detail=\"{}\"", failure.detail);
                m_nextRejoin = now + rejoinRetry;
            },
            [&] {
                spdlog::error("event=rejoin-failed");
                m_nextRejoin = now + rejoinRetry;
            });
}

void ControlProcess::rejoin()
{
    const ProcessId was = m_self;
    std::vector<std::string> seeds = m_finder->directory().seeds();
    closeMember();
    const auto end = [this](std::string_view detail) {
        spdlog::error("event=rejoin-failed detail=\"{}\"", detail);
        m_isBroken = true;
        m_loop->stop();
    };
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_CHECK(openMember(std::move(seeds)));
                spdlog::info("event=rejoined member={} was={}", m_self.value, was.value);
                return {};
            },
            [&](const Failure &failure) { end(failure.detail); },
            [&] { end("unexpected failure"); });
}

void ControlProcess::endIfBroken()
{
    // After a write that failed for good only a restart tells what is on the disk.
    if (m_isBroken || !m_replica->status(net::Loop::now()).broken)
        return;
    m_isBroken = true;
    spdlog::error("event=storage-broken folder={}", m_settings.dataFolder);
    m_loop->stop();
}

Moment ControlProcess::moment() const
{
    return { .now = net::Loop::now(), .wallMicroseconds = net::Loop::wallMicroseconds() };
}

// ---- messages

void ControlProcess::learnAddress(const wire::Envelope &envelope)
{
    if (envelope.sender_address().empty())
        return;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(address, net::parseAddress(envelope.sender_address()));
                return m_messages.addPeer({ envelope.sender() }, address);
            },
            [&] { m_counters.counter("peer_addresses_malformed_total").add(); });
    if (envelope.body_case() == wire::Envelope::kAgreement)
        m_views->setMemberAddress({ envelope.sender() },
                                  { .peers = envelope.sender_address(),
                                    .operators = envelope.agreement().operators_address() });
}

void ControlProcess::onMessage(const wire::Envelope &envelope)
{
    learnAddress(envelope);
    const Moment at = moment();
    m_finder->heard(at, envelope);
    m_replica->noteAlive({ envelope.sender() });
    if (m_finder->directory().members().contains({ envelope.sender() }))
        m_heardAt[{ envelope.sender() }] = at.now;
    switch (envelope.body_case()) {
    case wire::Envelope::kAgreement:
        leaf::try_handle_all(
                [&]() -> Result<void> {
                    return m_replica->receive(at.now, envelope.agreement().payload());
                },
                [&] { m_counters.counter("control_agreement_malformed_total").add(); });
        break;
    case wire::Envelope::kApiRequest:
        onApiRequest(envelope);
        break;
    case wire::Envelope::kApiReply:
        if (!envelope.api_reply().no_leader())
            m_relays.end(envelope.api_reply().call(),
                         { .status = static_cast<int>(envelope.api_reply().status()),
                           .body = envelope.api_reply().body(),
                           .isRepeated = envelope.api_reply().forwarded_again() });
        break;
    case wire::Envelope::kWorkerReports:
        onWorkerReports(envelope);
        break;
    case wire::Envelope::kWorkerOrders:
        m_orderRelay.ordersArrived({ envelope.sender() }, envelope.worker_orders(),
                                   net::Loop::bootMicroseconds());
        break;
    case wire::Envelope::kWorkerAnswers:
        m_router->answersArrived(at, { envelope.sender() }, envelope.worker_answers());
        break;
    default:
        m_node->peerMessage(at, envelope);
        break;
    }
}

void ControlProcess::onApiRequest(const wire::Envelope &envelope)
{
    const wire::ApiRequest &request = envelope.api_request();
    const ProcessId sender { envelope.sender() };
    const std::uint64_t number = request.call();

    // Only one step of relaying: whoever thinks that this member leads asks again.
    if (!m_node->leading() && request.relayed()) {
        wire::Envelope reply;
        reply.mutable_api_reply()->set_call(number);
        reply.mutable_api_reply()->set_no_leader(true);
        m_link->send(sender, &reply, net::Loop::wallMicroseconds());
        return;
    }
    callApi({ .method = request.method(),
              .path = request.path(),
              .token = request.token(),
              .body = request.body(),
              .operatorsPort = request.operators_port(),
              .relayed = request.relayed() },
            [this, sender, number](const peers::ApiAnswer &answer) {
                wire::Envelope reply;
                reply.mutable_api_reply()->set_call(number);
                reply.mutable_api_reply()->set_status(static_cast<std::uint32_t>(answer.status));
                reply.mutable_api_reply()->set_body(answer.body);
                reply.mutable_api_reply()->set_forwarded_again(answer.isRepeated);
                m_link->send(sender, &reply, net::Loop::wallMicroseconds());
            });
}

// ---- calls of the JSON interface

void ControlProcess::callApi(const peers::ApiCall &call, const Reply &reply)
{
    if (isLocalRead(call) || (m_node->leading() && canActAsLeader(net::Loop::now()))) {
        callApiAsLeader(call, reply);
        return;
    }
    if (call.relayed) {
        reply(peers::failureAnswer(FailureKind::NotReady, "this member does not lead"));
        return;
    }
    peers::ApiCall relayed = call;
    relayed.relayed = true;
    if (m_relays.begin(net::Loop::now(), std::move(relayed), reply) == 0)
        reply(peers::failureAnswer(FailureKind::Overloaded, "too many calls wait for the leader"));
    sendRelays();
}

void ControlProcess::carryOutRelays()
{
    // This member was elected while calls waited for the leader before it. Answers may come at
    // once and end a call, so the calls are copied first.
    std::vector<std::pair<std::uint64_t, peers::ApiCall>> calls;
    for (const auto &[number, call] : m_relays.due(net::Loop::now()))
        calls.emplace_back(number, *call);
    for (const auto &[number, call] : calls) {
        callApiAsLeader(call, [this, number = number](const peers::ApiAnswer &answer) {
            m_relays.end(number, answer);
        });
    }
}

void ControlProcess::sendRelays()
{
    if (m_node->leading() && canActAsLeader(net::Loop::now())) {
        carryOutRelays();
        return;
    }
    const ProcessId target = leader();
    if (!target || target == self())
        return;
    for (const auto &[number, call] : m_relays.due(net::Loop::now())) {
        wire::Envelope envelope;
        wire::ApiRequest *request = envelope.mutable_api_request();
        request->set_call(number);
        request->set_method(call->method);
        request->set_path(call->path);
        request->set_token(call->token);
        request->set_body(call->body);
        request->set_operators_port(call->operatorsPort);
        request->set_relayed(true);
        m_link->send(target, &envelope, net::Loop::wallMicroseconds());
    }
}

void ControlProcess::callApiAsLeader(const peers::ApiCall &call, const Reply &reply)
{
    if (takeWorkerReport(call, reply) || takeJobCall(call, reply))
        return;
    const operators::ApiOutcome outcome =
            m_api->handle({ .port = call.operatorsPort ? operators::ApiPort::Operators
                                                       : operators::ApiPort::Callers,
                            .method = call.method,
                            .path = call.path,
                            .token = call.token,
                            .body = call.body });
    if (const auto *now = std::get_if<operators::ApiReply>(&outcome))
        reply({ .status = now->status, .body = now->body });
    else if (const auto *proposal = std::get_if<operators::ApiProposal>(&outcome))
        proposeFor(proposal->command, reply);
    else
        changeMembers(std::get<operators::MemberChange>(outcome), reply);
}

bool ControlProcess::takeWorkerReport(const peers::ApiCall &call, const Reply &reply)
{
    std::string_view worker = call.path;
    if (!worker.starts_with(workersPath))
        return false;
    worker.remove_prefix(workersPath.size());
    const bool isUsage = call.method == "POST" && worker.ends_with(usageSuffix);
    if (call.method != "PUT" && !isUsage)
        return false;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                if (isUsage) {
                    worker.remove_suffix(usageSuffix.size());
                    BOOST_LEAF_AUTO(usage, workers::decodeUsageReport(worker, call.body));
                    m_node->usageReported(moment(), toBatch(usage));
                } else {
                    BOOST_LEAF_AUTO(report, workers::decodeWorkerReport(worker, call.body));
                    m_node->workerReported(moment(), toBatch(report), report.address.toString());
                }
                reply({ .status = 200, .body = "{}" });
                return {};
            },
            [&](const Failure &failure) {
                reply(peers::failureAnswer(failure.kind, failure.detail));
            },
            [&] { reply(peers::failureAnswer(FailureKind::Internal, "unexpected failure")); });
    return true;
}

bool ControlProcess::takeJobCall(const peers::ApiCall &call, const Reply &reply)
{
    if (call.path != peers::jobCallsPath || call.operatorsPort)
        return false;
    wire::JobCall jobCall;
    if (!jobCall.ParseFromString(call.body)) {
        reply(peers::failureAnswer(FailureKind::InvalidArgument, "not a call about a job"));
        return true;
    }
    m_node->jobs().call(moment(), jobCall, reply);
    return true;
}

void ControlProcess::proposeFor(wire::Command command, const Reply &reply)
{
    const bool accepted = m_node->propose(
            moment(), std::move(command), [reply](Moment, const state::ApplyResult *result) {
                // A lost leader leaves it open; the request id makes asking again safe.
                if (result == nullptr) {
                    reply(peers::failureAnswer(FailureKind::Timeout,
                                               "the leader changed; ask again with the same id"));
                    return;
                }
                const operators::ApiReply answer = operators::replyOf(*result);
                reply({ .status = answer.status, .body = answer.body });
            });
    if (!accepted)
        reply(peers::failureAnswer(FailureKind::NotReady, "the change can't be accepted now"));
}

void ControlProcess::changeMembers(const operators::MemberChange &change, const Reply &reply)
{
    const Timestamp now = net::Loop::now();
    leaf::try_handle_all(
            [&]() -> Result<void> {
                if (!change.address.empty()) {
                    BOOST_LEAF_AUTO(address, net::parseAddress(change.address));
                    BOOST_LEAF_CHECK(m_messages.addPeer(change.member, address));
                }
                switch (change.action) {
                case operators::MemberAction::Add:
                    BOOST_LEAF_CHECK(m_replica->addLearner(now, change.member));
                    break;
                case operators::MemberAction::Remove:
                    BOOST_LEAF_CHECK(m_replica->removeMember(now, change.replaced));
                    break;
                case operators::MemberAction::Replace:
                    BOOST_LEAF_CHECK(m_replica->replaceMember(now, change.replaced, change.member));
                    break;
                }
                reply({ .status = 202, .body = R"({"outcome":"accepted"})" });
                return {};
            },
            [&](const Failure &failure) {
                reply(peers::failureAnswer(failure.kind, failure.detail));
            },
            [&] { reply(peers::failureAnswer(FailureKind::Internal, "unexpected failure")); });
}

// ---- what the decisions ask for

Result<consensus::LogPosition> ControlProcess::propose(Timestamp now, std::string command)
{
    return m_replica->propose(now, std::move(command));
}

bool ControlProcess::canActAsLeader(Timestamp now) const
{
    return m_replica->isLeader() && m_replica->canReadNow(now);
}

ProcessId ControlProcess::leader() const
{
    return m_replica->leader();
}

void ControlProcess::callWorker(std::string_view address, const batch::Command &command)
{
    const batch::CallId call = callOf(command);
    const std::vector<workers::WorkerCommand> commands = toWorkerCommands(command, m_node->state());
    const auto progress = std::make_shared<CallProgress>();
    progress->left = commands.size();

    net::Address worker;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(worker, net::parseAddress(address));
                return {};
            },
            [] {});
    for (const workers::WorkerCommand &it : commands) {
        m_workers.send(worker, it, [this, call, progress](const workers::CommandReply &reply) {
            progress->worst = std::max(progress->worst, toBatch(reply.outcome));
            if (--progress->left == 0)
                m_node->workerCallAnswered(moment(), call, progress->worst);
        });
    }
}

// ---- what the agreement tells

void ControlProcess::send(ProcessId to, std::string bytes)
{
    wire::Envelope envelope;
    envelope.mutable_agreement()->set_payload(std::move(bytes));
    envelope.mutable_agreement()->set_operators_address(m_operatorsAddress);
    m_link->send(to, &envelope, net::Loop::wallMicroseconds());
}

void ControlProcess::apply(const consensus::LogPosition &position, std::string_view command)
{
    m_node->applied(moment(), position, command);
}

std::string ControlProcess::makeSnapshot()
{
    return m_node->makeSnapshot();
}

bool ControlProcess::loadSnapshot(std::string_view bytes)
{
    return m_node->loadSnapshot(bytes);
}

void ControlProcess::roleChanged(consensus::Role role, ProcessId leader)
{
    const bool isLeader = role == consensus::Role::Leader;
    spdlog::info("event=role-changed role={} leader={}", consensus::roleName(role), leader.value);
    m_node->roleChanged(moment(), isLeader, m_replica->status(net::Loop::now()).node.term);
}

void ControlProcess::readReady(consensus::ReadTicket, bool) { }

} // namespace acaciafork::control
