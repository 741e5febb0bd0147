#include "acaciafork/net/HttpExchange.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "acaciafork/net/H2o.h"
#include "acaciafork/net/TcpStream.h"

namespace acaciafork::net {

namespace {

/// Copy of a view in the memory of the request.
h2o_iovec_t copyTo(h2o_req_t *req, std::string_view text)
{
    return h2o_strdup(&req->pool, text.data(), text.size());
}

/// Lower-case copy of a header name in the memory of the request.
h2o_iovec_t lowerCopyTo(h2o_req_t *req, std::string_view name)
{
    const h2o_iovec_t copy = copyTo(req, name);
    h2o_strtolower(copy.base, copy.len);
    return copy;
}

/// Reason phrases of the statuses in use; the phrase carries no meaning.
constexpr std::array<std::pair<int, const char *>, 28> reasons { {
        { 101, "Switching Protocols" },
        { 200, "OK" },
        { 201, "Created" },
        { 202, "Accepted" },
        { 204, "No Content" },
        { 206, "Partial Content" },
        { 301, "Moved Permanently" },
        { 302, "Found" },
        { 303, "See Other" },
        { 304, "Not Modified" },
        { 307, "Temporary Redirect" },
        { 308, "Permanent Redirect" },
        { 400, "Bad Request" },
        { 401, "Unauthorized" },
        { 403, "Forbidden" },
        { 404, "Not Found" },
        { 405, "Method Not Allowed" },
        { 409, "Conflict" },
        { 410, "Gone" },
        { 412, "Precondition Failed" },
        { 413, "Payload Too Large" },
        { 422, "Unprocessable Content" },
        { 429, "Too Many Requests" },
        { 500, "Internal Server Error" },
        { 501, "Not Implemented" },
        { 502, "Bad Gateway" },
        { 503, "Service Unavailable" },
        { 504, "Gateway Timeout" },
} };

const char *reasonOf(int status)
{
    const auto *it = std::lower_bound(reasons.begin(), reasons.end(), status,
                                      [](const auto &entry, int n) { return entry.first < n; });
    return it != reasons.end() && it->first == status ? it->second : "Other";
}

} // namespace

/// What h2o holds of an exchange: it lives in the memory of the request and ends with it.
struct HttpExchange::Generator
{
    h2o_generator_t super;
    std::shared_ptr<HttpExchange> *exchange;
};

HttpExchange::HttpExchange(st_h2o_req_t *req)
    : m_req(req)
{
    m_headers.reserve(req->headers.size);
    for (std::size_t i = 0; i != req->headers.size; ++i) {
        const h2o_header_t &it = req->headers.entries[i];
        m_headers.push_back({ .name = view(*it.name), .value = view(it.value) });
    }
}

void HttpExchange::attach(const std::shared_ptr<HttpExchange> &exchange, st_h2o_req_t *req)
{
    auto *generator = static_cast<Generator *>(
            h2o_mem_alloc_shared(&req->pool, sizeof(Generator), [](void *data) {
                auto *it = static_cast<Generator *>(data);
                (*it->exchange)->handleDisposed();
                delete it->exchange;
            }));
    generator->super.proceed = [](h2o_generator_t *self, h2o_req_t *) {
        (*reinterpret_cast<Generator *>(self)->exchange)->handleProceed();
    };
    generator->super.stop = [](h2o_generator_t *, h2o_req_t *) {};
    generator->exchange = new std::shared_ptr<HttpExchange>(exchange);
    exchange->m_generator = generator;
}

bool HttpExchange::isPeerGone() const
{
    if (m_req == nullptr || m_isGone)
        return true;
    h2o_socket_t *socket = m_req->conn->callbacks->get_socket(m_req->conn);
    pollfd fd { .fd = h2o_socket_get_fd(socket), .events = POLLRDHUP, .revents = 0 };
    return ::poll(&fd, 1, 0) != 0;
}

std::string_view HttpExchange::method() const
{
    return m_req == nullptr ? std::string_view() : view(m_req->input.method);
}

std::string_view HttpExchange::target() const
{
    return m_req == nullptr ? std::string_view() : view(m_req->input.path);
}

std::string_view HttpExchange::host() const
{
    if (m_req == nullptr)
        return {};
    const std::string_view authority = view(m_req->input.authority);
    return authority.substr(0, authority.find(':'));
}

std::string_view HttpExchange::header(std::string_view name) const
{
    return findHeader(m_headers, name);
}

std::string_view HttpExchange::body() const
{
    return m_req == nullptr ? std::string_view() : view(m_req->entity);
}

std::string_view HttpExchange::upgradeProtocol() const
{
    return m_req == nullptr ? std::string_view() : view(m_req->upgrade);
}

Address HttpExchange::remoteAddress() const
{
    sockaddr_storage storage {};
    auto *address = reinterpret_cast<sockaddr *>(&storage);
    if (m_req == nullptr || m_req->conn->callbacks->get_peername(m_req->conn, address) == 0)
        return {};
    return fromSocketAddress(address);
}

void HttpExchange::answer(int status, std::span<const Header> headers, std::string_view body)
{
    if (m_req == nullptr || m_isBegun)
        return;
    m_req->res.content_length = body.size();
    startResponse(status, headers);
    m_pending = body;
    m_isFinished = true;
    send();
}

void HttpExchange::answerJson(int status, std::string_view json)
{
    const Header type { .name = "content-type", .value = "application/json" };
    answer(status, { &type, 1 }, json);
}

void HttpExchange::answerFailure(FailureKind kind, std::string_view detail)
{
    answerJson(httpStatus(kind), failureJson(kind, detail));
}

void HttpExchange::begin(int status, std::span<const Header> headers,
                         std::optional<std::uint64_t> contentLength)
{
    if (m_req == nullptr || m_isBegun)
        return;
    if (contentLength)
        m_req->res.content_length = *contentLength;
    startResponse(status, headers);
}

void HttpExchange::startResponse(int status, std::span<const Header> headers)
{
    m_isBegun = true;
    m_req->res.status = status;
    m_req->res.reason = reasonOf(status);
    addHeaders(headers);
    h2o_start_response(m_req, &m_generator->super);
}

void HttpExchange::addHeaders(std::span<const Header> headers)
{
    for (const auto &it : headers) {
        const h2o_iovec_t name = lowerCopyTo(m_req, it.name);
        const h2o_iovec_t value = copyTo(m_req, it.value);
        h2o_add_header_by_str(&m_req->pool, &m_req->res.headers, name.base, name.len, 1, nullptr,
                              value.base, value.len);
    }
}

void HttpExchange::write(std::string_view bytes)
{
    if (m_req == nullptr || !m_isBegun || m_isFinished || bytes.empty())
        return;
    m_pending.append(bytes);
    send();
}

void HttpExchange::finish()
{
    if (m_req == nullptr || !m_isBegun || m_isFinished)
        return;
    m_isFinished = true;
    send();
}

void HttpExchange::abort()
{
    if (m_req == nullptr || m_isSent)
        return;
    // The reset reaches the peer also where the kernel has taken all that was written.
    h2o_socket_t *socket = m_req->conn->callbacks->get_socket(m_req->conn);
    const linger now { .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    m_req->http1_is_persistent = 0;
    m_isAborted = true;
    m_isFinished = true;
    if (!m_isBegun)
        startResponse(502, {});
    send();
}

// Hands what is pending to h2o, which asks for more by handleProceed(). The final state may only go
// along with the last bytes, and nothing may follow it.
void HttpExchange::send()
{
    if (m_isSending || m_isSent)
        return;
    m_inFlight.clear();
    m_inFlight.swap(m_pending);
    const bool isLast = m_isFinished;
    if (m_inFlight.empty() && !isLast)
        return;

    m_isSending = true;
    m_sendingSince = Timestamp();
    m_isSent = isLast;
    h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
    if (isLast)
        state = m_isAborted ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
    h2o_iovec_t buf = iovec(m_inFlight);
    h2o_send(m_req, &buf, m_inFlight.empty() ? 0 : 1, state);
}

void HttpExchange::handleProceed()
{
    const auto self = shared_from_this();
    m_isSending = false;
    m_inFlight.clear();
    if (!m_pending.empty() || m_isFinished) {
        send();
        return;
    }
    // A copy, since the call may end the exchange, which drops its functions.
    if (const auto fn = m_onDrained)
        fn();
}

void HttpExchange::upgrade(std::span<const Header> headers,
                           std::function<void(std::unique_ptr<TcpStream>)> fn)
{
    if (m_req == nullptr || m_isBegun) {
        fn(nullptr);
        return;
    }
    m_isBegun = true;
    m_isSent = true;
    m_isUpgraded = true;
    m_req->res.status = 101;
    m_req->res.reason = reasonOf(101);
    addHeaders(headers);
    using Function = std::function<void(std::unique_ptr<TcpStream>)>;
    h2o_http1_upgrade(
            m_req, nullptr, 0,
            [](void *data, h2o_socket_t *socket, std::size_t requestSize) {
                const std::unique_ptr<Function> done(static_cast<Function *>(data));
                if (socket == nullptr) {
                    (*done)(nullptr);
                    return;
                }
                h2o_buffer_consume(&socket->input, requestSize);
                (*done)(std::make_unique<TcpStream>(socket));
            },
            new Function(std::move(fn)));
}

void HttpExchange::noteGone()
{
    if (m_isGone || m_isSent)
        return;
    m_isGone = true;
    if (const auto fn = std::move(m_onGone))
        fn();
}

// The request and its memory go after this call, whatever ended them.
void HttpExchange::handleDisposed()
{
    const auto self = shared_from_this();
    const bool wasWhole = m_isSent && !m_isAborted;
    m_req = nullptr;
    m_headers.clear();
    if (!wasWhole)
        noteGone();
    if (m_onClosed)
        m_onClosed(m_isUpgraded);

    // Functions often hold the exchange itself: dropping them ends the cycle.
    m_onDrained = nullptr;
    m_onGone = nullptr;
    m_onClosed = nullptr;
}

} // namespace acaciafork::net
