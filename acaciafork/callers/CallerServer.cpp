#include "acaciafork/callers/CallerServer.h"

#include <utility>

#include "acaciafork/core/Counters.h"

namespace acaciafork::callers {

namespace {

constexpr std::string_view apiPrefix = "/acaciafork/v1/";

} // namespace

CallerServer::CallerServer(net::Loop &loop, CallerSettings settings, CallerHandler &handler,
                           std::function<RequestId()> nextId)
    : m_settings(settings)
    , m_handler(handler)
    , m_nextId(std::move(nextId))
    , m_server(loop, settings.server,
               [this](const std::shared_ptr<net::HttpExchange> &it) { route(it); })
{ }

void CallerServer::route(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const std::string_view target = exchange->target();
    if (target == "/healthz") {
        const HealthAnswer health = m_handler.health();
        exchange->answer(health.isReady ? 200 : 503, {}, health.state);
    } else if (target == "/metrics") {
        const net::Header type { .name = "content-type", .value = prometheusContentType };
        exchange->answer(200, { &type, 1 }, m_handler.metrics());
    } else if (target.starts_with(apiPrefix)) {
        m_handler.onApi(exchange);
    } else {
        routeCaller(exchange);
    }
}

void CallerServer::routeCaller(const std::shared_ptr<net::HttpExchange> &exchange)
{
    auto answer = std::make_shared<CallerExchange>(exchange, m_nextId());
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(request, parseCallerRequest(*exchange, m_settings));
                request.id = answer->id();
                request.arrivedAt = net::Loop::now();
                m_handler.onCallerRequest(request, answer);
                return {};
            },
            [&](const Failure &failure) { answer->answerRefused(failure.kind, failure.detail); },
            [&] { answer->answerRefused(FailureKind::Internal, "request not parsed"); });
}

} // namespace acaciafork::callers
