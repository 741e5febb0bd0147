#include "acaciafork/entry/EntryAttempt.h"

namespace acaciafork::entry {
namespace {

constexpr int firstEndpointErrorStatus = 500;

/// How a failure of the endpoint's connection counts for the decisions.
routing::AttemptOutcome outcomeOf(const endpoints::AttemptEnd &end)
{
    using endpoints::AttemptFailure;
    using routing::AttemptOutcome;
    switch (*end.failure) {
    case AttemptFailure::NotConnected:
        return AttemptOutcome::ConnectFailed;
    case AttemptFailure::Timeout:
        return AttemptOutcome::Timeout;
    case AttemptFailure::Mismatched:
    case AttemptFailure::Malformed:
        return AttemptOutcome::MismatchedAttempt;
    case AttemptFailure::NotUpgraded:
        return AttemptOutcome::EndpointError;
    default:
        return end.phase >= net::CallPhase::Headers ? AttemptOutcome::Truncated
                                                    : AttemptOutcome::Reset;
    }
}

} // namespace

EntryAttempt::EntryAttempt(AttemptId attempt, endpoints::EndpointClient *client,
                           EntryAttemptOwner *owner)
    : m_attempt(attempt)
    , m_client(client)
    , m_owner(owner)
{ }

void EntryAttempt::forwardTo(std::shared_ptr<callers::CallerExchange> exchange)
{
    if (m_abandoned)
        return;
    m_exchange = std::move(exchange);
    if (m_upgraded)
        beginTunnel();
    else if (m_hasHead)
        beginAnswer();
}

void EntryAttempt::abandon()
{
    m_abandoned = true;
    if (m_exchange && m_begun)
        m_exchange->abort();
    m_exchange.reset();
    m_held.clear();
    resume();
}

routing::AttemptPhase EntryAttempt::phase() const
{
    if (m_begun)
        return routing::AttemptPhase::Body;
    if (m_hasHead)
        return routing::AttemptPhase::Headers;
    return m_sent ? routing::AttemptPhase::Sent : routing::AttemptPhase::NotSent;
}

void EntryAttempt::onHead(const net::HttpHead &head)
{
    m_sent = true;
    m_hasHead = true;
    m_status = head.status;
    m_contentLength = head.contentLength;
    m_saysNotRun = net::findHeader(head.headers, "acaciafork-outcome") == "not-run";
    for (const net::Header &it : head.headers)
        m_headers.emplace_back(it.name, it.value);
    // An endpoint that did not begin the work gives no answer for the caller: the attempt's end
    // alone decides.
    if (m_abandoned || m_saysNotRun)
        return;
    m_owner->attemptHeaders(m_attempt, head.status >= firstEndpointErrorStatus);
}

void EntryAttempt::onBody(std::string_view bytes)
{
    if (m_abandoned)
        return;
    if (!m_exchange) {
        m_held += bytes;
        if (m_held.size() > mostBacklogBytes && !m_paused) {
            m_paused = true;
            m_client->pause(m_attempt);
        }
        return;
    }
    m_exchange->write(bytes);
    pauseIfSlow();
}

void EntryAttempt::onUpgraded(std::unique_ptr<net::TcpStream> stream)
{
    m_sent = true;
    m_hasHead = true;
    m_upgraded = true;
    m_stream = std::move(stream);
    if (m_abandoned) {
        m_stream->reset();
        m_owner->attemptEnded(m_attempt,
                              { .phase = phase(), .outcome = routing::AttemptOutcome::Reset });
        return;
    }
    m_owner->attemptHeaders(m_attempt, false);
}

void EntryAttempt::onEnd(const endpoints::AttemptEnd &end)
{
    routing::AttemptEnd ended { .phase = phase() };
    if (end.failure) {
        ended.outcome = outcomeOf(end);
        if (m_exchange && m_begun)
            m_exchange->abort();
    } else {
        ended.connectionKept = true;
        if (m_saysNotRun)
            ended.outcome = routing::AttemptOutcome::RefusedNotRun;
        else if (m_status >= firstEndpointErrorStatus)
            ended.outcome = routing::AttemptOutcome::EndpointError;
        if (m_exchange)
            m_exchange->finish();
    }
    m_owner->attemptEnded(m_attempt, ended);
}

void EntryAttempt::beginAnswer()
{
    std::vector<net::Header> headers;
    headers.reserve(m_headers.size());
    for (const auto &[name, value] : m_headers)
        headers.push_back({ .name = name, .value = value });
    m_begun = true;
    m_exchange->beginAnswer(m_status, headers, m_contentLength);
    m_exchange->onDrained([this] { resume(); });
    if (!m_held.empty()) {
        m_exchange->write(m_held);
        m_held.clear();
    }
    resume();
    pauseIfSlow();
}

void EntryAttempt::beginTunnel()
{
    m_begun = true;
    m_exchange->upgrade({}, [this](std::unique_ptr<net::TcpStream> caller) {
        if (!caller) {
            m_stream->reset();
            m_owner->attemptEnded(m_attempt,
                                  { .phase = routing::AttemptPhase::Body,
                                    .outcome = routing::AttemptOutcome::Reset });
            return;
        }
        m_tunnel = std::make_unique<endpoints::StreamTunnel>(
                std::move(caller), std::move(m_stream), [this](const endpoints::TunnelEnd &end) {
                    const auto outcome = end.isClean ? routing::AttemptOutcome::Ok
                                                     : routing::AttemptOutcome::Reset;
                    m_owner->attemptEnded(
                            m_attempt,
                            { .phase = routing::AttemptPhase::Body, .outcome = outcome });
                });
        m_tunnel->start();
    });
}

void EntryAttempt::pauseIfSlow()
{
    if (m_paused || m_exchange->backlog() <= mostBacklogBytes)
        return;
    m_paused = true;
    m_client->pause(m_attempt);
}

void EntryAttempt::resume()
{
    if (!m_paused)
        return;
    m_paused = false;
    m_client->resume(m_attempt);
}

} // namespace acaciafork::entry
