#pragma once

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>

#include "acaciafork/core/Core.h"
#include "wire/peers.pb.h"

namespace acaciafork::peers {

/// Version of the messages; a process drops those of another one.
inline constexpr std::uint32_t messageSchema = 1;

/// Who this process is towards its peers.
struct PeerIdentity
{
    ProcessId process;
    Incarnation incarnation;
    /// Messages of another cluster are dropped.
    std::string cluster;
    CellId cell;
    /// host:port at which this process takes messages.
    std::string address;
};

/// Delays of messages on their way here, beyond the fastest one of the same sender.
struct MessageDelays
{
    std::uint64_t messages = 0;
    Duration sum {};
    Duration longest {};
};

/// Stamps outgoing envelopes and checks incoming ones. The bytes travel over whatever datagrams the
/// process has; messages may be lost, repeated or crossed.
class PeerLink
{
public:
    /// Hands bytes to the transport; may drop them.
    using Transmit = std::function<void(ProcessId to, std::span<const std::byte> bytes)>;
    /// Receives an envelope that passed the checks.
    using Handler = std::function<void(const wire::Envelope &)>;

    PeerLink(PeerIdentity identity, Timeline *timeline, CounterRegistry *counters,
             Transmit transmit, Handler handler);

    /// Stamps the envelope with this process and the time, and sends it.
    /// @param[in,out] envelope its body is set by the caller
    void send(ProcessId to, wire::Envelope *envelope, std::int64_t wallMicroseconds);

    /// Takes bytes that arrived; anything malformed or foreign is counted and dropped.
    void receive(std::span<const std::byte> bytes, std::int64_t wallMicroseconds);

    /// Delays of the messages received since the last call.
    MessageDelays takeDelays() { return std::exchange(m_delays, {}); }

    /// Who this process is.
    [[nodiscard]] const PeerIdentity &identity() const { return m_identity; }

private:
    void noteDelay(ProcessId sender, Duration offset);

    PeerIdentity m_identity;
    Timeline *m_timeline;
    Transmit m_transmit;
    Handler m_handler;
    std::string m_buf;
    Counter *m_sent;
    Counter *m_sentBytes;
    Counter *m_received;
    Counter *m_malformed;
    Counter *m_foreign;
    Histogram *m_delay;
    /// Least difference between the time here and the time of sending, by sender: their clocks
    /// differ by an unknown amount.
    std::unordered_map<ProcessId, Duration> m_leastOffsets;
    MessageDelays m_delays;
};

} // namespace acaciafork::peers
