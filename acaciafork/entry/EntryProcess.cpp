#include "acaciafork/entry/EntryProcess.h"

#include <spdlog/spdlog.h>

#include "acaciafork/entry/RefusalNames.h"
#include "acaciafork/entry/RequestDigest.h"

namespace acaciafork::entry {
namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(10);
constexpr std::string_view timeoutHeader = "acaciafork-timeout-ms";
constexpr std::string_view endpointsPath = "/acaciafork/v1/endpoints/";
/// Bits of a request id below the process that made it.
constexpr int requestCounterBits = 48;
constexpr std::uint64_t requestCounterMask = (std::uint64_t { 1 } << requestCounterBits) - 1;

callers::CallerSettings callerSettings(const EntrySettings &settings)
{
    return { .server = { .mostHeadBytes = settings.mostHeadBytes,
                         .mostBodyBytes = settings.mostBodyBytes,
                         .mostBufferedBytes = settings.mostBufferedBytes,
                         .mostConnections = settings.mostConnections,
                         .requestTimeout = settings.requestTimeout,
                         .drainLinger = settings.drainLinger } };
}

} // namespace

EntryProcess::EntryProcess(net::Loop *loop, const EntrySettings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_incarnation { static_cast<std::uint64_t>(net::Loop::wallMicroseconds()) }
    , m_requestCounter(m_incarnation.value)
    , m_self(settings.id != 0 ? ProcessId { static_cast<std::uint32_t>(settings.id) }
                              : peers::drawProcessId())
    , m_timeline(m_self, static_cast<std::size_t>(settings.timelineEvents))
    , m_messages(*loop, {})
    , m_endpoints(*loop, {})
    , m_peerClient(*loop, {})
    , m_answered(&m_counters.counter("entry_requests_total{outcome=\"answered\"}"))
    , m_notRun(&m_counters.counter("entry_requests_total{outcome=\"not-run\"}"))
    , m_unknown(&m_counters.counter("entry_requests_total{outcome=\"unknown\"}"))
    , m_requestsInProgress(&m_counters.counter("entry_requests_in_progress", MetricKind::Gauge))
{ }

EntryProcess::~EntryProcess() = default;

Result<void> EntryProcess::start()
{
    if (!m_settings.tokenFile.empty()) {
        BOOST_LEAF_AUTO(token, readFile(m_settings.tokenFile));
        m_tokenDigest = operators::tokenDigest(operators::trimmedToken(token));
    }

    // Messages first: nothing may reach the node before it can answer.
    BOOST_LEAF_AUTO(peersAddress, net::parseAddress(m_settings.listenPeers));
    BOOST_LEAF_ASSIGN(peersAddress.port, m_messages.listen(peersAddress));
    m_link = std::make_unique<peers::PeerLink>(
            peers::PeerIdentity { .process = m_self,
                                  .incarnation = m_incarnation,
                                  .cluster = m_settings.cluster,
                                  .cell = { static_cast<std::uint32_t>(m_settings.cell) },
                                  .address = peersAddress.toString() },
            &m_timeline, &m_counters,
            [this](ProcessId to, std::span<const std::byte> bytes) { m_messages.send(to, bytes); },
            [this](const wire::Envelope &envelope) { onMessage(envelope); });
    m_messages.onMessage([this](std::span<const std::byte> bytes) {
        m_link->receive(bytes, net::Loop::wallMicroseconds());
    });

    // The callers' and the operators' interfaces.
    m_callers = std::make_unique<callers::CallerServer>(
            *m_loop, callerSettings(m_settings), static_cast<callers::CallerHandler &>(*this),
            [this] { return nextRequestId(); });
    BOOST_LEAF_AUTO(callersAddress, net::parseAddress(m_settings.listenCallers));
    BOOST_LEAF_ASSIGN(callersAddress.port, m_callers->listen(callersAddress));
    m_callersPort = callersAddress.port;
    m_operators = std::make_unique<net::HttpServer>(
            *m_loop, net::HttpServerSettings {},
            [this](const std::shared_ptr<net::HttpExchange> &exchange) {
                answerOperator(exchange);
            });
    BOOST_LEAF_AUTO(operatorsAddress, net::parseAddress(m_settings.listenOperators));
    BOOST_LEAF_ASSIGN(operatorsAddress.port, m_operators->listen(operatorsAddress));

    EntryNodeSettings nodeSettings {
        .zone = { m_settings.zone },
        .callersAddress = callersAddress.toString(),
        .operatorsAddress = operatorsAddress.toString(),
        .config = { .lease = m_settings.configLease,
                    .serveWithoutControl = m_settings.serveWithoutControl },
        .calls = { .timeout = m_settings.callTimeout, .unsentTimeout = m_settings.unsentTimeout },
        .seed = m_incarnation.value
    };
    for (const peers::PeerAddress &it : m_settings.members)
        nodeSettings.controlMembers.push_back(it.process);
    m_node = std::make_unique<EntryNode>(std::move(nodeSettings), m_link.get(),
                                         static_cast<EntryPorts *>(this), &m_timeline, &m_counters);
    BOOST_LEAF_CHECK(connectPeers());
    BOOST_LEAF_AUTO(seeds, peers::seedPeers(m_settings));
    m_finder = std::make_unique<peers::MemberFinder>(
            peers::DirectoryIdentity {
                    .self = m_self, .address = peersAddress.toString(), .zone = m_settings.zone },
            std::move(seeds), &m_messages, m_link.get());
    m_loop->every(tickInterval, [this] {
        findMembers();
        flushLog();
        m_node->tick(moment());
        finishIfDrained();
    });
    m_timeline.record(net::Loop::wallMicroseconds(), EventKind::ProcessStarted, "entry");
    spdlog::info("event=started role=entry id={} callers={} peers={} operators={}", m_self.value,
                 callersAddress.toString(), peersAddress.toString(), operatorsAddress.toString());
    return {};
}

void EntryProcess::onMessage(const wire::Envelope &envelope)
{
    const Moment at = moment();
    m_finder->heard(at, envelope);
    m_node->peerMessage(at, envelope);
}

void EntryProcess::findMembers()
{
    if (!m_finder->tick(moment()))
        return;
    std::vector<ProcessId> members;
    for (const auto &[process, member] : m_finder->directory().members())
        members.push_back(process);
    m_node->setControlMembers(members);
}

Result<void> EntryProcess::reload(const EntrySettings &settings)
{
    return m_finder->reload(settings);
}

Result<void> EntryProcess::connectPeers()
{
    for (const auto *list : { &m_settings.entries, &m_settings.members }) {
        for (const peers::PeerAddress &it : *list) {
            if (it.process == m_self)
                continue;
            BOOST_LEAF_AUTO(address, net::parseAddress(it.address));
            BOOST_LEAF_CHECK(m_messages.addPeer(it.process, address));
        }
    }
    return {};
}

void EntryProcess::drain()
{
    if (m_draining)
        return;
    m_draining = true;
    spdlog::info("event=draining requests={}", m_requests.size());
    // Requests that cross this on kept connections are served like any other; only once no
    // connection is left does the node refuse.
    m_callers->drain([this] {
        m_node->drain(moment());
        finishIfDrained();
    });
    if (m_settings.drainTimeout > Duration::zero())
        m_loop->after(m_settings.drainTimeout, [this] { m_loop->stop(); });
}

void EntryProcess::finishIfDrained()
{
    m_requestsInProgress->set(static_cast<std::int64_t>(m_requests.size()));
    if (!m_draining || !m_node->drained() || !m_requests.empty() || !m_attempts.empty())
        return;
    if (m_callers->server().inProgress() > 0)
        return;
    m_timeline.record(net::Loop::wallMicroseconds(), EventKind::ProcessStopped, "entry");
    spdlog::info("event=stopped role=entry");
    m_loop->stop();
}

Moment EntryProcess::moment() const
{
    return { .now = net::Loop::now(), .wallMicroseconds = net::Loop::wallMicroseconds() };
}

RequestId EntryProcess::nextRequestId()
{
    const std::uint64_t process = static_cast<std::uint64_t>(m_self.value) << requestCounterBits;
    return { process | (m_requestCounter++ & requestCounterMask) };
}

// ---- callers

void EntryProcess::onCallerRequest(const callers::CallerRequest &request,
                                   std::shared_ptr<callers::CallerExchange> exchange)
{
    const RequestId id = request.id;
    exchange->onGone([this, id] {
        // The scheduler first: it gives up attempts, which still look at the request.
        m_node->callerGone(moment(), id);
        const auto it = m_requests.find(id);
        if (it == m_requests.end())
            return;
        if (it->second.forward)
            it->second.forward->cancel();
        m_requests.erase(it);
    });
    m_requests.emplace(id, Request { .request = request, .exchange = std::move(exchange) });

    const bool forwarded = !net::findHeader(request.headers, forwardedHeader).empty();
    const bool namesTimeout = !net::findHeader(request.headers, timeoutHeader).empty();
    const Duration timeout = m_node->allowedTime({ std::string(request.service) },
                                                 namesTimeout ? request.timeout : Duration::zero());
    m_node->requestArrived(
            moment(),
            { .request = id,
              .service = { std::string(request.service) },
              .routeHash = routeHash(request.method, request.path),
              .requestClass = static_cast<routing::RequestClass>(request.requestClass),
              .idempotent = request.isIdempotent,
              .keyDigest = keyDigest(request.idempotencyKey),
              .bodyDigest = bodyDigest(request.method, request.path, request.body),
              .deadline = request.arrivedAt + timeout,
              .bodyBytes = request.body.size(),
              .forwarded = forwarded });
}

callers::HealthAnswer EntryProcess::health()
{
    if (m_draining)
        return { .isReady = false, .state = "draining" };
    if (m_node->ready(net::Loop::now()))
        return { .isReady = true, .state = "ready" };
    return { .isReady = false, .state = m_node->configVersion() ? "stale" : "starting" };
}

std::string EntryProcess::metrics()
{
    return m_counters.prometheusText();
}

void EntryProcess::onApi(std::shared_ptr<net::HttpExchange> exchange)
{
    const std::string_view target = exchange->target();
    if (exchange->method() == "PUT" && target.starts_with(endpointsPath))
        announce(target.substr(endpointsPath.size()), exchange.get());
    else
        relay(exchange);
}

void EntryProcess::announce(std::string_view endpoint, net::HttpExchange *exchange)
{
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(it, endpoints::decodeAnnouncement(endpoint, exchange->body()));
                m_node->endpointAnnounced(
                        moment(),
                        { .endpoint = it.endpoint,
                          .service = it.service,
                          .address = it.address.toString(),
                          .zone = it.zone,
                          .rack = it.rack,
                          .incarnation = it.incarnation,
                          .sequence = it.sequence,
                          .slots = it.slots,
                          .connections = it.connections,
                          .requestsInProgress = it.inProgress,
                          .leaving = it.state == endpoints::EndpointState::Leaving });
                exchange->answerJson(200, "{}");
                return {};
            },
            [&](const Failure &failure) { exchange->answerFailure(failure.kind, failure.detail); },
            [&] { exchange->answerFailure(FailureKind::Internal, "unexpected failure"); });
}

void EntryProcess::relay(const std::shared_ptr<net::HttpExchange> &exchange)
{
    m_node->apiCall(
            moment(),
            { .method = std::string(exchange->method()),
              .path = std::string(exchange->target()),
              .token = std::string(operators::bearerToken(exchange->header("authorization"))),
              .body = std::string(exchange->body()) },
            [exchange](const peers::ApiAnswer &answer) {
                exchange->answerJson(answer.status, answer.body);
            });
}

void EntryProcess::answerOperator(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const std::string digest =
            operators::tokenDigest(operators::bearerToken(exchange->header("authorization")));
    if (!operators::equalDigests(digest, m_tokenDigest)) {
        exchange->answerFailure(FailureKind::Unauthorized, "the operators' token is needed");
        return;
    }
    operators::ApiReply reply { .status = 404 };
    if (exchange->method() == "GET" && exchange->target() == "/acaciafork/v1/timeline")
        reply = operators::timelineReply(m_timeline);
    else if (exchange->method() == "GET" && exchange->target() == "/acaciafork/v1/counters")
        reply = operators::countersReply(m_counters);
    else
        reply = operators::errorReply(
                { FailureKind::NotFound, "an entry serves timeline and counters" });
    exchange->answerJson(reply.status, reply.body);
}

// ---- what the decisions ask for

void EntryProcess::startAttempt(const routing::StartAttempt &command)
{
    const auto it = m_requests.find(command.request);
    ACACIAFORK_ASSERT(it != m_requests.end());
    const callers::CallerRequest &request = it->second.request;
    const AttemptId id = command.attempt;

    net::Address address;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(address, net::parseAddress(command.address));
                return {};
            },
            [] {});
    auto attempt = std::make_unique<EntryAttempt>(id, &m_endpoints,
                                                  static_cast<EntryAttemptOwner *>(this));
    EntryAttempt *sink = attempt.get();
    const Duration timeLeft = std::max(command.deadline - net::Loop::now(), Duration { 1 });
    m_attempts[id] = { .attempt = std::move(attempt),
                       .request = command.request,
                       .deadline = m_loop->after(timeLeft, [this, id] { deadlineReached(id); }) };

    // The deadline is kept here: an attempt that is late goes on, so that its end is seen.
    m_endpoints.startAttempt({ .attempt = id,
                               .address = address,
                               .method = request.method,
                               .path = request.path,
                               .headers = request.headers,
                               .body = request.body,
                               .upgradeProtocol = request.upgradeProtocol },
                             *sink);
}

void EntryProcess::deadlineReached(AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end() || it->second.attempt->upgraded())
        return;
    m_node->attemptEnded(
            moment(), attempt,
            { .phase = it->second.attempt->phase(), .outcome = routing::AttemptOutcome::Timeout });
    const auto late = m_attempts.find(attempt);
    if (late != m_attempts.end())
        late->second.attempt->abandon();
}

void EntryProcess::forwardAnswer(const routing::ForwardAnswer &command)
{
    const auto request = m_requests.find(command.request);
    const auto attempt = m_attempts.find(command.attempt);
    if (request == m_requests.end() || attempt == m_attempts.end())
        return;
    m_answered->add();
    request->second.answeredBy = command.attempt;
    attempt->second.attempt->forwardTo(request->second.exchange);
}

void EntryProcess::answerNotRun(const routing::AnswerNotRun &command)
{
    const auto node = m_requests.extract(command.request);
    if (node.empty())
        return;
    m_notRun->add();
    node.mapped().exchange->answerNotRun(command.kind, command.retryAfter,
                                         refusalReasonName(command.reason));
}

void EntryProcess::answerUnknown(const routing::AnswerUnknown &command)
{
    const auto node = m_requests.extract(command.request);
    if (node.empty())
        return;
    m_unknown->add();
    if (node.mapped().exchange->isBegun())
        node.mapped().exchange->abort();
    else
        node.mapped().exchange->answerUnknown(command.kind, refusalReasonName(command.reason));
}

void EntryProcess::forwardToPeer(const routing::ForwardToPeer &command, std::string_view address)
{
    const auto it = m_requests.find(command.request);
    ACACIAFORK_ASSERT(it != m_requests.end());
    const RequestId id = command.request;
    const auto ended = [this, id](routing::ForwardOutcome outcome) {
        // The request may be answered another way now; the forward is dropped after this call.
        m_loop->post([this, id, outcome] {
            const auto request = m_requests.find(id);
            if (request == m_requests.end())
                return;
            request->second.forward.reset();
            m_node->forwardEnded(moment(), id, outcome);
            if (outcome == routing::ForwardOutcome::Answered) {
                m_answered->add();
                m_requests.erase(id);
            }
        });
    };

    net::Address peer;
    bool known = true;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(peer, net::parseAddress(address));
                return {};
            },
            [&] { known = false; });
    it->second.forward = std::make_unique<PeerForward>(it->second.exchange, ended);
    if (!known) {
        ended(routing::ForwardOutcome::NotRun);
        return;
    }
    const Duration timeLeft = std::max(command.deadline - net::Loop::now(), Duration { 1000 });
    it->second.forward->start(&m_peerClient, peer, it->second.request, timeLeft);
}

void EntryProcess::abandonAttempt(const routing::AbandonAttempt &command)
{
    const auto it = m_attempts.find(command.attempt);
    if (it != m_attempts.end())
        it->second.attempt->abandon();
}

void EntryProcess::releaseAttempt(const routing::ReleaseAttempt &command)
{
    const auto node = m_attempts.extract(command.attempt);
    if (node.empty())
        return;
    m_loop->cancel(node.mapped().deadline);
    node.mapped().attempt->abandon();
    m_endpoints.cancel(command.attempt);
    m_loop->post([attempt = std::shared_ptr<EntryAttempt>(std::move(node.mapped().attempt))] {});
}

void EntryProcess::closeConnections(const routing::CloseConnections &command)
{
    const EndpointName endpoint { std::string(command.endpoint) };
    const std::uint32_t n = command.count;
    m_loop->post([this, endpoint, n] {
        for (std::uint32_t i = 0; i < n; ++i)
            m_node->connectionClosed(moment(), endpoint);
    });
}

void EntryProcess::probeEndpoint(const routing::ProbeEndpoint &command)
{
    const EndpointName endpoint { std::string(command.endpoint) };
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(address, net::parseAddress(command.address));
                net::TcpStream::connect(
                        *m_loop, address, [this, endpoint](std::unique_ptr<net::TcpStream> stream) {
                            m_node->probeEnded(moment(), endpoint, stream != nullptr);
                        });
                return {};
            },
            [&] {
                m_loop->post([this, endpoint] { m_node->probeEnded(moment(), endpoint, false); });
            });
}

// ---- what the attempts tell

void EntryProcess::attemptHeaders(AttemptId attempt, bool endpointError)
{
    m_node->attemptHeaders(moment(), attempt, endpointError);
}

void EntryProcess::attemptEnded(AttemptId attempt, const routing::AttemptEnd &end)
{
    m_node->attemptEnded(moment(), attempt, end);
    auto node = m_attempts.extract(attempt);
    if (node.empty())
        return;
    m_loop->cancel(node.mapped().deadline);

    // A request whose answer has gone out is done with; without one the decisions go on.
    const auto request = m_requests.find(node.mapped().request);
    if (request != m_requests.end() && request->second.answeredBy == attempt)
        m_requests.erase(request);

    // The attempt is still on the stack.
    m_loop->post([ended = std::shared_ptr<EntryAttempt>(std::move(node.mapped().attempt))] {});
}

} // namespace acaciafork::entry
