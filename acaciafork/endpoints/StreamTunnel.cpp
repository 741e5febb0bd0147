#include "acaciafork/endpoints/StreamTunnel.h"

#include <utility>

namespace acaciafork::endpoints {

namespace {

// Bytes that wait for a slow side before the other one is read no further.
constexpr std::size_t mostBacklogBytes = 256UL * 1024;

} // namespace

StreamTunnel::StreamTunnel(std::unique_ptr<net::TcpStream> caller,
                           std::unique_ptr<net::TcpStream> endpoint,
                           std::function<void(const TunnelEnd &)> ended)
    : m_caller(std::move(caller))
    , m_endpoint(std::move(endpoint))
    , m_ended(std::move(ended))
{ }

void StreamTunnel::start()
{
    m_caller->onBroken([this] { finish(false); });
    m_endpoint->onBroken([this] { finish(false); });
    join(*m_caller, *m_endpoint, &m_callerEnded);
    join(*m_endpoint, *m_caller, &m_endpointEnded);
}

void StreamTunnel::join(net::TcpStream &from, net::TcpStream &to, bool *isEnded)
{
    to.onDrained([this, &from] {
        from.resumeReading();
        if (m_callerEnded && m_endpointEnded && m_caller->backlog() + m_endpoint->backlog() == 0)
            finish(true);
    });
    from.onRead([this, &from, &to, isEnded](std::string_view bytes) {
        if (!bytes.empty()) {
            to.write(bytes);
            if (to.backlog() > mostBacklogBytes)
                from.pauseReading();
            return;
        }
        *isEnded = true;
        to.endWrite();
        if (m_callerEnded && m_endpointEnded && m_caller->backlog() + m_endpoint->backlog() == 0)
            finish(true);
    });
}

void StreamTunnel::abort()
{
    m_caller->reset();
    m_endpoint->reset();
    finish(false);
}

void StreamTunnel::finish(bool isClean)
{
    if (!m_ended)
        return;
    const TunnelEnd end { .bytesToEndpoint = m_endpoint->bytesWritten(),
                          .bytesToCaller = m_caller->bytesWritten(),
                          .isClean = isClean };
    if (isClean) {
        m_caller->close();
        m_endpoint->close();
    } else {
        m_caller->reset();
        m_endpoint->reset();
    }
    const auto ended = std::exchange(m_ended, nullptr);
    ended(end);
}

} // namespace acaciafork::endpoints
