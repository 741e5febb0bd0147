#include "acaciafork/net/AddressPool.h"

#include <limits>
#include <utility>

#include "acaciafork/core/Assert.h"
#include "acaciafork/net/HttpCall.h"
#include "acaciafork/net/Loop.h"

namespace acaciafork::net {
namespace {

/// Receives an idle connection that is taken out of its pool, to close it.
void closeTaken(h2o_socket_t *socket, const char *error, void *isTaken)
{
    *static_cast<bool *>(isTaken) = true;
    if (error == nullptr)
        h2o_socket_close(socket);
}

} // namespace

AddressPool::AddressPool(Loop &loop, const sockaddr_storage &address, socklen_t length,
                         const HttpClientSettings &settings)
    : m_loop(loop)
    , m_mostInProgress(settings.mostCallsPerAddress == 0
                               ? std::numeric_limits<std::size_t>::max()
                               : static_cast<std::size_t>(settings.mostCallsPerAddress))
{
    sockaddr_storage bytes = address;
    h2o_socketpool_init_by_address(&m_native, reinterpret_cast<sockaddr *>(&bytes), length, 0,
                                   static_cast<std::size_t>(settings.mostIdlePerAddress));
    h2o_socketpool_set_timeout(&m_native, loop.native(),
                               static_cast<std::uint64_t>(settings.idleTimeout.count() / 1'000));
}

AddressPool::~AddressPool()
{
    h2o_socketpool_dispose(&m_native);
}

bool AddressPool::hasIdle() const
{
    return m_native._shared.sockets.next != &m_native._shared.sockets;
}

void AddressPool::closeIdle()
{
    while (hasIdle()) {
        bool isTaken = false;
        h2o_socketpool_connect_request_t *request = nullptr;
        h2o_socketpool_connect(&request, &m_native, m_loop.native(), nullptr, closeTaken, &isTaken);
        if (isTaken)
            continue;
        // The peer had closed them all; the new connection that h2o begins then is not wanted.
        h2o_socketpool_cancel_connect(request);
        return;
    }
}

bool AddressPool::enter()
{
    if (m_inProgress >= m_mostInProgress)
        return false;
    ++m_inProgress;
    return true;
}

void AddressPool::leave()
{
    ACACIAFORK_ASSERT(m_inProgress > 0);
    --m_inProgress;
}

void AddressPool::wait(std::shared_ptr<HttpCall> call)
{
    m_waiting.push_back(std::move(call));
}

std::shared_ptr<HttpCall> AddressPool::next()
{
    while (!m_waiting.empty() && m_inProgress < m_mostInProgress) {
        std::shared_ptr<HttpCall> call = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (call->isOpen())
            return call;
    }
    return nullptr;
}

} // namespace acaciafork::net
