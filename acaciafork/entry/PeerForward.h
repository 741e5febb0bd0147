#pragma once

#include <functional>
#include <memory>
#include <string>

#include "acaciafork/callers/Callers.h"
#include "acaciafork/decisions/routing/Routing.h"
#include "acaciafork/net/Net.h"

namespace acaciafork::entry {

/// Header that marks a request as passed on by an entry; it is not passed on again.
inline constexpr std::string_view forwardedHeader = "acaciafork-forwarded";

/// One request passed to a peer entry, and its answer streamed back.
class PeerForward : public net::HttpCallSink
{
public:
    /// Hears of the end once; may not destroy this object within the call.
    using Ended = std::function<void(routing::ForwardOutcome)>;

    PeerForward(std::shared_ptr<callers::CallerExchange> exchange, Ended ended);

    /// Sends the request.
    void start(net::HttpClient *client, const net::Address &address,
               const callers::CallerRequest &request, Duration timeout);
    /// Ends the call; the caller has gone.
    void cancel();

    bool onHead(const net::HttpHead &head) override;
    void onBody(std::string_view bytes) override;
    void onEnd(const net::CallEnd &end) override;

private:
    static constexpr std::size_t mostBacklogBytes = 256UL * 1024;

    std::shared_ptr<callers::CallerExchange> m_exchange;
    Ended m_ended;
    std::shared_ptr<net::HttpCall> m_call;
    routing::ForwardOutcome m_outcome = routing::ForwardOutcome::Unknown;
    bool m_begun = false;
};

} // namespace acaciafork::entry
