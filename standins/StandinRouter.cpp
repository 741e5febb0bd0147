#include "StandinRouter.h"

#include <algorithm>
#include <utility>

namespace acaciafork::standins {

namespace {

// Bytes that wait for a slow caller before the endpoint is read no further.
constexpr std::size_t mostWaitingBytes = 256UL * 1024;

} // namespace

/// One request on its way: passes the answer on as fast as the caller takes it.
class StandinRouter::Session : public endpoints::AttemptSink
{
public:
    Session(StandinRouter &router, AttemptId attempt,
            std::shared_ptr<callers::CallerExchange> exchange)
        : m_router(router)
        , m_attempt(attempt)
        , m_exchange(std::move(exchange))
    {
        m_exchange->onDrained([this] { m_router.m_client.resume(m_attempt); });
        m_exchange->onGone([this] { abandon(); });
    }

    void onHead(const net::HttpHead &head) override
    {
        if (head.status != 101)
            m_exchange->beginAnswer(head.status, head.headers, head.contentLength);
    }

    void onBody(std::string_view bytes) override
    {
        m_exchange->write(bytes);
        m_router.m_mostBacklog = std::max(m_router.m_mostBacklog, m_exchange->backlog());
        if (m_exchange->backlog() > mostWaitingBytes)
            m_router.m_client.pause(m_attempt);
    }

    void onEnd(const endpoints::AttemptEnd &end) override
    {
        const auto self = release();
        if (!end.failure)
            m_exchange->finish();
        else if (end.phase == net::CallPhase::NotConnected)
            m_exchange->answerNotRun(FailureKind::Unreachable, std::chrono::seconds(1));
        else if (end.failure == endpoints::AttemptFailure::Timeout)
            m_exchange->answerUnknown(FailureKind::Timeout);
        else
            m_exchange->answerUnknown(FailureKind::Protocol,
                                      endpoints::attemptFailureName(*end.failure));
    }

    void onUpgraded(std::unique_ptr<net::TcpStream> stream) override;

private:
    std::unique_ptr<Session> release()
    {
        m_exchange->onDrained(nullptr);
        m_exchange->onGone(nullptr);
        auto node = m_router.m_sessions.extract(m_attempt);
        return std::move(node.mapped());
    }

    void abandon()
    {
        m_router.m_client.cancel(m_attempt);
        // The caller's exchange is calling: this object goes in the next turn.
        m_router.m_loop.post([self = std::shared_ptr<Session>(release())] {});
    }

    StandinRouter &m_router;
    AttemptId m_attempt;
    std::shared_ptr<callers::CallerExchange> m_exchange;
};

void StandinRouter::Session::onUpgraded(std::unique_ptr<net::TcpStream> stream)
{
    const std::shared_ptr<Session> self = release();
    auto endpoint = std::make_shared<std::unique_ptr<net::TcpStream>>(std::move(stream));
    const net::Header headers[] = { { .name = "upgrade", .value = "stream" } };
    m_exchange->upgrade(headers, [self, endpoint](std::unique_ptr<net::TcpStream> caller) {
        if (!caller)
            return;
        StandinRouter &router = self->m_router;
        const AttemptId attempt = self->m_attempt;
        auto tunnel = std::make_unique<endpoints::StreamTunnel>(
                std::move(caller), std::move(*endpoint), [&router, attempt](const auto &) {
                    router.m_loop.post([&router, attempt] { router.m_tunnels.erase(attempt); });
                });
        endpoints::StreamTunnel &it = *tunnel;
        router.m_tunnels.emplace(attempt, std::move(tunnel));
        it.start();
    });
}

StandinRouter::StandinRouter(net::Loop &loop, net::Address endpoint,
                             callers::CallerSettings settings)
    : m_loop(loop)
    , m_endpoint(std::move(endpoint))
    , m_client(loop, {})
    , m_server(loop, settings, *this, [this] { return RequestId { ++m_lastRequest }; })
{ }

StandinRouter::~StandinRouter() = default;

void StandinRouter::onCallerRequest(const callers::CallerRequest &request,
                                    std::shared_ptr<callers::CallerExchange> exchange)
{
    const AttemptId attempt { request.id.value };
    auto session = std::make_unique<Session>(*this, attempt, std::move(exchange));
    Session &it = *session;
    m_sessions.emplace(attempt, std::move(session));
    m_client.startAttempt({ .attempt = attempt,
                            .address = m_endpoint,
                            .method = request.method,
                            .path = request.path,
                            .headers = request.headers,
                            .body = request.body,
                            .upgradeProtocol = request.upgradeProtocol,
                            .timeout = request.timeout },
                          it);
}

void StandinRouter::onApi(std::shared_ptr<net::HttpExchange> exchange)
{
    exchange->answerFailure(FailureKind::NotFound, "no such interface");
}

} // namespace acaciafork::standins
