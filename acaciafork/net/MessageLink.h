#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Ids.h"
#include "acaciafork/net/Address.h"

namespace acaciafork::net {

class Loop;

/// Bounds of a message link.
struct MessageLinkSettings
{
    /// Most bytes of one message; larger ones are refused on sending and break the connection on
    /// arrival.
    std::int64_t mostMessageBytes = 4LL * 1024 * 1024;
    /// Messages kept for a peer that is slow or away; past it they are dropped.
    std::int64_t sendQueue = 256;
    /// Bytes kept for such a peer; one message is kept whatever its size.
    std::int64_t sendQueueBytes = 6LL * 1024 * 1024;
};

/// What a link has counted since its start.
struct MessageLinkCounts
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t droppedOnSend = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/// Datagrams between the system's own processes, over TCP on the loop: one connection to each peer
/// for what is sent, and those that peers make for what arrives. Messages may be lost; a connection
/// that breaks is made anew.
///
/// On the wire a message is its length, four bytes in little endian, and its bytes.
class MessageLink
{
public:
    /// Gets each message; the bytes are valid during the call.
    using Handler = std::function<void(std::span<const std::byte>)>;

    MessageLink(Loop &loop, MessageLinkSettings settings);
    ~MessageLink();
    MessageLink(const MessageLink &) = delete;
    MessageLink &operator=(const MessageLink &) = delete;

    /// Listens; port 0 lets the system choose.
    /// @return the port
    Result<std::uint16_t> listen(const Address &address);

    /// Adds a peer, or gives a known one another address.
    Result<void> addPeer(ProcessId peer, const Address &address);

    /// Forgets a peer and drops what is queued for it.
    void removePeer(ProcessId peer);

    /// Sends without waiting: within this call where the connection stands and has no backlog.
    /// @return false when the message was dropped: unknown peer, too large, or queue full
    bool send(ProcessId peer, std::span<const std::byte> message);

    /// Sets what gets the messages.
    void onMessage(Handler fn);

    /// What was counted so far.
    [[nodiscard]] const MessageLinkCounts &counts() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciafork::net
