#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "acaciafork/net/HttpServerImpl.h"

namespace acaciafork::net {

namespace {

// Every how many ticks the peers of requests in progress are looked at.
constexpr std::uint64_t ticksPerPeerLook = 5;

} // namespace

void HttpServer::Impl::tick()
{
    const Timestamp now = Loop::now();
    m_lingering.tick(now);
    watchArrivals(now);
    enforceBudget();
    if (++m_ticks % ticksPerPeerLook == 0) {
        watchPeers();
        watchSending(now);
    }
    closeIdle(now);
    finishDrain();
}

// h2o shows a request once it is whole. What is still arriving stands in the input of its socket,
// which is where the bounds on time and on chunked bodies are kept.
void HttpServer::Impl::watchArrivals(Timestamp now)
{
    std::vector<ServerConnection *> late;
    chunkedBytes = 0;
    for (const auto &[socket, connection] : connections) {
        const auto n = static_cast<std::int64_t>(socket->input->size);
        if (connection->reservedBytes == 0)
            chunkedBytes += n;
        const bool isArriving = connection->current == nullptr && !connection->isClosing
                && (n != 0 || connection->reservedBytes != 0);
        if (!isArriving)
            connection->arrivingSince = Timestamp();
        else if (connection->arrivingSince == Timestamp())
            connection->arrivingSince = now;
        else if (now - connection->arrivingSince > settings.requestTimeout)
            late.push_back(connection.get());
    }
    for (auto *it : late)
        refuse(*it, 408, FailureKind::Timeout, "request not whole in time");
}

// Chunked bodies tell no length, so they may grow over the budget. Then the largest unfinished ones
// go until the rest fits. Whole ones stay: their work may have begun.
void HttpServer::Impl::enforceBudget()
{
    if (reservedBytes + chunkedBytes <= settings.mostBufferedBytes)
        return;
    std::vector<ServerConnection *> arriving;
    for (const auto &[socket, connection] : connections) {
        if (connection->arrivingSince != Timestamp() && connection->reservedBytes == 0)
            arriving.push_back(connection.get());
    }
    std::sort(arriving.begin(), arriving.end(), [](const auto *one, const auto *other) {
        return one->socket->input->size > other->socket->input->size;
    });
    for (auto *it : arriving) {
        if (reservedBytes + chunkedBytes <= settings.mostBufferedBytes)
            return;
        chunkedBytes -= static_cast<std::int64_t>(it->socket->input->size);
        refuse(*it, 503, FailureKind::Overloaded, "no memory left for request bodies");
    }
}

// h2o does not read while a request is in progress, so a peer that leaves is looked for here.
void HttpServer::Impl::watchPeers()
{
    std::vector<pollfd> fds;
    std::vector<std::weak_ptr<HttpExchange>> exchanges;
    for (const auto &[socket, connection] : connections) {
        if (connection->current == nullptr || connection->current->m_isGone)
            continue;
        fds.push_back({ .fd = h2o_socket_get_fd(socket), .events = POLLRDHUP });
        exchanges.push_back(connection->current->weak_from_this());
    }
    if (fds.empty() || ::poll(fds.data(), fds.size(), 0) <= 0)
        return;
    for (std::size_t i = 0; i != fds.size(); ++i) {
        const auto exchange = fds[i].revents != 0 ? exchanges[i].lock() : nullptr;
        if (exchange)
            exchange->noteGone();
    }
}

// A peer that stops reading would hold its request, and what serves it, for ever.
void HttpServer::Impl::watchSending(Timestamp now)
{
    std::vector<h2o_socket_t *> stalled;
    for (const auto &[socket, connection] : connections) {
        HttpExchange *exchange = connection->current;
        if (exchange == nullptr || !exchange->m_isSending)
            continue;
        if (exchange->m_sendingSince == Timestamp())
            exchange->m_sendingSince = now;
        else if (now - exchange->m_sendingSince > settings.stallTimeout)
            stalled.push_back(socket);
    }
    // The broken connection fails the write, by which h2o lets go of it.
    for (auto *it : stalled)
        ::shutdown(h2o_socket_get_fd(it), SHUT_RDWR);
}

void HttpServer::Impl::handleClosed(ServerConnection *connection)
{
    release(*connection);
    connections.erase(connection->socket);
    finishDrain();
}

void HttpServer::Impl::drain(std::function<void()> done)
{
    m_isDraining = true;
    m_lingersUntil = Loop::now() + settings.drainLinger;
    m_drained = std::move(done);
    stopListening();
    requestShutdown();
    loop.post([this] { finishDrain(); });
}

void HttpServer::Impl::closeIdle(Timestamp now)
{
    for (const auto &[socket, connection] : connections) {
        const bool isIdle = connection->current == nullptr && socket->input->size == 0
                && connection->reservedBytes == 0;
        if (!isIdle || connection->isClosing)
            continue;
        if (connection->idleSince == Timestamp())
            connection->idleSince = now;
        const bool isKept = m_isDraining ? now < m_lingersUntil
                                         : now - connection->idleSince < settings.idleTimeout;
        if (isKept)
            continue;
        // What the kernel holds already is still read, and answered.
        connection->isClosing = true;
        ::shutdown(h2o_socket_get_fd(socket), SHUT_RD);
    }
}

void HttpServer::Impl::finishDrain()
{
    if (!m_isDraining || !connections.empty() || !m_drained)
        return;
    const auto done = std::exchange(m_drained, nullptr);
    loop.post(done);
}

} // namespace acaciafork::net
