#include "acaciafork/net/HttpClient.h"

#include <sys/socket.h>

#include <utility>

#include "acaciafork/net/HttpClientImpl.h"
#include "acaciafork/net/TcpStream.h"

namespace acaciafork::net {

namespace {

// Bound that h2o keeps on each step of a call. Ours are set for each call; a stream may be idle for
// hours, so this one is as good as none.
constexpr std::uint64_t noIoTimeoutMs = 1'000ULL * 3'600 * 24 * 365;

/// Collects an answer for HttpClient::call().
class Collector : public HttpCallSink
{
public:
    Collector(std::size_t most, std::function<void(const HttpReply &)> fn)
        : m_most(most)
        , m_fn(std::move(fn))
    { }

    bool onHead(const HttpHead &head) override
    {
        m_reply.status = head.status;
        return !head.contentLength || *head.contentLength <= m_most;
    }

    void onBody(std::string_view bytes) override
    {
        m_isOver = m_isOver || m_reply.body.size() + bytes.size() > m_most;
        if (!m_isOver)
            m_reply.body.append(bytes);
    }

    void onEnd(const CallEnd &end) override
    {
        m_reply.end = end;
        if (m_isOver && !end.failure)
            m_reply.end.failure = Failure { FailureKind::TooLarge, "answer over the bound" };
        m_fn(m_reply);
    }

private:
    std::size_t m_most;
    std::function<void(const HttpReply &)> m_fn;
    HttpReply m_reply;
    bool m_isOver = false;
};

} // namespace

std::string_view callPhaseName(CallPhase phase)
{
    switch (phase) {
    case CallPhase::NotConnected:
        return "not-connected";
    case CallPhase::Sent:
        return "sent";
    case CallPhase::Headers:
        return "headers";
    case CallPhase::Body:
        return "body";
    case CallPhase::Complete:
        return "complete";
    }
    return "unknown";
}

void HttpCallSink::onUpgraded(std::unique_ptr<TcpStream> stream)
{
    stream->reset();
}

HttpClient::Impl::Impl(Loop &aLoop, HttpClientSettings aSettings)
    : loop(aLoop)
    , settings(aSettings)
{
    h2o_timeout_init(loop.native(), &m_ioTimeout, noIoTimeoutMs);
    context.loop = loop.native();
    context.io_timeout = &m_ioTimeout;
    context.websocket_timeout = &m_ioTimeout;
    loop.onTurnEnd([this, isAlive = std::weak_ptr(m_isAlive)] {
        if (!isAlive.expired())
            watchReads();
    });
}

void HttpClient::Impl::watchReads()
{
    for (const auto &it : withNewHead)
        it->watchReads();
    withNewHead.clear();
}

HttpClient::Impl::~Impl()
{
    const auto open = std::move(calls);
    calls.clear();
    for (const auto &[raw, call] : open)
        call->cancel();
    for (const auto &[address, pool] : m_pools) {
        h2o_socketpool_dispose(pool);
        delete pool;
    }
    h2o_timeout_dispose(loop.native(), &m_ioTimeout);
}

h2o_socketpool_t *HttpClient::Impl::poolFor(const Address &address)
{
    const auto it = m_pools.find(address);
    if (it != m_pools.end())
        return it->second;
    sockaddr_storage storage;
    const auto length = toSocketAddress(address, &storage);
    if (length == 0)
        return nullptr;
    auto *pool = new h2o_socketpool_t {};
    h2o_socketpool_init_by_address(pool, reinterpret_cast<sockaddr *>(&storage), length, 0,
                                   static_cast<std::size_t>(settings.mostIdlePerAddress));
    h2o_socketpool_set_timeout(pool, loop.native(),
                               static_cast<std::uint64_t>(settings.idleTimeout.count() / 1'000));
    m_pools.emplace(address, pool);
    return pool;
}

void HttpClient::Impl::forget(const Address &address)
{
    // Connections of calls in progress point to the pool, so it goes only when there are none.
    const auto it = m_pools.find(address);
    if (it == m_pools.end())
        return;
    for (const auto &[raw, call] : calls) {
        if (call->m_client != nullptr && call->m_client->sockpool.pool == it->second) {
            loop.after(std::chrono::seconds(1), [this, address] { forget(address); });
            return;
        }
    }
    h2o_socketpool_dispose(it->second);
    delete it->second;
    m_pools.erase(it);
}

HttpClient::HttpClient(Loop &loop, HttpClientSettings settings)
    : m_impl(std::make_unique<Impl>(loop, settings))
{ }

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::start(const HttpRequest &request, HttpCallSink &sink)
{
    return start(request, sink, nullptr);
}

std::shared_ptr<HttpCall> HttpClient::start(const HttpRequest &request, HttpCallSink &sink,
                                            std::shared_ptr<HttpCallSink> ownSink)
{
    auto call = std::shared_ptr<HttpCall>(new HttpCall(&sink));
    call->m_ownSink = std::move(ownSink);
    call->m_owner = m_impl.get();
    m_impl->calls.emplace(call.get(), call);
    call->begin(request, m_impl->poolFor(request.address));
    return call;
}

void HttpClient::call(const HttpRequest &request, std::function<void(const HttpReply &)> fn)
{
    const auto most = static_cast<std::size_t>(m_impl->settings.mostCollectedBytes);
    const auto collector = std::make_shared<Collector>(most, std::move(fn));
    start(request, *collector, collector);
}

void HttpClient::forget(const Address &address)
{
    m_impl->forget(address);
}

std::size_t HttpClient::inProgress() const
{
    return m_impl->calls.size();
}

} // namespace acaciafork::net
