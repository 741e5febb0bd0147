#include "acaciafork/net/MessageLink.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>

#include <spdlog/spdlog.h>

#include "acaciafork/core/Assert.h"
#include "acaciafork/net/Loop.h"

namespace acaciafork::net {

namespace {

constexpr nng_duration leastReconnectMs = 100;
constexpr nng_duration mostReconnectMs = 1'000;
// Messages handed on in one turn, so that a burst of them does not hold up requests.
constexpr int messagesPerTurn = 256;

/// Longest wait for the listening socket to be closed; it takes less than a millisecond.
constexpr std::chrono::seconds closeTimeout(1);

/// Between the end of accepting or dialling and that of the socket: handshakes of connections just
/// made, which take a round trip, are over by then.
constexpr std::chrono::milliseconds settleTime(50);

/// Closes a socket on a thread of its own, once `endConnecting` has stopped new connections.
/// nng_close() of nng 1.5.2 can wait for ever, seen where a connection was made or ended at the
/// same moment; neither the loop nor the end of a process may wait with it.
template <typename EndConnecting>
std::future<void> closeApart(nng_socket socket, EndConnecting endConnecting)
{
    const auto closed = std::make_shared<std::promise<void>>();
    std::thread([socket, endConnecting, closed] {
        endConnecting();
        std::this_thread::sleep_for(settleTime);
        nng_close(socket);
        closed->set_value();
    }).detach();
    return closed->get_future();
}

std::string urlOf(const Address &address)
{
    return "tcp://" + address.toString();
}

} // namespace

/// The sockets of nng and who they lead to.
class MessageLink::Impl
{
public:
    struct Peer
    {
        nng_socket socket;
        nng_dialer dialer;
        Address address;

        void close() const
        {
            closeApart(socket, [it = dialer] { nng_dialer_close(it); });
        }
    };

    Impl(Loop &aLoop, MessageLinkSettings aSettings)
        : loop(aLoop)
        , settings(aSettings)
    { }

    ~Impl()
    {
        for (const auto &[id, peer] : peers)
            peer.close();
        if (!isListening)
            return;
        loop.unwatch(watch);
        // Whoever listens there next finds the port free.
        const auto closed = closeApart(incoming, [it = listener] { nng_listener_close(it); });
        if (closed.wait_for(closeTimeout) != std::future_status::ready)
            spdlog::warn("event=link-not-closed timeout-ms={}",
                         std::chrono::milliseconds(closeTimeout).count());
    }

    void drainIncoming();

    Loop &loop;
    const MessageLinkSettings settings;
    MessageLinkCounts counts;
    Handler handler;
    std::unordered_map<ProcessId, Peer> peers;
    nng_socket incoming = NNG_SOCKET_INITIALIZER;
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    bool isListening = false;
    WatchId watch;
};

// The receive descriptor is readable as long as messages wait; what is left over wakes the loop
// again.
void MessageLink::Impl::drainIncoming()
{
    for (int i = 0; i != messagesPerTurn; ++i) {
        nng_msg *msg = nullptr;
        if (nng_recvmsg(incoming, &msg, NNG_FLAG_NONBLOCK) != 0)
            return;
        ++counts.received;
        counts.bytesReceived += nng_msg_len(msg);
        if (handler)
            handler({ static_cast<const std::byte *>(nng_msg_body(msg)), nng_msg_len(msg) });
        nng_msg_free(msg);
    }
}

MessageLink::MessageLink(Loop &loop, MessageLinkSettings settings)
    : m_impl(std::make_unique<Impl>(loop, settings))
{ }

MessageLink::~MessageLink() = default;

Result<std::uint16_t> MessageLink::listen(const Address &address)
{
    ACACIAFORK_ASSERT(!m_impl->isListening);
    nng_socket &socket = m_impl->incoming;
    if (nng_pull0_open(&socket) != 0)
        return fail(FailureKind::Internal, "cannot open a receiving socket");
    nng_socket_set_int(socket, NNG_OPT_RECVBUF, static_cast<int>(m_impl->settings.receiveQueue));
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ,
                        static_cast<std::size_t>(m_impl->settings.mostMessageBytes));

    nng_listener &listener = m_impl->listener;
    const int rc = nng_listen(socket, urlOf(address).c_str(), &listener, 0);
    int port = address.port;
    int fd = -1;
    if (rc != 0 || nng_socket_get_int(socket, NNG_OPT_RECVFD, &fd) != 0) {
        nng_close(socket);
        return fail(FailureKind::Unreachable,
                    "cannot listen on " + address.toString() + ": " + nng_strerror(rc));
    }
    if (port == 0)
        nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    m_impl->isListening = true;
    m_impl->watch = m_impl->loop.watchReadable(fd, [this] { m_impl->drainIncoming(); });
    return static_cast<std::uint16_t>(port);
}

Result<void> MessageLink::addPeer(ProcessId peer, const Address &address)
{
    const auto it = m_impl->peers.find(peer);
    if (it != m_impl->peers.end() && it->second.address == address)
        return {};
    removePeer(peer);

    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_push0_open(&socket) != 0)
        return fail(FailureKind::Internal, "cannot open a sending socket");
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, static_cast<int>(m_impl->settings.sendQueue));
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, leastReconnectMs);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, mostReconnectMs);
    nng_dialer dialer = NNG_DIALER_INITIALIZER;
    const int rc = nng_dial(socket, urlOf(address).c_str(), &dialer, NNG_FLAG_NONBLOCK);
    if (rc != 0) {
        nng_close(socket);
        return fail(FailureKind::InvalidArgument,
                    "cannot dial " + address.toString() + ": " + nng_strerror(rc));
    }
    m_impl->peers.emplace(peer,
                          Impl::Peer { .socket = socket, .dialer = dialer, .address = address });
    return {};
}

void MessageLink::removePeer(ProcessId peer)
{
    const auto it = m_impl->peers.find(peer);
    if (it == m_impl->peers.end())
        return;
    it->second.close();
    m_impl->peers.erase(it);
}

bool MessageLink::send(ProcessId peer, std::span<const std::byte> message)
{
    const auto it = m_impl->peers.find(peer);
    const bool isTooLarge =
            message.size() > static_cast<std::size_t>(m_impl->settings.mostMessageBytes);
    // nng only reads the bytes; its interface is in C.
    if (it == m_impl->peers.end() || isTooLarge
        || nng_send(it->second.socket, const_cast<std::byte *>(message.data()), message.size(),
                    NNG_FLAG_NONBLOCK)
                != 0) {
        ++m_impl->counts.droppedOnSend;
        return false;
    }
    ++m_impl->counts.sent;
    m_impl->counts.bytesSent += message.size();
    return true;
}

void MessageLink::onMessage(Handler fn)
{
    m_impl->handler = std::move(fn);
}

const MessageLinkCounts &MessageLink::counts() const
{
    return m_impl->counts;
}

} // namespace acaciafork::net
