#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "acaciafork/net/Net.h"

namespace acaciafork::endpoints {

/// How a tunnel ended.
struct TunnelEnd
{
    std::uint64_t bytesToEndpoint = 0;
    std::uint64_t bytesToCaller = 0;
    /// True when both sides had ended what they send; false when a connection broke.
    bool isClean = false;
};

/// Two-way stream between a caller and an endpoint. Each direction ends on its own, a slow side
/// slows the other one down, and there is no bound on how long it may be idle.
class StreamTunnel
{
public:
    /// Calls `ended` once at the end, which may destroy this object.
    StreamTunnel(std::unique_ptr<net::TcpStream> caller, std::unique_ptr<net::TcpStream> endpoint,
                 std::function<void(const TunnelEnd &)> ended);

    /// Starts passing bytes on.
    void start();

    /// Breaks off both sides.
    void abort();

private:
    void join(net::TcpStream &from, net::TcpStream &to, bool *isEnded);
    void finish(bool isClean);

    std::unique_ptr<net::TcpStream> m_caller;
    std::unique_ptr<net::TcpStream> m_endpoint;
    std::function<void(const TunnelEnd &)> m_ended;
    bool m_callerEnded = false;
    bool m_endpointEnded = false;
};

} // namespace acaciafork::endpoints
