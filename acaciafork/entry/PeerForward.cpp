#include "acaciafork/entry/PeerForward.h"

namespace acaciafork::entry {

PeerForward::PeerForward(std::shared_ptr<callers::CallerExchange> exchange, Ended ended)
    : m_exchange(std::move(exchange))
    , m_ended(std::move(ended))
{ }

void PeerForward::start(net::HttpClient *client, const net::Address &address,
                        const callers::CallerRequest &request, Duration timeout)
{
    std::vector<net::Header> headers;
    const std::string timeoutText =
            std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
    for (const net::Header &it : request.headers) {
        const bool replaced = net::isHopHeader(it.name)
                || net::sameHeaderName(it.name, "acaciafork-timeout-ms")
                || net::sameHeaderName(it.name, "content-length");
        if (!replaced)
            headers.push_back(it);
    }
    headers.push_back({ .name = "acaciafork-timeout-ms", .value = timeoutText });
    headers.push_back({ .name = forwardedHeader, .value = "1" });

    const std::string target = '/' + std::string(request.service) + std::string(request.path);
    m_call = client->start({ .address = address,
                             .method = request.method,
                             .target = target,
                             .headers = headers,
                             .body = request.body,
                             .timeout = timeout },
                           *this);
}

void PeerForward::cancel()
{
    m_call->cancel();
}

bool PeerForward::onHead(const net::HttpHead &head)
{
    const std::string_view outcome = net::findHeader(head.headers, "acaciafork-outcome");
    if (outcome == "not-run")
        m_outcome = routing::ForwardOutcome::NotRun;
    if (outcome != "answered")
        return true;

    // The peer's own headers give way to ours, which beginAnswer() adds.
    std::vector<net::Header> headers;
    for (const net::Header &it : head.headers) {
        const bool isPeers = net::sameHeaderName(it.name, "acaciafork-outcome")
                || net::sameHeaderName(it.name, "acaciafork-request-id");
        if (!isPeers)
            headers.push_back(it);
    }
    m_outcome = routing::ForwardOutcome::Answered;
    m_begun = true;
    m_exchange->beginAnswer(head.status, headers, head.contentLength);
    m_exchange->onDrained([this] { m_call->resume(); });
    return true;
}

void PeerForward::onBody(std::string_view bytes)
{
    if (!m_begun)
        return;
    m_exchange->write(bytes);
    if (m_exchange->backlog() > mostBacklogBytes)
        m_call->pause();
}

void PeerForward::onEnd(const net::CallEnd &end)
{
    if (end.failure) {
        m_outcome = end.phase == net::CallPhase::NotConnected ? routing::ForwardOutcome::NotRun
                                                              : routing::ForwardOutcome::Unknown;
        if (m_begun)
            m_exchange->abort();
    } else if (m_begun) {
        m_exchange->finish();
    }
    m_ended(m_outcome);
}

} // namespace acaciafork::entry
