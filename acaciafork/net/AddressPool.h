#pragma once

#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include "acaciafork/net/H2o.h"
#include "acaciafork/net/HttpClient.h"

namespace acaciafork::net {

/// Kept connections to one address, and the calls that wait for their turn there.
class AddressPool
{
public:
    AddressPool(Loop &loop, const sockaddr_storage &address, socklen_t length,
                const HttpClientSettings &settings);
    ~AddressPool();
    AddressPool(const AddressPool &) = delete;
    AddressPool &operator=(const AddressPool &) = delete;

    [[nodiscard]] h2o_socketpool_t *native() { return &m_native; }

    /// Connections that are open or being made.
    [[nodiscard]] std::size_t open() const { return m_native._shared.count; }
    [[nodiscard]] bool hasIdle() const;
    /// Closes the idle connections.
    void closeIdle();

    /// @name Turns
    /// @{
    /// Takes a place for a call in progress; false when all are taken.
    bool enter();
    /// Gives the place back.
    void leave();
    /// Adds a call that waits for a place.
    void wait(std::shared_ptr<HttpCall> call);
    /// First waiting call that is still open, or null when none is or no place is free.
    std::shared_ptr<HttpCall> next();
    [[nodiscard]] bool hasWaiting() const { return !m_waiting.empty(); }
    /// No call is in progress or waits.
    [[nodiscard]] bool isUnused() const { return m_inProgress == 0 && m_waiting.empty(); }
    /// @}

    /// Number of the latest call, to find the pool that was unused for longest.
    std::uint64_t lastCall = 0;

private:
    Loop &m_loop;
    std::size_t m_mostInProgress;
    std::size_t m_inProgress = 0;
    std::deque<std::shared_ptr<HttpCall>> m_waiting;
    h2o_socketpool_t m_native {};
};

} // namespace acaciafork::net
