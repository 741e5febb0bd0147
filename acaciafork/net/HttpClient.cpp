#include "acaciafork/net/HttpClient.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include <spdlog/spdlog.h>

#include "acaciafork/net/HttpClientImpl.h"
#include "acaciafork/net/TcpStream.h"

namespace acaciafork::net {

namespace {

// Bound that h2o keeps on each step of a call. Ours are set for each call; a stream may be idle for
// hours, so this one is as good as none.
constexpr std::uint64_t noIoTimeoutMs = 1'000ULL * 3'600 * 24 * 365;

/// At the limit on connections, one in so many is closed.
constexpr std::size_t roomShare = 8;
constexpr Duration budgetLogInterval = std::chrono::seconds(10);

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
    onEnd({ .phase = CallPhase::Headers,
            .failure = Failure { FailureKind::Protocol, "protocol switched unasked" } });
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
    m_pools.clear();
    h2o_timeout_dispose(loop.native(), &m_ioTimeout);
}

AddressPool *HttpClient::Impl::poolFor(const Address &address)
{
    auto it = m_pools.find(address);
    if (it == m_pools.end()) {
        sockaddr_storage storage;
        const auto length = toSocketAddress(address, &storage);
        if (length == 0)
            return nullptr;
        it = m_pools.emplace(address,
                             std::make_unique<AddressPool>(loop, storage, length, settings))
                     .first;
    }
    it->second->lastCall = ++m_lastCall;
    return it->second.get();
}

void HttpClient::Impl::forget(const Address &address)
{
    // Connections of calls in progress point to the pool, so it goes only when there are none.
    const auto it = m_pools.find(address);
    if (it == m_pools.end())
        return;
    if (!it->second->isUnused()) {
        loop.after(std::chrono::seconds(1), [this, address, isAlive = std::weak_ptr(m_isAlive)] {
            if (!isAlive.expired())
                forget(address);
        });
        return;
    }
    m_pools.erase(it);
}

std::size_t HttpClient::Impl::countConnections() const
{
    std::size_t open = 0;
    for (const auto &[address, pool] : m_pools)
        open += pool->open();
    return open;
}

bool HttpClient::Impl::makeRoom(const AddressPool &pool)
{
    const auto most = static_cast<std::size_t>(settings.mostConnections);
    if (most == 0 || pool.hasIdle())
        return true;
    if (m_openAtMost >= most) {
        m_openAtMost = countConnections();
        if (m_openAtMost >= most)
            closeUnused();
    }
    if (m_openAtMost < most) {
        ++m_openAtMost;
        return true;
    }
    ++counts.callsRefused;
    return false;
}

void HttpClient::Impl::closeUnused()
{
    // Some room at once, since the search looks at every address.
    const auto most = static_cast<std::size_t>(settings.mostConnections);
    const std::size_t wanted = most - most / roomShare;
    std::vector<AddressPool *> idle;
    for (const auto &[address, pool] : m_pools) {
        if (pool->hasIdle())
            idle.push_back(pool.get());
    }
    std::ranges::sort(idle, {}, &AddressPool::lastCall);
    for (AddressPool *it : idle) {
        if (m_openAtMost <= wanted)
            break;
        const std::size_t before = it->open();
        it->closeIdle();
        m_openAtMost -= std::min(before - it->open(), m_openAtMost);
        ++counts.poolsClosed;
    }
    const Timestamp now = Loop::now();
    if (now < m_nextBudgetLog)
        return;
    m_nextBudgetLog = now + budgetLogInterval;
    spdlog::warn("event=connection-limit-reached limit={} open={} addresses={} refused={}", most,
                 m_openAtMost, m_pools.size(), counts.callsRefused);
}

void HttpClient::Impl::beginNext(AddressPool *pool)
{
    if (!pool->hasWaiting())
        return;
    // The pool stays while calls wait in it.
    loop.post([pool, isAlive = std::weak_ptr(m_isAlive)] {
        if (isAlive.expired())
            return;
        while (const auto call = pool->next())
            call->connect();
    });
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

std::size_t HttpClient::connections() const
{
    return m_impl->countConnections();
}

const HttpClientCounts &HttpClient::counts() const
{
    return m_impl->counts;
}

} // namespace acaciafork::net
