#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/net/Address.h"
#include "acaciafork/net/HttpTypes.h"

namespace acaciafork::net {

class HttpCall;
class Loop;
class TcpStream;

/// How far a call came. Before Sent the peer cannot have begun the work.
enum class CallPhase : std::uint8_t {
    NotConnected, ///< no connection; no byte of the request has left
    Sent, ///< the request is on its way; it may or may not have arrived
    Headers, ///< the head of the answer has arrived
    Body, ///< some of the body has arrived
    Complete, ///< the whole answer has arrived
};

/// Stable lower-case name of a phase, such as "not-connected".
std::string_view callPhaseName(CallPhase phase);

/// Bounds of an HTTP client.
struct HttpClientSettings
{
    /// Longest time for a connection to stand.
    Duration connectTimeout = std::chrono::seconds(1);
    /// How long an idle connection is kept for the next call.
    Duration idleTimeout = std::chrono::seconds(30);
    /// Most idle connections kept to one address.
    std::int64_t mostIdlePerAddress = 1'000;
    /// Most calls in progress at one address, and so most connections to it; later calls wait for
    /// their turn. Zero is no limit.
    std::int64_t mostCallsPerAddress = 0;
    /// Most connections to all addresses. At the limit, idle connections to the addresses that were
    /// not called for longest are closed; a call that still finds no room fails as Overloaded
    /// before it is sent. Zero is no limit.
    std::int64_t mostConnections = 0;
    /// Bytes of an answer that the kernel may hold for a connection; a paused call reads no more.
    std::int64_t receiveBufferBytes = 256LL * 1024;
    /// Most bytes of an answer that call() collects.
    std::int64_t mostCollectedBytes = 16LL * 1024 * 1024;
};

/// Request of a client. The client copies all of it.
struct HttpRequest
{
    Address address;
    std::string_view method = "GET";
    /// Path with the query.
    std::string_view target = "/";
    std::span<const Header> headers;
    std::string_view body;
    /// Longest time to the end of the answer; zero is none.
    Duration timeout = std::chrono::seconds(30);
    /// Longest time to the head of the answer; zero is none.
    Duration headTimeout = Duration::zero();
    /// Longest time without a byte of the body while the call is not paused; zero is none.
    Duration stallTimeout = Duration::zero();
};

/// Head of an answer; its views are valid during the call that shows it.
struct HttpHead
{
    int status = 0;
    std::span<const Header> headers;
    std::optional<std::uint64_t> contentLength;
};

/// How a call ended.
struct CallEnd
{
    CallPhase phase = CallPhase::NotConnected;
    /// Absent exactly when the answer arrived whole.
    std::optional<Failure> failure;
};

/// What a call shows its owner, who outlives it or cancels it.
class HttpCallSink
{
public:
    virtual ~HttpCallSink() = default;

    /// The connection stands and the request leaves now.
    virtual void onSent() { }
    /// The head is there. False drops the answer and its connection; onEnd() follows with Protocol.
    virtual bool onHead(const HttpHead &head) = 0;
    /// The next bytes of the body.
    virtual void onBody(std::string_view bytes) = 0;
    /// The end; nothing follows it.
    virtual void onEnd(const CallEnd &end) = 0;
    /// The peer has switched protocols: its socket, in place of body and end. A sink that takes
    /// none gets the end instead, with Protocol.
    virtual void onUpgraded(std::unique_ptr<TcpStream> stream);
};

/// What a client has counted since its start.
struct HttpClientCounts
{
    /// Idle connections' addresses closed, and calls refused, at the limit on connections.
    std::uint64_t poolsClosed = 0;
    std::uint64_t callsRefused = 0;
};

/// Whole answer of HttpClient::call().
struct HttpReply
{
    CallEnd end;
    int status = 0;
    std::string body;
};

/// HTTP/1.1 client with kept connections for each address, over h2o's.
class HttpClient
{
public:
    HttpClient(Loop &loop, HttpClientSettings settings);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call and shows it to `sink`. On a kept connection onSent() comes before this
    /// returns; all else comes from the next turn on.
    /// @return the call, to pause or cancel; the client keeps it until its end
    std::shared_ptr<HttpCall> start(const HttpRequest &request, HttpCallSink &sink);

    /// Makes a call and collects its answer.
    void call(const HttpRequest &request, std::function<void(const HttpReply &)> fn);

    /// Closes the idle connections to an address and forgets it once its calls have ended.
    void forget(const Address &address);

    /// Calls begun and not ended.
    [[nodiscard]] std::size_t inProgress() const;

    /// Connections that are open or being made.
    [[nodiscard]] std::size_t connections() const;

    [[nodiscard]] const HttpClientCounts &counts() const;

private:
    friend class HttpCall;
    class Impl;

    std::shared_ptr<HttpCall> start(const HttpRequest &request, HttpCallSink &sink,
                                    std::shared_ptr<HttpCallSink> ownSink);

    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciafork::net
