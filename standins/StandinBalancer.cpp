#include "StandinBalancer.h"

#include <utility>

namespace acaciafork::standins {

namespace {

constexpr Duration checkPeriod = std::chrono::milliseconds(200);
constexpr Duration checkTimeout = std::chrono::milliseconds(500);

} // namespace

StandinBalancer::StandinBalancer(net::Loop &loop, std::vector<net::Address> entries)
    : m_loop(loop)
    , m_client(loop, {})
    , m_listener(loop, [this](std::unique_ptr<net::TcpStream> it) { accept(std::move(it)); })
{
    for (auto &it : entries)
        m_entries.push_back({ .address = std::move(it) });
}

Result<std::uint16_t> StandinBalancer::listen(const net::Address &address)
{
    for (std::size_t i = 0; i != m_entries.size(); ++i) {
        check(i);
        m_loop.every(checkPeriod, [this, i] { check(i); });
    }
    return m_listener.listen(address);
}

void StandinBalancer::check(std::size_t index)
{
    m_client.call(
            { .address = m_entries[index].address, .target = "/healthz", .timeout = checkTimeout },
            [this, index](const net::HttpReply &reply) {
                m_entries[index].isHealthy = !reply.end.failure && reply.status == 200;
            });
}

void StandinBalancer::accept(std::unique_ptr<net::TcpStream> caller)
{
    pass(std::make_shared<CallerHold>(std::move(caller)), m_entries.size());
}

// Tries one healthy entry after the other until one takes the connection.
void StandinBalancer::pass(const std::shared_ptr<CallerHold> &caller, std::size_t triesLeft)
{
    for (; triesLeft != 0; --triesLeft) {
        const Entry &entry = m_entries[m_next++ % m_entries.size()];
        if (!entry.isHealthy)
            continue;
        net::TcpStream::connect(m_loop, entry.address,
                                [=, this](std::unique_ptr<net::TcpStream> it) {
                                    if (it)
                                        join(std::move(*caller), std::move(it));
                                    else
                                        pass(caller, triesLeft - 1);
                                });
        return;
    }
    (*caller)->reset();
}

void StandinBalancer::join(std::unique_ptr<net::TcpStream> caller,
                           std::unique_ptr<net::TcpStream> entry)
{
    const auto place = m_tunnels.emplace(m_tunnels.end());
    *place = std::make_unique<endpoints::StreamTunnel>(
            std::move(caller), std::move(entry), [this, place](const endpoints::TunnelEnd &) {
                m_loop.post([this, place] { m_tunnels.erase(place); });
            });
    (*place)->start();
}

} // namespace acaciafork::standins
