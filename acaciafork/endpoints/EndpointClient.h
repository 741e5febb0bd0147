#pragma once

#include <memory>
#include <unordered_map>

#include "acaciafork/endpoints/Attempt.h"

namespace acaciafork::endpoints {

/// Makes attempts at endpoints and lets only answers through that belong to them.
class EndpointClient
{
public:
    EndpointClient(net::Loop &loop, net::HttpClientSettings settings);
    ~EndpointClient();
    EndpointClient(const EndpointClient &) = delete;
    EndpointClient &operator=(const EndpointClient &) = delete;

    /// Starts an attempt; `sink` hears of it until onEnd() or cancel(). Its id must not be in use.
    void startAttempt(const AttemptRequest &request, AttemptSink &sink);

    /// Reads no more of the answer until resume().
    void pause(AttemptId attempt);

    /// Reads on after pause().
    void resume(AttemptId attempt);

    /// Ends an attempt and its connection; its sink is not called again.
    void cancel(AttemptId attempt);

    /// Closes idle connections to an endpoint that is gone.
    void forget(const net::Address &address) { m_client.forget(address); }

    /// Attempts begun and not ended.
    [[nodiscard]] std::size_t inProgress() const { return m_attempts.size(); }

private:
    class Attempt;

    net::HttpClient m_client;
    std::unordered_map<AttemptId, std::unique_ptr<Attempt>> m_attempts;
};

} // namespace acaciafork::endpoints
