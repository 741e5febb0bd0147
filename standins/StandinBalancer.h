#pragma once

#include <list>
#include <memory>
#include <vector>

#include "acaciafork/endpoints/StreamTunnel.h"
#include "acaciafork/net/Net.h"

namespace acaciafork::standins {

/// Fake balancer: passes each connection on to the next entry whose health check is good.
class StandinBalancer
{
public:
    StandinBalancer(net::Loop &loop, std::vector<net::Address> entries);

    /// Listens and starts to check the entries.
    /// @return the port
    Result<std::uint16_t> listen(const net::Address &address);

private:
    /// A caller's connection, held while an entry is looked for.
    using CallerHold = std::unique_ptr<net::TcpStream>;

    struct Entry
    {
        net::Address address;
        bool isHealthy = false;
    };

    void check(std::size_t index);
    void accept(std::unique_ptr<net::TcpStream> caller);
    void pass(const std::shared_ptr<CallerHold> &caller, std::size_t triesLeft);
    void join(std::unique_ptr<net::TcpStream> caller, std::unique_ptr<net::TcpStream> entry);

    net::Loop &m_loop;
    net::HttpClient m_client;
    net::TcpListener m_listener;
    std::vector<Entry> m_entries;
    std::size_t m_next = 0;
    std::list<std::unique_ptr<endpoints::StreamTunnel>> m_tunnels;
};

} // namespace acaciafork::standins
