#include "acaciafork/net/MessageLink.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "acaciafork/net/Loop.h"
#include "acaciafork/net/TcpListener.h"
#include "acaciafork/net/TcpStream.h"

namespace acaciafork::net {

namespace {

constexpr Duration connectTimeout = std::chrono::milliseconds(500);
constexpr Duration leastReconnectDelay = std::chrono::milliseconds(50);
constexpr Duration mostReconnectDelay = std::chrono::milliseconds(400);
/// A peer that acknowledges nothing for so long is dialled again: a connection can go silent while
/// new ones work.
constexpr Duration peerTimeout = std::chrono::seconds(1);
/// The same for connections that peers have made, which those end themselves.
constexpr Duration incomingTimeout = std::chrono::seconds(10);
/// Bytes of the length before a message.
constexpr std::size_t headBytes = 4;
constexpr unsigned bitsPerByte = 8;

std::string frameOf(std::span<const std::byte> message)
{
    std::string frame;
    frame.reserve(headBytes + message.size());
    for (std::size_t i = 0; i != headBytes; ++i)
        frame.push_back(static_cast<char>((message.size() >> (bitsPerByte * i)) & 0xffU));
    frame.append(reinterpret_cast<const char *>(message.data()), message.size());
    return frame;
}

/// Length of the message whose frame begins the bytes; none while its head is not whole.
std::optional<std::size_t> lengthOf(std::string_view bytes)
{
    if (bytes.size() < headBytes)
        return std::nullopt;
    std::size_t length = 0;
    for (std::size_t i = 0; i != headBytes; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i]))
                << (bitsPerByte * i);
    return length;
}

} // namespace

/// The connections of a link and who they lead to.
class MessageLink::Impl
{
public:
    /// Where messages are sent.
    struct Peer
    {
        Address address;
        /// Null while there is no connection.
        std::unique_ptr<TcpStream> stream;
        /// Frames that wait for a connection.
        std::deque<std::string> queued;
        std::size_t queuedBytes = 0;
        /// Messages sent since the kernel last took all.
        std::size_t behind = 0;
        /// Number of the dial whose outcome is awaited; 0 for none.
        std::uint64_t dial = 0;
        Duration reconnectDelay = leastReconnectDelay;
        TimerId reconnect;
    };
    /// Connection that a peer has made.
    struct Incoming
    {
        std::unique_ptr<TcpStream> stream;
        /// Start of a frame that is not whole yet.
        std::string buf;
    };

    Impl(Loop &aLoop, MessageLinkSettings aSettings)
        : loop(aLoop)
        , settings(aSettings)
        , listener(aLoop, [this](std::unique_ptr<TcpStream> stream) { accept(std::move(stream)); })
    { }

    ~Impl()
    {
        for (const auto &[id, peer] : peers)
            loop.cancel(peer->reconnect);
    }

    void dial(ProcessId id, Peer *peer);
    void connected(ProcessId id, Peer *peer, std::unique_ptr<TcpStream> stream);
    void lost(ProcessId id, const TcpStream *stream);
    void reconnectLater(ProcessId id, Peer *peer);
    void transmit(Peer *peer, std::string_view frame);
    void accept(std::unique_ptr<TcpStream> stream);
    void take(std::uint64_t connection, std::string_view bytes);
    void drop(std::uint64_t connection);
    /// Destroys a stream after the call-out of its own that may be on the stack.
    void release(std::unique_ptr<TcpStream> stream);

    Loop &loop;
    const MessageLinkSettings settings;
    MessageLinkCounts counts;
    Handler handler;
    std::unordered_map<ProcessId, std::unique_ptr<Peer>> peers;
    std::unordered_map<std::uint64_t, Incoming> incoming;
    std::uint64_t lastNumber = 0;
    TcpListener listener;
    /// Tells calls that the loop still holds that the link is gone.
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

void MessageLink::Impl::dial(ProcessId id, Peer *peer)
{
    const std::uint64_t number = ++lastNumber;
    peer->dial = number;
    TcpStream::connect(
            loop, peer->address,
            [this, id, number, alive = std::weak_ptr(isAlive)](std::unique_ptr<TcpStream> stream) {
                if (alive.expired())
                    return;
                const auto it = peers.find(id);
                if (it != peers.end() && it->second->dial == number)
                    connected(id, it->second.get(), std::move(stream));
            },
            connectTimeout);
}

void MessageLink::Impl::connected(ProcessId id, Peer *peer, std::unique_ptr<TcpStream> stream)
{
    peer->dial = 0;
    if (stream == nullptr) {
        reconnectLater(id, peer);
        return;
    }
    peer->reconnectDelay = leastReconnectDelay;
    peer->behind = 0;
    peer->stream = std::move(stream);
    TcpStream *it = peer->stream.get();
    it->setPeerTimeout(peerTimeout);
    it->onDrained([peer] { peer->behind = 0; });
    it->onBroken([this, id, it] { lost(id, it); });
    // A peer sends nothing here: all that can be read is the end.
    it->onRead([this, id, it](std::string_view bytes) {
        if (bytes.empty())
            lost(id, it);
    });
    std::deque<std::string> frames;
    frames.swap(peer->queued);
    peer->queuedBytes = 0;
    for (const std::string &frame : frames)
        transmit(peer, frame);
}

void MessageLink::Impl::lost(ProcessId id, const TcpStream *stream)
{
    const auto it = peers.find(id);
    if (it == peers.end() || it->second->stream.get() != stream)
        return;
    release(std::move(it->second->stream));
    reconnectLater(id, it->second.get());
}

void MessageLink::Impl::reconnectLater(ProcessId id, Peer *peer)
{
    peer->reconnect = loop.after(peer->reconnectDelay, [this, id, peer] { dial(id, peer); });
    peer->reconnectDelay = std::min(peer->reconnectDelay * 2, mostReconnectDelay);
}

void MessageLink::Impl::transmit(Peer *peer, std::string_view frame)
{
    peer->stream->sendNow(frame);
    if (peer->stream->backlog() > 0)
        ++peer->behind;
}

void MessageLink::Impl::accept(std::unique_ptr<TcpStream> stream)
{
    const std::uint64_t number = ++lastNumber;
    TcpStream *it = stream.get();
    incoming[number].stream = std::move(stream);
    it->setPeerTimeout(incomingTimeout);
    it->onBroken([this, number] { drop(number); });
    it->onRead([this, number](std::string_view bytes) {
        if (bytes.empty())
            drop(number);
        else
            take(number, bytes);
    });
}

void MessageLink::Impl::take(std::uint64_t connection, std::string_view bytes)
{
    std::string &buf = incoming.at(connection).buf;
    const bool isContinued = !buf.empty();
    if (isContinued)
        buf.append(bytes);
    std::string_view rest = isContinued ? std::string_view(buf) : bytes;
    for (auto length = lengthOf(rest); length; length = lengthOf(rest)) {
        if (*length > static_cast<std::size_t>(settings.mostMessageBytes)) {
            drop(connection);
            return;
        }
        if (rest.size() < headBytes + *length)
            break;
        const std::string_view message = rest.substr(headBytes, *length);
        rest.remove_prefix(headBytes + *length);
        ++counts.received;
        counts.bytesReceived += message.size();
        if (handler)
            handler(std::as_bytes(std::span(message.data(), message.size())));
    }
    buf = std::string(rest);
}

void MessageLink::Impl::drop(std::uint64_t connection)
{
    const auto node = incoming.extract(connection);
    if (!node.empty())
        release(std::move(node.mapped().stream));
}

void MessageLink::Impl::release(std::unique_ptr<TcpStream> stream)
{
    stream->close();
    loop.post([it = std::shared_ptr<TcpStream>(std::move(stream))] {});
}

MessageLink::MessageLink(Loop &loop, MessageLinkSettings settings)
    : m_impl(std::make_unique<Impl>(loop, settings))
{ }

MessageLink::~MessageLink() = default;

Result<std::uint16_t> MessageLink::listen(const Address &address)
{
    return m_impl->listener.listen(address);
}

Result<void> MessageLink::addPeer(ProcessId peer, const Address &address)
{
    const auto it = m_impl->peers.find(peer);
    if (it != m_impl->peers.end() && it->second->address == address)
        return {};
    removePeer(peer);
    Impl::Peer *added =
            m_impl->peers.emplace(peer, std::make_unique<Impl::Peer>()).first->second.get();
    added->address = address;
    m_impl->dial(peer, added);
    return {};
}

void MessageLink::removePeer(ProcessId peer)
{
    const auto it = m_impl->peers.find(peer);
    if (it == m_impl->peers.end())
        return;
    m_impl->loop.cancel(it->second->reconnect);
    if (it->second->stream)
        m_impl->release(std::move(it->second->stream));
    m_impl->peers.erase(it);
}

bool MessageLink::send(ProcessId peer, std::span<const std::byte> message)
{
    const auto it = m_impl->peers.find(peer);
    Impl::Peer *to = it == m_impl->peers.end() ? nullptr : it->second.get();
    const auto most = static_cast<std::size_t>(m_impl->settings.sendQueue);
    const auto mostBytes = static_cast<std::size_t>(m_impl->settings.sendQueueBytes);
    const bool isTooLarge =
            message.size() > static_cast<std::size_t>(m_impl->settings.mostMessageBytes);
    const auto isFull = [&] {
        const std::size_t waiting = to->stream ? to->stream->backlog() : to->queuedBytes;
        return to->queued.size() >= most || to->behind >= most
                || (waiting > 0 && waiting + message.size() > mostBytes);
    };
    if (to == nullptr || isTooLarge || isFull()) {
        ++m_impl->counts.droppedOnSend;
        return false;
    }
    std::string frame = frameOf(message);
    if (to->stream) {
        m_impl->transmit(to, frame);
    } else {
        to->queuedBytes += frame.size();
        to->queued.push_back(std::move(frame));
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
