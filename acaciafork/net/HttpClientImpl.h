#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

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
    h2o_socketpool_t *poolFor(const Address &address);
    void forget(const Address &address);

    Loop &loop;
    const HttpClientSettings settings;
    h2o_http1client_ctx_t context {};
    std::unordered_map<HttpCall *, std::shared_ptr<HttpCall>> calls;
    /// Calls whose head came in this turn.
    std::vector<std::shared_ptr<HttpCall>> withNewHead;

private:
    void watchReads();

    std::unordered_map<Address, h2o_socketpool_t *> m_pools;
    h2o_timeout_t m_ioTimeout {};
    /// Tells the function at the end of each turn that the client is gone.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace acaciafork::net
