#include "acaciafork/net/TcpStream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "acaciafork/net/H2o.h"
#include "acaciafork/net/Loop.h"

namespace acaciafork::net {

namespace {

/// What connect() keeps until the connection stands.
struct Connecting
{
    Loop *loop = nullptr;
    std::function<void(std::unique_ptr<TcpStream>)> fn;
    TimerId deadline;
};

void handleConnected(h2o_socket_t *socket, const char *error)
{
    const std::unique_ptr<Connecting> connecting(static_cast<Connecting *>(socket->data));
    connecting->loop->cancel(connecting->deadline);
    if (error != nullptr) {
        h2o_socket_close(socket);
        connecting->fn(nullptr);
        return;
    }
    connecting->fn(std::make_unique<TcpStream>(socket));
}

} // namespace

TcpStream::TcpStream(st_h2o_socket_t *socket)
    : m_socket(socket)
{
    m_socket->data = this;
    const int on = 1;
    ::setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

TcpStream::~TcpStream()
{
    *m_isAlive = false;
    close();
}

void TcpStream::connect(Loop &loop, const Address &address,
                        std::function<void(std::unique_ptr<TcpStream>)> fn, Duration timeout)
{
    sockaddr_storage storage;
    const auto length = toSocketAddress(address, &storage);
    h2o_socket_t *socket = length == 0
            ? nullptr
            : h2o_socket_connect(loop.native(), reinterpret_cast<sockaddr *>(&storage), length,
                                 handleConnected);
    if (socket == nullptr) {
        loop.post([fn = std::move(fn)] { fn(nullptr); });
        return;
    }
    auto *connecting = new Connecting { .loop = &loop, .fn = std::move(fn), .deadline = {} };
    socket->data = connecting;
    if (timeout == Duration::zero())
        return;
    connecting->deadline = loop.after(timeout, [socket, connecting] {
        const std::unique_ptr<Connecting> late(connecting);
        h2o_socket_close(socket);
        late->fn(nullptr);
    });
}

void TcpStream::setPeerTimeout(Duration timeout)
{
    if (m_socket == nullptr)
        return;
    const int fd = h2o_socket_get_fd(m_socket);
    const int on = 1;
    const auto ms = static_cast<unsigned>(timeout / std::chrono::milliseconds(1));
    const int seconds = static_cast<int>(std::max(timeout / std::chrono::seconds(1), 1L));
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &on, sizeof(on));
}

void TcpStream::onRead(std::function<void(std::string_view)> fn)
{
    m_onRead = std::move(fn);
    if (m_socket == nullptr)
        return;
    h2o_socket_read_start(m_socket, handleRead);

    // Bytes that came with the request that was upgraded are here already.
    if (m_socket->input->size != 0)
        deliver();
}

void TcpStream::handleRead(st_h2o_socket_t *socket, const char *error)
{
    auto *self = static_cast<TcpStream *>(socket->data);
    const auto isAlive = self->m_isAlive;
    if (socket->input->size != 0)
        self->deliver();
    if (!*isAlive || error == nullptr || self->m_socket == nullptr)
        return;

    // An end of file closes one direction; anything else breaks the connection.
    h2o_socket_read_stop(socket);
    if (error != h2o_socket_error_closed) {
        self->breakOff();
        return;
    }
    self->m_readEnded = true;
    if (self->m_onRead)
        self->m_onRead({});
}

void TcpStream::deliver()
{
    const auto isAlive = m_isAlive;
    const std::string bytes(m_socket->input->bytes, m_socket->input->size);
    h2o_buffer_consume(&m_socket->input, bytes.size());
    m_bytesRead += bytes.size();
    if (m_onRead)
        m_onRead(bytes);
}

void TcpStream::write(std::string_view bytes)
{
    if (m_socket == nullptr || bytes.empty())
        return;
    m_bytesWritten += bytes.size();
    m_pending.append(bytes);
    if (m_inFlight.empty())
        flush();
}

void TcpStream::sendNow(std::string_view bytes)
{
    if (m_socket == nullptr || backlog() > 0) {
        write(bytes);
        return;
    }
    const ssize_t n = ::send(h2o_socket_get_fd(m_socket), bytes.data(), bytes.size(),
                             MSG_DONTWAIT | MSG_NOSIGNAL);
    // What failed for good shows again when the rest is written.
    const std::size_t sent = n < 0 ? 0 : static_cast<std::size_t>(n);
    m_bytesWritten += sent;
    write(bytes.substr(sent));
}

void TcpStream::flush()
{
    if (m_pending.empty()) {
        if (m_endWanted)
            ::shutdown(h2o_socket_get_fd(m_socket), SHUT_WR);
        return;
    }
    m_inFlight.swap(m_pending);
    h2o_iovec_t buf = iovec(m_inFlight);
    h2o_socket_write(m_socket, &buf, 1, handleWritten);
}

void TcpStream::handleWritten(st_h2o_socket_t *socket, const char *error)
{
    auto *self = static_cast<TcpStream *>(socket->data);
    self->m_inFlight.clear();
    if (error != nullptr) {
        self->breakOff();
        return;
    }
    self->flush();
    if (self->m_inFlight.empty() && self->m_onDrained)
        self->m_onDrained();
}

void TcpStream::pauseReading()
{
    if (m_socket == nullptr || m_readEnded || m_isPaused)
        return;
    m_isPaused = true;
    h2o_socket_read_stop(m_socket);
}

void TcpStream::resumeReading()
{
    if (m_socket == nullptr || m_readEnded || !m_isPaused)
        return;
    m_isPaused = false;
    h2o_socket_read_start(m_socket, handleRead);
}

void TcpStream::endWrite()
{
    if (m_socket == nullptr || m_endWanted)
        return;
    m_endWanted = true;
    if (m_inFlight.empty())
        flush();
}

void TcpStream::close()
{
    if (m_socket == nullptr)
        return;
    h2o_socket_close(std::exchange(m_socket, nullptr));
}

void TcpStream::reset()
{
    if (m_socket == nullptr)
        return;
    const linger now { .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(h2o_socket_get_fd(m_socket), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
}

void TcpStream::breakOff()
{
    close();
    if (m_onBroken)
        m_onBroken();
}

} // namespace acaciafork::net
