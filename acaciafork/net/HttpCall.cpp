#include "acaciafork/net/HttpCall.h"

#include <sys/socket.h>

#include <utility>
#include <vector>

#include "acaciafork/core/Assert.h"
#include "acaciafork/net/HttpClientImpl.h"
#include "acaciafork/net/HttpFraming.h"
#include "acaciafork/net/TcpStream.h"

namespace acaciafork::net {

/// The functions that h2o calls, as it wants them. Each returns what makes h2o close the connection
/// when the call does not go on.
struct HttpCall::Callbacks
{
    static h2o_http1client_head_cb connected(h2o_http1client_t *client, const char *error,
                                             h2o_iovec_t **bufs, std::size_t *count, int *isHead)
    {
        const auto call = of(client);
        if (!call->handleConnected(error))
            return nullptr;
        // h2o hands the buffers to its socket before it returns to the loop.
        static thread_local h2o_iovec_t buf;
        buf = iovec(call->m_request);
        *bufs = &buf;
        *count = 1;
        *isHead = call->m_isHeadMethod ? 1 : 0;
        return head;
    }

    static h2o_http1client_body_cb head(h2o_http1client_t *client, const char *error, int,
                                        int status, h2o_iovec_t, h2o_header_t *headers,
                                        std::size_t count, int headSize)
    {
        const auto call = of(client);
        if (call->handleHead(error, status, headers, count, headSize))
            return body;
        call->m_client = nullptr;
        return nullptr;
    }

    static int body(h2o_http1client_t *client, const char *error)
    {
        const auto call = of(client);
        if (call->handleBody(error))
            return 0;
        call->m_client = nullptr;
        return -1;
    }

    // h2o takes a chunked body for whole when the connection ends after any chunk, and drops bytes
    // that are read together with the end. So the bytes are shown first, and the end is noted.
    static void read(h2o_socket_t *socket, const char *error)
    {
        const auto call = of(static_cast<h2o_http1client_t *>(socket->data));
        const auto bodyRead = call->m_bodyRead;
        if (error != nullptr && socket->bytes_read != 0) {
            bodyRead(socket, nullptr);
            if (call->m_client == nullptr)
                return;
            socket->bytes_read = 0;
        }
        call->m_hasReadFailed = error != nullptr;
        bodyRead(socket, error);
    }

    // The call is held while h2o is within it: the sink may drop the last other hold.
    static std::shared_ptr<HttpCall> of(h2o_http1client_t *client)
    {
        return static_cast<HttpCall *>(client->data)->shared_from_this();
    }
};

void HttpCall::begin(const HttpRequest &request, AddressPool *pool)
{
    Loop &loop = m_owner->loop;
    const auto self = shared_from_this();
    if (pool == nullptr) {
        loop.post([self] { self->failWith(FailureKind::InvalidArgument, "not an IP number"); });
        return;
    }
    m_isHeadMethod = request.method == "HEAD";
    buildRequest(request);
    if (request.timeout != Duration::zero()) {
        m_deadline = loop.after(request.timeout, [this] {
            failWith(FailureKind::Timeout, "no whole answer in time");
        });
    }
    if (request.headTimeout != Duration::zero()) {
        m_headDeadline = loop.after(request.headTimeout, [this] {
            failWith(FailureKind::Timeout, "no head of an answer in time");
        });
    }
    m_stallTimeout = request.stallTimeout;
    m_pool = pool;
    connect();
}

void HttpCall::connect()
{
    const auto self = shared_from_this();
    Loop &loop = m_owner->loop;
    if (!m_pool->enter()) {
        m_pool->wait(self);
        return;
    }
    m_hasPlace = true;
    if (!m_owner->makeRoom(*m_pool)) {
        loop.post([self] {
            self->failWith(FailureKind::Overloaded, "the limit on connections is reached");
        });
        return;
    }

    // A kept connection is used at once; a new one has its own bound until it stands.
    m_isInCallback = true;
    h2o_http1client_connect_with_pool(&m_client, this, &m_owner->context, m_pool->native(),
                                      Callbacks::connected);
    m_isInCallback = false;
    if (m_phase == CallPhase::NotConnected && m_sink != nullptr) {
        m_connectDeadline = loop.after(m_owner->settings.connectTimeout, [this] {
            failWith(FailureKind::Unreachable, "no connection in time");
        });
    }
}

void HttpCall::buildRequest(const HttpRequest &request)
{
    m_request.reserve(256 + request.target.size() + request.body.size());
    m_request.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (findHeader(request.headers, "host").empty())
        m_request.append("host: ").append(request.address.toString()).append("\r\n");
    for (const auto &it : request.headers)
        m_request.append(it.name).append(": ").append(it.value).append("\r\n");
    if (!request.body.empty() || takesBody(request.method))
        m_request.append("content-length: ")
                .append(std::to_string(request.body.size()))
                .append("\r\n");
    m_request.append("\r\n").append(request.body);
}

bool HttpCall::handleConnected(const char *error)
{
    const bool isNew = static_cast<bool>(m_connectDeadline);
    m_owner->loop.cancel(std::exchange(m_connectDeadline, {}));
    if (m_sink == nullptr)
        return false;
    // h2o reads all that the kernel holds at once, so that is bounded where the answer may have to
    // wait for a slow caller.
    if (isNew && error == nullptr) {
        const auto most = static_cast<int>(m_owner->settings.receiveBufferBytes);
        ::setsockopt(h2o_socket_get_fd(m_client->sock), SOL_SOCKET, SO_RCVBUF, &most, sizeof(most));
    }
    if (error != nullptr) {
        m_client = nullptr;
        const auto self = shared_from_this();
        m_owner->loop.post([self] { self->failWith(FailureKind::Unreachable, "cannot connect"); });
        return false;
    }
    m_phase = CallPhase::Sent;
    m_isInCallback = true;
    m_sink->onSent();
    m_isInCallback = false;
    return m_sink != nullptr;
}

bool HttpCall::handleHead(const char *error, int status, st_h2o_header_t *headers,
                          std::size_t count, int headSize)
{
    if (m_sink == nullptr)
        return false;
    const bool isEnd = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !isEnd) {
        endByError(error);
        return false;
    }
    m_phase = CallPhase::Headers;
    m_owner->loop.cancel(std::exchange(m_headDeadline, {}));
    std::vector<Header> list;
    list.reserve(count);
    for (std::size_t i = 0; i != count; ++i)
        list.push_back({ .name = view(*headers[i].name), .value = view(headers[i].value) });

    // Only a length or a last chunk tells a whole body from one that was cut short.
    const HttpFraming framing = framingOf(list);
    const bool isFramed = isEnd || m_isHeadMethod || hasNoBody(status) || framing.tellsEnd();
    if (!isFramed) {
        retire();
        end({ .phase = m_phase,
              .failure = Failure { FailureKind::Protocol, "answer without framing" } });
        return false;
    }

    m_isChunked = framing.isChunked;
    m_isInCallback = true;
    const HttpHead head { .status = status,
                          .headers = list,
                          .contentLength = framing.contentLength };
    const bool isWanted = m_sink->onHead(head);
    m_isInCallback = false;
    if (m_sink == nullptr || !isWanted) {
        retire();
        if (m_sink != nullptr)
            end({ .phase = m_phase,
                  .failure = Failure { FailureKind::Protocol, "answer refused" } });
        return false;
    }
    if (status == 101) {
        h2o_socket_t *socket = h2o_http1client_steal_socket(m_client);
        m_client = nullptr;
        h2o_buffer_consume(&socket->input, static_cast<std::size_t>(headSize));
        HttpCallSink *sink = std::exchange(m_sink, nullptr);
        forget();
        sink->onUpgraded(std::make_unique<TcpStream>(socket));
        return false;
    }
    if (isEnd) {
        m_client = nullptr;
        end({ .phase = CallPhase::Complete, .failure = std::nullopt });
        return true;
    }
    m_owner->withNewHead.push_back(shared_from_this());
    return true;
}

// Looks from time to time, in place of a timer that each piece of the body sets anew.
void HttpCall::watchStall()
{
    if (!m_hasMoved && !m_isPaused)
        failWith(FailureKind::Timeout, "no byte of the answer in time");
    m_hasMoved = false;
}

// Runs at the end of the turn of the head: before the next bytes are read.
void HttpCall::watchReads()
{
    if (m_client == nullptr || m_client->sock == nullptr)
        return;
    if (m_stallTimeout != Duration::zero())
        m_stallTimer = m_owner->loop.every(m_stallTimeout, [this] { watchStall(); });
    auto &current = h2o_socket_is_reading(m_client->sock) ? m_client->sock->_cb.read : m_pausedRead;
    m_bodyRead = std::exchange(current, Callbacks::read);
}

bool HttpCall::handleBody(const char *error)
{
    if (m_sink == nullptr)
        return false;
    if (m_isChunked && m_hasReadFailed)
        error = "ended before the last chunk";
    const bool isEnd = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !isEnd) {
        endByError(error);
        return false;
    }
    if (m_isPaused && isEnd) {
        // h2o lets go of the connection now, so what is left is kept here.
        m_held.assign(m_client->sock->input->bytes, m_client->sock->input->size);
        h2o_buffer_consume(&m_client->sock->input, m_held.size());
        m_isEndHeld = true;
        m_client = nullptr;
        return true;
    }
    if (m_isPaused) {
        stopReading();
        return true;
    }
    deliverInput();
    if (m_sink == nullptr) {
        retire();
        return false;
    }
    if (isEnd) {
        m_client = nullptr;
        end({ .phase = CallPhase::Complete, .failure = std::nullopt });
    }
    return true;
}

void HttpCall::deliverInput()
{
    h2o_socket_t *socket = m_client->sock;
    const std::size_t n = socket->input->size;
    if (n == 0)
        return;
    m_phase = CallPhase::Body;
    m_hasMoved = true;
    const bool wasInCallback = std::exchange(m_isInCallback, true);
    m_sink->onBody({ socket->input->bytes, n });
    m_isInCallback = wasInCallback;
    h2o_buffer_consume(&socket->input, n);
}

// h2o names a failed step by a text; in which phase it failed is what counts.
void HttpCall::endByError(const char *error)
{
    m_client = nullptr;
    end({ .phase = m_phase, .failure = Failure { FailureKind::Protocol, error } });
}

void HttpCall::pause()
{
    if (m_isPaused || m_sink == nullptr)
        return;
    m_isPaused = true;
    stopReading();
}

void HttpCall::stopReading()
{
    if (m_client == nullptr || m_client->sock == nullptr || m_phase < CallPhase::Body)
        return;
    if (!h2o_socket_is_reading(m_client->sock))
        return;
    m_pausedRead = m_client->sock->_cb.read;
    h2o_socket_read_stop(m_client->sock);
}

void HttpCall::resume()
{
    if (!m_isPaused || m_sink == nullptr)
        return;
    const auto self = shared_from_this();
    m_isPaused = false;
    m_hasMoved = true;
    if (m_isEndHeld) {
        m_phase = CallPhase::Complete;
        if (!m_held.empty())
            m_sink->onBody(m_held);
        if (m_sink != nullptr)
            end({ .phase = CallPhase::Complete, .failure = std::nullopt });
        return;
    }
    if (m_pausedRead == nullptr || m_client == nullptr)
        return;
    h2o_socket_read_start(m_client->sock, std::exchange(m_pausedRead, nullptr));
    deliverInput();
    if (m_sink == nullptr)
        closeConnection();
}

void HttpCall::failWith(FailureKind kind, std::string detail)
{
    if (m_sink == nullptr)
        return;
    const auto self = shared_from_this();
    const CallPhase phase = m_phase;
    closeConnection();
    end({ .phase = phase, .failure = Failure { kind, std::move(detail) } });
}

void HttpCall::end(const CallEnd &end)
{
    m_phase = end.phase;
    HttpCallSink *sink = std::exchange(m_sink, nullptr);
    const auto ownSink = std::exchange(m_ownSink, nullptr);
    forget();
    sink->onEnd(end);
}

void HttpCall::cancel()
{
    if (m_sink == nullptr)
        return;
    const auto self = shared_from_this();
    m_sink = nullptr;
    if (!m_isInCallback)
        closeConnection();
    forget();
}

// Drops the client's hold, which may be the last one; callers keep their own.
void HttpCall::forget()
{
    for (auto *it : { &m_deadline, &m_headDeadline, &m_stallTimer, &m_connectDeadline })
        m_owner->loop.cancel(std::exchange(*it, {}));
    if (std::exchange(m_hasPlace, false)) {
        m_pool->leave();
        m_owner->beginNext(m_pool);
    }
    m_owner->calls.erase(this);
}

void HttpCall::closeConnection()
{
    if (m_client == nullptr)
        return;
    retire();
    h2o_http1client_cancel(std::exchange(m_client, nullptr));
}

// Keeps the connection from being used again: what else arrives on it belongs to this call.
void HttpCall::retire()
{
    if (m_client != nullptr && m_client->sock != nullptr)
        m_client->sockpool.pool = nullptr;
}

} // namespace acaciafork::net
