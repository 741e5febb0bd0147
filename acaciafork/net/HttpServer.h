#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/net/Address.h"
#include "acaciafork/net/HttpExchange.h"

namespace acaciafork::net {

class Loop;

/// Bounds of an HTTP server.
struct HttpServerSettings
{
    /// Most bytes of the request line and headers; past it 431.
    std::int64_t mostHeadBytes = 32LL * 1024;
    /// Most bytes of one request body; past it 413.
    std::int64_t mostBodyBytes = 16LL * 1024 * 1024;
    /// Most bytes of requests held at one time over all connections; past it 503.
    std::int64_t mostBufferedBytes = 64LL * 1024 * 1024;
    /// Most connections at one time; past it new ones are closed.
    std::int64_t mostConnections = 10'000;
    /// Longest time from the first byte of a request to its last; past it 408.
    Duration requestTimeout = std::chrono::seconds(10);
    /// Longest time for a written piece of an answer to leave; past it the connection is reset.
    Duration stallTimeout = std::chrono::minutes(5);
    /// Longest time that a connection stays open without a request.
    Duration idleTimeout = std::chrono::seconds(60);
    /// How long a draining server keeps idle connections, so that a request that is on its way is
    /// still answered. Each answer given meanwhile closes its connection.
    Duration drainLinger {};
};

/// What a server has counted since its start.
struct HttpServerCounts
{
    std::uint64_t accepted = 0;
    std::uint64_t requests = 0;
    /// Requests refused before they were whole: bad head, too large, too slow, over the budget.
    std::uint64_t refused = 0;
    /// Connections closed at once, over the limit.
    std::uint64_t overLimit = 0;
    /// Times that no descriptor was left for a connection.
    std::uint64_t acceptsFailed = 0;
};

/// HTTP/1.1 server on one listening address, over h2o's.
class HttpServer
{
public:
    /// Gets each request once its body is complete.
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    HttpServer(Loop &loop, HttpServerSettings settings, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Listens; port 0 lets the system choose.
    /// @return the port
    Result<std::uint16_t> listen(const Address &address);

    /// Stops listening, closes idle connections once they have lingered, lets requests in progress
    /// end, and calls `done` when the last connection is gone.
    void drain(std::function<void()> done);

    /// Connections open now; upgraded ones are not among them.
    [[nodiscard]] std::size_t connections() const;

    /// Requests begun and not ended.
    [[nodiscard]] std::size_t inProgress() const;

    /// Bytes of requests held at the last look.
    [[nodiscard]] std::int64_t bufferedBytes() const;

    /// What was counted so far.
    [[nodiscard]] const HttpServerCounts &counts() const;

    /// The work behind the server, private to this library.
    class Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciafork::net
