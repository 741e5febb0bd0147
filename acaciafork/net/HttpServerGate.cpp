#include <array>
#include <charconv>
#include <string>

#include "acaciafork/net/HttpServerImpl.h"

namespace acaciafork::net {

namespace {

/// A whole answer as bytes, for requests that h2o does not get to see.
std::string rawAnswer(int status, FailureKind kind, std::string_view detail)
{
    const std::string body = failureJson(kind, detail);
    // A request that was not whole was never handed on: its work cannot have begun.
    return "HTTP/1.1 " + std::to_string(status) + " Refused\r\nconnection: close\r\n"
            + (status == 503 ? "retry-after: 1\r\n" : "")
            + "acaciafork-outcome: not-run\r\ncontent-type: application/json\r\ncontent-length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Value of the Content-Length header, or 0.
std::int64_t contentLengthOf(std::span<const phr_header> headers)
{
    for (const auto &it : headers) {
        if (it.name == nullptr || !sameHeaderName({ it.name, it.name_len }, "content-length"))
            continue;
        std::int64_t n = 0;
        const auto [end, ec] = std::from_chars(it.value, it.value + it.value_len, n);
        // A number too large to hold is over every bound; what is no number h2o refuses.
        return ec == std::errc::result_out_of_range ? INT64_MAX : n;
    }
    return 0;
}

} // namespace

// h2o reads a request without showing its head first. So the callback that it has set for new bytes
// is held back, and put in place again once the head is whole and within the bounds. Requests that
// are pipelined behind another one in the same read do not pass here; for them the bounds of h2o
// itself hold.
void HttpServer::Impl::closeGate(ServerConnection &connection)
{
    if (!h2o_socket_is_reading(connection.socket) || connection.current != nullptr
        || connection.gatedRead != nullptr)
        return;
    connection.gatedRead = connection.socket->_cb.read;
    connection.socket->_cb.read = handleHeadBytes;
}

// Connections whose request has ended in this turn wait for the next head from now on.
void HttpServer::Impl::closeGates()
{
    for (auto *it : m_ungated) {
        const auto connection = connections.find(it);
        if (connection != connections.end())
            closeGate(*connection->second);
    }
    m_ungated.clear();
}

void HttpServer::Impl::openGate(ServerConnection &connection, const char *error)
{
    h2o_socket_t *socket = connection.socket;
    socket->_cb.read = std::exchange(connection.gatedRead, nullptr);
    socket->_cb.read(socket, error);
}

void HttpServer::Impl::handleHeadBytes(h2o_socket_t *socket, const char *error)
{
    auto &connection = *static_cast<ServerConnection *>(socket->on_close.data);
    if (error != nullptr)
        connection.server->openGate(connection, error);
    else
        connection.server->checkHead(connection);
}

void HttpServer::Impl::checkHead(ServerConnection &connection)
{
    const h2o_buffer_t &input = *connection.socket->input;
    std::array<phr_header, H2O_MAX_HEADERS> headers;
    std::size_t count = headers.size();
    const char *method = nullptr;
    const char *path = nullptr;
    std::size_t methodLength = 0;
    std::size_t pathLength = 0;
    int version = 0;
    const int n = phr_parse_request(input.bytes, input.size, &method, &methodLength, &path,
                                    &pathLength, &version, headers.data(), &count, 0);
    const auto most = static_cast<std::size_t>(settings.mostHeadBytes);
    const std::size_t headBytes = n > 0 ? static_cast<std::size_t>(n) : input.size;
    if (headBytes > most)
        refuse(connection, 431, FailureKind::TooLarge, "request head over the bound");
    else if (n == -1)
        refuse(connection, 400, FailureKind::InvalidArgument, "malformed request head");
    else if (n > 0 && admitBody(connection, { headers.data(), count }))
        openGate(connection, nullptr);
}

bool HttpServer::Impl::admitBody(ServerConnection &connection, std::span<const phr_header> headers)
{
    const std::int64_t n = contentLengthOf(headers);
    if (n > settings.mostBodyBytes) {
        refuse(connection, 413, FailureKind::TooLarge, "request body over the bound");
        return false;
    }
    if (n > 0 && reservedBytes + chunkedBytes + n > settings.mostBufferedBytes) {
        refuse(connection, 503, FailureKind::Overloaded, "no memory left for request bodies");
        return false;
    }
    connection.reservedBytes = n;
    reservedBytes += n;
    return true;
}

void HttpServer::Impl::release(ServerConnection &connection)
{
    reservedBytes -= std::exchange(connection.reservedBytes, 0);
}

// Answers a request that is not whole and ends its connection.
void HttpServer::Impl::refuse(ServerConnection &connection, int status, FailureKind kind,
                              std::string_view detail)
{
    ++counts.refused;
    h2o_socket_t *socket = connection.socket;
    m_lingering.answer(h2o_socket_get_fd(socket), rawAnswer(status, kind, detail), Loop::now());
    if (h2o_socket_is_reading(socket))
        socket->_cb.read(socket, h2o_socket_error_closed);
}

} // namespace acaciafork::net
