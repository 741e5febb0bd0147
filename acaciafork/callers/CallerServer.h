#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "acaciafork/callers/CallerHandler.h"

namespace acaciafork::callers {

/// The HTTP interface towards callers: routes each request, gives it an id, and refuses what is
/// malformed.
class CallerServer
{
public:
    /// @param[in] nextId gives an id that is unique over entries and restarts
    CallerServer(net::Loop &loop, CallerSettings settings, CallerHandler &handler,
                 std::function<RequestId()> nextId);

    /// Listens; port 0 lets the system choose.
    /// @return the port
    Result<std::uint16_t> listen(const net::Address &address) { return m_server.listen(address); }

    /// Takes no more connections, lets requests in progress end, then calls `done`.
    void drain(std::function<void()> done) { m_server.drain(std::move(done)); }

    /// The server beneath, for its counts.
    [[nodiscard]] const net::HttpServer &server() const { return m_server; }

private:
    void route(const std::shared_ptr<net::HttpExchange> &exchange);
    void routeCaller(const std::shared_ptr<net::HttpExchange> &exchange);

    CallerSettings m_settings;
    CallerHandler &m_handler;
    std::function<RequestId()> m_nextId;
    net::HttpServer m_server;
};

} // namespace acaciafork::callers
