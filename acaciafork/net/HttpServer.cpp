#include "acaciafork/net/HttpServer.h"

#include <sys/socket.h>

#include <cerrno>

#include <spdlog/spdlog.h>

#include "acaciafork/net/HttpServerImpl.h"
#include "acaciafork/net/TcpListener.h"

namespace acaciafork::net {

namespace {

// Connections taken in one turn, so that a burst of them does not hold up requests.
constexpr int acceptsPerTurn = 32;
// How long nothing is accepted once no descriptor was left.
constexpr Duration acceptPause = std::chrono::milliseconds(100);
// How often the watch over unfinished requests looks.
constexpr Duration tickPeriod = std::chrono::milliseconds(10);

/// The handler as h2o holds it.
struct NativeHandler
{
    h2o_handler_t super;
    HttpServer::Impl *server;
};

/// The filter as h2o holds it.
struct NativeFilter
{
    h2o_filter_t super;
    HttpServer::Impl *server;
};

/// Replaces the body of an error answer of h2o by JSON.
struct ErrorStream
{
    h2o_ostream_t super;
    h2o_iovec_t json;
};

void sendJson(h2o_ostream_t *self, h2o_req_t *req, h2o_iovec_t *, std::size_t, h2o_send_state_t)
{
    auto *stream = reinterpret_cast<ErrorStream *>(self);
    h2o_ostream_send_next(self, req, &stream->json, 1, H2O_SEND_STATE_FINAL);
}

FailureKind kindOfStatus(int status)
{
    return status == 413 ? FailureKind::TooLarge : FailureKind::InvalidArgument;
}

} // namespace

/// The objects of h2o. They are never freed: h2o 2.2 cannot take back a context that still has
/// connections, and a process has its servers for its whole life.
struct HttpServer::Impl::Native
{
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t acceptContext;
    NativeHandler *handler;
    std::vector<NativeFilter *> filters;
};

HttpServer::Impl::Impl(Loop &aLoop, HttpServerSettings aSettings, Handler aHandler)
    : loop(aLoop)
    , settings(aSettings)
    , handler(std::move(aHandler))
    , m_native(new Native {})
{
    h2o_globalconf_t &config = m_native->config;
    h2o_config_init(&config);
    config.server_name = iovec("acaciafork");
    config.max_request_entity_size = static_cast<std::size_t>(settings.mostBodyBytes);
    // The watch keeps both bounds; the one of h2o, which closes without a word, stands behind them.
    const Duration backstop = settings.idleTimeout + settings.requestTimeout;
    config.http1.req_timeout = static_cast<std::uint64_t>(backstop.count() / 1'000);
    config.http1.upgrade_to_http2 = 0;

    // One handler gets every path; the filter sees the answers that h2o makes on its own.
    h2o_hostconf_t *host = h2o_config_register_host(&config, iovec("default"), 65'535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    m_native->handler =
            reinterpret_cast<NativeHandler *>(h2o_create_handler(path, sizeof(NativeHandler)));
    m_native->handler->server = this;
    m_native->handler->super.on_req = handleRequest;
    for (h2o_pathconf_t *it : { path, &host->fallback_path }) {
        auto *filter =
                reinterpret_cast<NativeFilter *>(h2o_create_filter(it, sizeof(NativeFilter)));
        filter->server = this;
        filter->super.on_setup_ostream = handleErrorAnswer;
        m_native->filters.push_back(filter);
    }

    h2o_context_init(&m_native->context, loop.native(), &config);
    m_native->acceptContext.ctx = &m_native->context;
    m_native->acceptContext.hosts = config.hosts;
    loop.onTurnEnd([this, isAlive = std::weak_ptr(m_isAlive)] {
        if (!isAlive.expired())
            closeGates();
    });
    m_ticker = loop.every(tickPeriod, [this] { tick(); });
}

HttpServer::Impl::~Impl()
{
    loop.cancel(m_ticker);
    if (m_listener != nullptr)
        h2o_socket_close(m_listener);
    m_native->handler->server = nullptr;
    for (auto *it : m_native->filters)
        it->server = nullptr;
    for (const auto &[socket, connection] : connections) {
        // h2o may still read what the kernel holds; nothing of ours is to be called then.
        socket->on_close.cb = nullptr;
        socket->on_close.data = nullptr;
        if (connection->gatedRead != nullptr)
            socket->_cb.read = connection->gatedRead;
        if (connection->current != nullptr)
            connection->current->m_onClosed = nullptr;
        ::shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    }
}

void HttpServer::Impl::requestShutdown()
{
    h2o_context_request_shutdown(&m_native->context);
}

Result<std::uint16_t> HttpServer::Impl::listen(const Address &address)
{
    std::uint16_t port = 0;
    BOOST_LEAF_AUTO(fd, openListeningSocket(address, &port));
    m_listener = h2o_evloop_socket_create(loop.native(), fd, H2O_SOCKET_FLAG_DONT_READ);
    m_listener->data = this;
    h2o_socket_read_start(m_listener, handleReadable);
    return port;
}

// Connections that wait to be accepted would be reset with the listener; they are served.
void HttpServer::Impl::stopListening()
{
    if (m_listener == nullptr)
        return;
    while (h2o_socket_t *socket = h2o_evloop_socket_accept(m_listener))
        accept(socket);
    h2o_socket_close(std::exchange(m_listener, nullptr));
}

void HttpServer::Impl::handleReadable(h2o_socket_t *listener, const char *error)
{
    if (error != nullptr)
        return;
    auto *self = static_cast<Impl *>(listener->data);
    for (int i = 0; i != acceptsPerTurn; ++i) {
        errno = 0;
        h2o_socket_t *socket = h2o_evloop_socket_accept(listener);
        if (socket == nullptr) {
            if (errno == EMFILE || errno == ENFILE)
                self->pauseAccepting();
            return;
        }
        self->accept(socket);
    }
}

// A listener stays readable while no descriptor is left for what waits there, so the loop would
// turn without a pause.
void HttpServer::Impl::pauseAccepting()
{
    ++counts.acceptsFailed;
    spdlog::error("event=accept-failed reason=no-descriptor connections={}", connections.size());
    h2o_socket_read_stop(m_listener);
    loop.after(acceptPause, [this, isAlive = std::weak_ptr(m_isAlive)] {
        if (!isAlive.expired() && m_listener != nullptr)
            h2o_socket_read_start(m_listener, handleReadable);
    });
}

void HttpServer::Impl::accept(h2o_socket_t *socket)
{
    ++counts.accepted;
    if (connections.size() >= static_cast<std::size_t>(settings.mostConnections)) {
        ++counts.refused;
        if (counts.overLimit++ == 0)
            spdlog::warn("event=connection-limit-reached side=server limit={}",
                         settings.mostConnections);
        h2o_socket_close(socket);
        return;
    }
    auto connection = std::make_unique<ServerConnection>();
    connection->server = this;
    connection->socket = socket;
    socket->on_close.data = connection.get();
    socket->on_close.cb = [](void *data) {
        auto *it = static_cast<ServerConnection *>(data);
        it->server->handleClosed(it);
    };
    ServerConnection &it = *connection;
    connections.emplace(socket, std::move(connection));
    h2o_accept(&m_native->acceptContext, socket);
    closeGate(it);
}

int HttpServer::Impl::handleRequest(h2o_handler_t *self, h2o_req_t *req)
{
    Impl *server = reinterpret_cast<NativeHandler *>(self)->server;
    if (server == nullptr)
        return -1;
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);
    server->begin(req, *static_cast<ServerConnection *>(socket->on_close.data));
    return 0;
}

void HttpServer::Impl::begin(h2o_req_t *req, ServerConnection &connection)
{
    const auto exchange = std::make_shared<HttpExchange>(req);
    HttpExchange::attach(exchange, req);
    connection.current = exchange.get();
    connection.arrivingSince = Timestamp();
    connection.isClosing = false;
    ++inProgress;
    ++counts.requests;
    exchange->m_onClosed = [this, &connection](bool isUpgraded) {
        endExchange(connection, isUpgraded);
    };
    handler(exchange);
}

void HttpServer::Impl::endExchange(ServerConnection &connection, bool isUpgraded)
{
    --inProgress;
    release(connection);
    connection.current = nullptr;
    connection.idleSince = Timestamp();
    h2o_socket_t *socket = connection.socket;
    if (!isUpgraded) {
        m_ungated.push_back(socket);
        return;
    }
    // The socket goes on as a stream of its own and is no longer ours to watch.
    socket->on_close.cb = nullptr;
    connections.erase(socket);
    finishDrain();
}

void HttpServer::Impl::handleErrorAnswer(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
    Impl *server = reinterpret_cast<NativeFilter *>(self)->server;
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);
    auto *connection = static_cast<ServerConnection *>(socket->on_close.data);
    if (connection == nullptr || connection->current != nullptr) {
        h2o_setup_next_ostream(req, slot);
        return;
    }

    // Nothing of ours is in progress, so h2o refuses the request before it is whole.
    ++server->counts.refused;
    connection->isClosing = true;
    const std::string json = failureJson(kindOfStatus(req->res.status), req->res.reason);
    auto *stream = reinterpret_cast<ErrorStream *>(h2o_add_ostream(req, sizeof(ErrorStream), slot));
    stream->super.do_send = sendJson;
    stream->json = h2o_strdup(&req->pool, json.data(), json.size());
    req->res.content_length = json.size();
    h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                   H2O_STRLIT("application/json"), 1);
    h2o_setup_next_ostream(req, &stream->super.next);
}

HttpServer::HttpServer(Loop &loop, HttpServerSettings settings, Handler handler)
    : m_impl(std::make_unique<Impl>(loop, settings, std::move(handler)))
{ }

HttpServer::~HttpServer() = default;

Result<std::uint16_t> HttpServer::listen(const Address &address)
{
    return m_impl->listen(address);
}

void HttpServer::drain(std::function<void()> done)
{
    m_impl->drain(std::move(done));
}

std::size_t HttpServer::connections() const
{
    return m_impl->connections.size();
}

std::size_t HttpServer::inProgress() const
{
    return m_impl->inProgress;
}

std::int64_t HttpServer::bufferedBytes() const
{
    return m_impl->reservedBytes + m_impl->chunkedBytes;
}

const HttpServerCounts &HttpServer::counts() const
{
    return m_impl->counts;
}

} // namespace acaciafork::net
