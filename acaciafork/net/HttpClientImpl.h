#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "acaciafork/net/AddressPool.h"
#include "acaciafork/net/H2o.h"
#include "acaciafork/net/HttpCall.h"
#include "acaciafork/net/HttpClient.h"

namespace acaciafork::net {

/// The work behind HttpClient: connections kept for each address, and the calls in progress.
class HttpClient::Impl
{
public:
    Impl(Loop &loop, HttpClientSettings settings);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    /// Connections to the address, or null when it is no IP number.
    AddressPool *poolFor(const Address &address);
    void forget(const Address &address);
    /// Makes room for one more connection to the pool's address if it has no idle one.
    /// @return false when the limit is reached and no connection is idle
    bool makeRoom(const AddressPool &pool);
    /// Begins waiting calls of the pool in the next turn: the connection that has just become free
    /// is back in the pool by then.
    void beginNext(AddressPool *pool);
    [[nodiscard]] std::size_t countConnections() const;

    Loop &loop;
    const HttpClientSettings settings;
    h2o_http1client_ctx_t context {};
    std::unordered_map<HttpCall *, std::shared_ptr<HttpCall>> calls;
    /// Calls whose head came in this turn.
    std::vector<std::shared_ptr<HttpCall>> withNewHead;
    HttpClientCounts counts;

private:
    void watchReads();
    void closeUnused();

    std::unordered_map<Address, std::unique_ptr<AddressPool>> m_pools;
    std::uint64_t m_lastCall = 0;
    /// Upper bound of the open connections: those that have ended since the last count are in it.
    std::size_t m_openAtMost = 0;
    Timestamp m_nextBudgetLog;
    h2o_timeout_t m_ioTimeout {};
    /// Tells the function at the end of each turn that the client is gone.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace acaciafork::net
