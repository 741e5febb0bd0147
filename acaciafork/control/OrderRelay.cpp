#include "acaciafork/control/OrderRelay.h"

#include <algorithm>

#include <spdlog/spdlog.h>

#include "acaciafork/control/OrderCodec.h"

namespace acaciafork::control {
namespace {

/// Bound on how much faster one machine's clock runs than another's, in parts per million.
constexpr std::int64_t maxDriftPpm = 200;
/// The bound applies to no more than this much time between two arrivals: a leader sends several
/// batches a second, and after a long sleep all that was sent during it is late.
constexpr std::int64_t longestDriftUs = 1'000'000;

} // namespace

OrderRelay::OrderRelay(const OrderRelaySettings &settings, Send send, CounterRegistry *counters)
    : m_settings(settings)
    , m_send(std::move(send))
    , m_carried(&counters->counter("relay_orders_total{outcome=\"carried\"}"))
    , m_superseded(&counters->counter("relay_orders_total{outcome=\"superseded\"}"))
    , m_doubled(&counters->counter("relay_orders_total{outcome=\"doubled\"}"))
    , m_late(&counters->counter("relay_orders_total{outcome=\"late\"}"))
{ }

bool OrderRelay::isLate(const wire::WorkerOrders &orders, std::int64_t clockUs)
{
    // The clocks of the two machines differ by an unknown amount, and the orders that were fastest
    // on their way come closest to it. As the clocks drift apart, earlier ones say less and less.
    const std::int64_t offsetUs = clockUs - orders.sent_us();
    const std::int64_t sinceUs = std::min(clockUs - m_driftedUs, longestDriftUs);
    const std::int64_t driftUs = sinceUs * maxDriftPpm / 1'000'000;
    m_leastOffsetUs = std::min(m_leastOffsetUs + driftUs, offsetUs);
    if (driftUs > 0)
        m_driftedUs = clockUs;
    return Duration(offsetUs - m_leastOffsetUs) > m_settings.maxDelay;
}

bool OrderRelay::isDoubled(const wire::WorkerOrders &orders)
{
    // A batch is known by its time. Those that were sent well before the newest one are late.
    if (!m_recentUs.insert(orders.sent_us()).second)
        return true;
    const std::int64_t oldestUs = *m_recentUs.rbegin() - 2 * m_settings.maxDelay.count();
    m_recentUs.erase(m_recentUs.begin(), m_recentUs.lower_bound(oldestUs));
    return false;
}

void OrderRelay::ordersArrived(ProcessId leader, const wire::WorkerOrders &orders,
                               std::int64_t clockUs)
{
    if (m_orders == nullptr || orders.tenure() < m_tenure.value) {
        m_superseded->add(orders.orders_size());
        return;
    }
    if (orders.tenure() > m_tenure.value) {
        m_answers.Clear();
        m_tenure = { orders.tenure() };
        m_leader = leader;
        m_leastOffsetUs = clockUs - orders.sent_us();
        m_driftedUs = clockUs;
        m_recentUs.clear();
        spdlog::info("event=relay-began leader={} tenure={}", leader.value, m_tenure.value);
    }
    if (isLate(orders, clockUs)) {
        m_late->add(orders.orders_size());
        spdlog::warn("event=relay-orders-late leader={} orders={} delay-ms={}", leader.value,
                     orders.orders_size(), (clockUs - orders.sent_us() - m_leastOffsetUs) / 1000);
        return;
    }
    if (isDoubled(orders)) {
        m_doubled->add(orders.orders_size());
        return;
    }
    m_carried->add(orders.orders_size());
    // An empty batch asks whether this relay still answers.
    m_answers.mutable_worker_answers()->set_tenure(m_tenure.value);
    for (const wire::WorkerOrder &it : orders.orders()) {
        switch (it.body_case()) {
        case wire::WorkerOrder::kStart:
            m_orders->start(decodeStart(it), it.start().payload(), m_tenure);
            break;
        case wire::WorkerOrder::kStop:
            m_orders->stop(decodeStop(it), m_tenure);
            break;
        case wire::WorkerOrder::kPace:
            m_orders->pace(decodePace(it), m_tenure);
            break;
        case wire::WorkerOrder::kRenewal:
            m_orders->hold(decodeRenewal(it), m_tenure);
            break;
        default:
            break;
        }
    }
}

wire::WorkerAnswer *OrderRelay::add(const WorkerAnswer &answer)
{
    wire::WorkerAnswers *answers = m_answers.mutable_worker_answers();
    answers->set_tenure(m_tenure.value);
    wire::WorkerAnswer *message = answers->add_answers();
    message->set_number(answer.order);
    message->set_outcome(static_cast<std::uint32_t>(answer.outcome));
    return message;
}

void OrderRelay::startAnswered(Moment, WorkerAnswer answer, const jobs::RunKey &)
{
    if (answer.tenure == m_tenure)
        add(answer);
}

void OrderRelay::stopAnswered(Moment, WorkerAnswer answer, const jobs::RunKey &)
{
    if (answer.tenure == m_tenure)
        add(answer);
}

void OrderRelay::renewalAnswered(Moment, WorkerAnswer answer, bool,
                                 const jobs::RenewalAnswer *lists)
{
    if (answer.tenure != m_tenure)
        return;
    wire::WorkerAnswer *message = add(answer);
    if (answer.outcome == jobs::OrderOutcome::Done)
        encodeLists(*lists, message->mutable_lists());
}

void OrderRelay::flush()
{
    if (!hasAnswers())
        return;
    m_send(m_leader, &m_answers);
    m_answers.Clear();
}

} // namespace acaciafork::control
