#include "acaciafork/peers/PeerLink.h"

#include <algorithm>

namespace acaciafork::peers {

PeerLink::PeerLink(PeerIdentity identity, Timeline *timeline, CounterRegistry *counters,
                   Transmit transmit, Handler handler)
    : m_identity(std::move(identity))
    , m_timeline(timeline)
    , m_transmit(std::move(transmit))
    , m_handler(std::move(handler))
    , m_sent(&counters->counter("peer_messages_sent_total"))
    , m_sentBytes(&counters->counter("peer_bytes_sent_total"))
    , m_received(&counters->counter("peer_messages_received_total"))
    , m_malformed(&counters->counter("peer_messages_dropped_total{reason=\"malformed\"}"))
    , m_foreign(&counters->counter("peer_messages_dropped_total{reason=\"foreign\"}"))
    , m_delay(&counters->histogram("peer_message_delay_seconds"))
{ }

void PeerLink::send(ProcessId to, wire::Envelope *envelope, std::int64_t wallMicroseconds)
{
    const HybridTime time = m_timeline->clock().next(wallMicroseconds);
    envelope->set_schema(messageSchema);
    envelope->set_cluster(m_identity.cluster);
    envelope->set_cell(m_identity.cell.value);
    envelope->set_sender(m_identity.process.value);
    envelope->set_incarnation(m_identity.incarnation.value);
    envelope->mutable_time()->set_wall_us(time.wallMicroseconds);
    envelope->mutable_time()->set_logical(time.logical);

    // Only these kinds reach processes that may never have heard of this one.
    const bool introduces = envelope->body_case() == wire::Envelope::kEntryHeartbeat
            || envelope->body_case() == wire::Envelope::kIntroduction
            || envelope->body_case() == wire::Envelope::kAgreement;
    if (introduces)
        envelope->set_sender_address(m_identity.address);

    m_buf.clear();
    envelope->AppendToString(&m_buf);
    m_sent->add();
    m_sentBytes->add(static_cast<std::int64_t>(m_buf.size()));
    m_transmit(to, std::as_bytes(std::span(m_buf.data(), m_buf.size())));
}

void PeerLink::receive(std::span<const std::byte> bytes, std::int64_t wallMicroseconds)
{
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || envelope.body_case() == wire::Envelope::BODY_NOT_SET) {
        m_malformed->add();
        return;
    }

    // A process of another cluster, cell or schema must change nothing here.
    const bool ours = envelope.schema() == messageSchema && envelope.cluster() == m_identity.cluster
            && envelope.cell() == m_identity.cell.value && envelope.sender() != 0;
    if (!ours) {
        m_foreign->add();
        return;
    }

    m_received->add();
    noteDelay({ envelope.sender() }, Duration(wallMicroseconds - envelope.time().wall_us()));
    const HybridTime time { .wallMicroseconds = envelope.time().wall_us(),
                            .logical = envelope.time().logical() };
    m_timeline->clock().observe(time, wallMicroseconds);
    m_handler(envelope);
}

void PeerLink::noteDelay(ProcessId sender, Duration offset)
{
    const auto [it, isFirst] = m_leastOffsets.try_emplace(sender, offset);
    it->second = std::min(it->second, offset);
    const Duration delay = offset - it->second;
    m_delay->observe(delay);
    ++m_delays.messages;
    m_delays.sum += delay;
    m_delays.longest = std::max(m_delays.longest, delay);
}

} // namespace acaciafork::peers
