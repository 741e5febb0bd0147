#include "acaciafork/endpoints/EndpointClient.h"

#include <charconv>
#include <string>
#include <utility>
#include <vector>

#include "acaciafork/core/Assert.h"

namespace acaciafork::endpoints {

namespace {

AttemptFailure failureOf(const net::CallEnd &end)
{
    if (end.phase == net::CallPhase::NotConnected)
        return AttemptFailure::NotConnected;
    if (end.failure->kind == FailureKind::Timeout)
        return AttemptFailure::Timeout;
    return AttemptFailure::Lost;
}

bool isAnswerOf(AttemptId attempt, std::span<const net::Header> headers)
{
    const std::string_view text = net::findHeader(headers, attemptHeader);
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return !text.empty() && ec == std::errc() && end == text.data() + text.size()
            && n == attempt.value;
}

} // namespace

std::string_view attemptFailureName(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotConnected:
        return "not-connected";
    case AttemptFailure::Timeout:
        return "timeout";
    case AttemptFailure::Lost:
        return "lost";
    case AttemptFailure::Mismatched:
        return "mismatched-attempt";
    case AttemptFailure::Malformed:
        return "malformed";
    case AttemptFailure::NotUpgraded:
        return "not-upgraded";
    }
    return "unknown";
}

void AttemptSink::onUpgraded(std::unique_ptr<net::TcpStream> stream)
{
    stream->reset();
}

/// One attempt between the HTTP client and its owner.
class EndpointClient::Attempt : public net::HttpCallSink
{
public:
    Attempt(EndpointClient &client, const AttemptRequest &request, AttemptSink &sink)
        : m_client(client)
        , m_sink(sink)
        , m_isStream(!request.upgradeProtocol.empty())
    {
        m_end.attempt = request.attempt;
    }

    void start(const AttemptRequest &request);
    void pause() { m_call->pause(); }
    void resume() { m_call->resume(); }
    void cancel()
    {
        ACACIAFORK_ASSERT(m_call != nullptr);
        m_call->cancel();
    }

    void onSent() override { m_sink.onSent(); }
    bool onHead(const net::HttpHead &head) override;
    void onBody(std::string_view bytes) override;
    void onEnd(const net::CallEnd &end) override;
    void onUpgraded(std::unique_ptr<net::TcpStream> stream) override;

private:
    /// Takes this object out of the client; it lives until the holder goes.
    std::unique_ptr<Attempt> release();

    EndpointClient &m_client;
    AttemptSink &m_sink;
    AttemptEnd m_end;
    bool m_isStream;
    std::optional<AttemptFailure> m_refusal;
    std::shared_ptr<net::HttpCall> m_call;
};

void EndpointClient::Attempt::start(const AttemptRequest &request)
{
    const std::string id = std::to_string(request.attempt.value);
    std::vector<net::Header> headers;
    headers.reserve(request.headers.size() + 4);
    for (const auto &it : request.headers) {
        if (!net::isHopHeader(it.name) && !net::sameHeaderName(it.name, attemptHeader))
            headers.push_back(it);
    }
    headers.push_back({ .name = attemptHeader, .value = id });
    if (m_isStream) {
        headers.push_back({ .name = "connection", .value = "upgrade" });
        headers.push_back({ .name = "upgrade", .value = request.upgradeProtocol });
    }
    m_call = m_client.m_client.start({ .address = request.address,
                                       .method = request.method,
                                       .target = request.path,
                                       .headers = headers,
                                       .body = request.body,
                                       .timeout = Duration::zero(),
                                       .headTimeout = request.timeout,
                                       .stallTimeout = request.stallTimeout },
                                     *this);
}

bool EndpointClient::Attempt::onHead(const net::HttpHead &head)
{
    // An answer that does not name this attempt may be late, repeated or another's: its connection
    // cannot be trusted with anything that follows.
    if (!isAnswerOf(m_end.attempt, head.headers)) {
        m_refusal = AttemptFailure::Mismatched;
        return false;
    }
    m_end.status = head.status;
    if ((head.status == 101) != m_isStream && (head.status == 101 || head.status < 300)) {
        m_refusal = AttemptFailure::NotUpgraded;
        return false;
    }
    m_sink.onHead(head);
    return true;
}

void EndpointClient::Attempt::onBody(std::string_view bytes)
{
    m_end.bodyBytes += bytes.size();
    m_sink.onBody(bytes);
}

void EndpointClient::Attempt::onEnd(const net::CallEnd &end)
{
    const auto self = release();
    m_end.phase = end.phase;
    if (end.failure)
        m_end.failure = m_refusal ? *m_refusal : failureOf(end);
    m_sink.onEnd(m_end);
}

void EndpointClient::Attempt::onUpgraded(std::unique_ptr<net::TcpStream> stream)
{
    const auto self = release();
    m_sink.onUpgraded(std::move(stream));
}

std::unique_ptr<EndpointClient::Attempt> EndpointClient::Attempt::release()
{
    auto node = m_client.m_attempts.extract(m_end.attempt);
    return std::move(node.mapped());
}

EndpointClient::EndpointClient(net::Loop &loop, net::HttpClientSettings settings)
    : m_client(loop, settings)
{ }

EndpointClient::~EndpointClient()
{
    for (const auto &[id, attempt] : m_attempts)
        attempt->cancel();
}

void EndpointClient::startAttempt(const AttemptRequest &request, AttemptSink &sink)
{
    auto attempt = std::make_unique<Attempt>(*this, request, sink);
    Attempt &it = *attempt;
    const bool isNew = m_attempts.emplace(request.attempt, std::move(attempt)).second;
    ACACIAFORK_ASSERT(isNew);
    it.start(request);
}

void EndpointClient::pause(AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it != m_attempts.end())
        it->second->pause();
}

void EndpointClient::resume(AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it != m_attempts.end())
        it->second->resume();
}

void EndpointClient::cancel(AttemptId attempt)
{
    auto node = m_attempts.extract(attempt);
    if (!node.empty())
        node.mapped()->cancel();
}

} // namespace acaciafork::endpoints
