#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "acaciafork/callers/Callers.h"
#include "acaciafork/decisions/routing/Routing.h"
#include "acaciafork/endpoints/Endpoints.h"

namespace acaciafork::entry {

/// What an attempt tells the entry.
class EntryAttemptOwner
{
public:
    virtual ~EntryAttemptOwner() = default;

    /// The answer's head has come; it is held back until forwardTo().
    virtual void attemptHeaders(AttemptId attempt, bool endpointError) = 0;
    /// The attempt has ended; `answered` is true when the whole answer went to the caller.
    virtual void attemptEnded(AttemptId attempt, const routing::AttemptEnd &end) = 0;
};

/// One attempt at an endpoint: holds the answer back until the decision to forward it, then streams
/// it to the caller no faster than the caller takes it.
class EntryAttempt : public endpoints::AttemptSink
{
public:
    EntryAttempt(AttemptId attempt, endpoints::EndpointClient *client, EntryAttemptOwner *owner);

    /// Passes the answer on from its first byte.
    void forwardTo(std::shared_ptr<callers::CallerExchange> exchange);
    /// Nothing of the answer reaches a caller any more; the attempt goes on until it ends. An
    /// answer that has begun is broken off.
    void abandon();
    /// True while the answer goes to a caller.
    [[nodiscard]] bool forwarding() const { return m_exchange != nullptr; }
    /// Phase reached, as the decisions count it.
    [[nodiscard]] routing::AttemptPhase phase() const;
    /// True once the endpoint has switched protocols; such an attempt has no deadline.
    [[nodiscard]] bool upgraded() const { return m_upgraded; }

    void onSent() override { m_sent = true; }
    void onHead(const net::HttpHead &head) override;
    void onBody(std::string_view bytes) override;
    void onUpgraded(std::unique_ptr<net::TcpStream> stream) override;
    void onEnd(const endpoints::AttemptEnd &end) override;

private:
    /// Answer bytes held before the decision, and bytes a slow caller may leave unsent, before the
    /// endpoint is slowed down.
    static constexpr std::size_t mostBacklogBytes = 256UL * 1024;

    void beginAnswer();
    void beginTunnel();
    void pauseIfSlow();
    void resume();

    AttemptId m_attempt;
    endpoints::EndpointClient *m_client;
    EntryAttemptOwner *m_owner;
    std::shared_ptr<callers::CallerExchange> m_exchange;
    std::unique_ptr<net::TcpStream> m_stream;
    std::unique_ptr<endpoints::StreamTunnel> m_tunnel;
    bool m_sent = false;
    bool m_hasHead = false;
    bool m_begun = false;
    bool m_paused = false;
    bool m_abandoned = false;
    bool m_upgraded = false;
    int m_status = 0;
    bool m_saysNotRun = false;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::optional<std::uint64_t> m_contentLength;
    std::string m_held;
};

} // namespace acaciafork::entry
