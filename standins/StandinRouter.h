#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "acaciafork/callers/Callers.h"
#include "acaciafork/endpoints/Endpoints.h"

namespace acaciafork::standins {

/// Fake entry without any policy: passes every request on to one endpoint, once. It carries the
/// path from callers to endpoints in tests and measurements.
class StandinRouter : public callers::CallerHandler
{
public:
    StandinRouter(net::Loop &loop, net::Address endpoint, callers::CallerSettings settings = {});
    ~StandinRouter() override;
    StandinRouter(const StandinRouter &) = delete;
    StandinRouter &operator=(const StandinRouter &) = delete;

    /// The callers' interface, to listen on and to drain.
    callers::CallerServer &server() { return m_server; }

    /// Requests passed on and not ended.
    [[nodiscard]] std::size_t inProgress() const { return m_sessions.size(); }

    /// Streams open now.
    [[nodiscard]] std::size_t streams() const { return m_tunnels.size(); }

    /// Most bytes of answers held at one time for one slow caller.
    [[nodiscard]] std::size_t mostBacklog() const { return m_mostBacklog; }

    void onCallerRequest(const callers::CallerRequest &request,
                         std::shared_ptr<callers::CallerExchange> exchange) override;
    void onApi(std::shared_ptr<net::HttpExchange> exchange) override;
    callers::HealthAnswer health() override { return { .isReady = true, .state = "ready" }; }
    std::string metrics() override { return {}; }

private:
    class Session;

    net::Loop &m_loop;
    net::Address m_endpoint;
    endpoints::EndpointClient m_client;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_mostBacklog = 0;
    std::unordered_map<AttemptId, std::unique_ptr<Session>> m_sessions;
    std::unordered_map<AttemptId, std::unique_ptr<endpoints::StreamTunnel>> m_tunnels;
    callers::CallerServer m_server;
};

} // namespace acaciafork::standins
