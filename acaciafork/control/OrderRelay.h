#pragma once

#include <cstdint>
#include <functional>
#include <set>

#include "acaciafork/control/JobPorts.h"
#include "wire/peers.pb.h"

namespace acaciafork::control {

/// Settings of a relay.
struct OrderRelaySettings
{
    /// Orders that took this much longer on their way than the fastest ones are not carried out:
    /// their sender counts them as unanswered and may have given later orders.
    Duration maxDelay = std::chrono::milliseconds(300);
};

/// Carries orders of the leader to workers, and their answers back. Keeps no state but the orders
/// in progress; see OrderRouter for the leader's side.
class OrderRelay : public WorkerAnswers
{
public:
    /// Sends answers to the leader; they may be lost.
    using Send = std::function<void(ProcessId leader, wire::Envelope *answers)>;

    OrderRelay(const OrderRelaySettings &settings, Send send, CounterRegistry *counters);

    /// What carries the orders to the workers; its answers come back here.
    void setOrders(WorkerOrders *orders) { m_orders = orders; }

    /// Orders from a leader.
    /// @param[in] clockUs reading of the clock that the orders' time refers to, on this machine
    void ordersArrived(ProcessId leader, const wire::WorkerOrders &orders, std::int64_t clockUs);

    /// @name Answers of workers
    /// @{
    void startAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run) override;
    void stopAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run) override;
    void renewalAnswered(Moment at, WorkerAnswer answer, bool wasImmediate,
                         const jobs::RenewalAnswer *lists) override;
    /// @}

    /// True when answers have gathered.
    [[nodiscard]] bool hasAnswers() const { return m_answers.has_worker_answers(); }
    /// Sends the answers that have gathered.
    void flush();

private:
    [[nodiscard]] bool isLate(const wire::WorkerOrders &orders, std::int64_t clockUs);
    /// True for a batch that has arrived before.
    [[nodiscard]] bool isDoubled(const wire::WorkerOrders &orders);
    wire::WorkerAnswer *add(const WorkerAnswer &answer);

    OrderRelaySettings m_settings;
    Send m_send;
    WorkerOrders *m_orders = nullptr;
    ProcessId m_leader;
    jobs::Tenure m_tenure;
    /// Least difference between the clocks of the two machines at an arrival in this tenure, with
    /// what they may have drifted apart since.
    std::int64_t m_leastOffsetUs = 0;
    /// This machine's clock when drift was last allowed for.
    std::int64_t m_driftedUs = 0;
    /// Times at which the latest batches were sent.
    std::set<std::int64_t> m_recentUs;
    wire::Envelope m_answers;
    Counter *m_carried;
    Counter *m_superseded;
    Counter *m_doubled;
    Counter *m_late;
};

} // namespace acaciafork::control
