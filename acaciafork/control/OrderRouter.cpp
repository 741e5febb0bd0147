#include "acaciafork/control/OrderRouter.h"

#include <algorithm>
#include <vector>

#include <spdlog/spdlog.h>

#include "acaciafork/control/OrderCodec.h"

namespace acaciafork::control {
namespace {

/// Longest wait of a relay for the answer to an order, apart from what the order itself allows.
constexpr Duration workerTimeout = std::chrono::milliseconds(800);
/// Time that an order and its answer take between the leader and its relay.
constexpr Duration relayMargin = std::chrono::milliseconds(200);
/// A member begins to carry orders once it has answered for this long without such a gap.
constexpr Duration steadyTime = std::chrono::seconds(1);
constexpr Duration longestAnswerGap = std::chrono::milliseconds(400);
/// A member that got no orders for this long gets an empty batch.
constexpr Duration probeInterval = std::chrono::milliseconds(200);

} // namespace

OrderRouter::OrderRouter(const jobs::RelaySettings &settings, ProcessId self, std::string zone,
                         Send send, std::function<std::int64_t()> clockUs,
                         CounterRegistry *counters)
    : m_relays(settings, self, std::move(zone))
    , m_self(self)
    , m_send(std::move(send))
    , m_clockUs(std::move(clockUs))
    , m_relayed(&counters->counter("worker_orders_relayed_total"))
    , m_unanswered(&counters->counter("worker_orders_relay_unanswered_total"))
    , m_members(&counters->counter("worker_order_relays", MetricKind::Gauge))
{ }

ProcessId OrderRouter::relayOf(const jobs::OrderTarget &target) const
{
    return m_relays.relayOf(target.zone, target.name.value);
}

wire::WorkerOrder *OrderRouter::add(ProcessId relay, jobs::Tenure tenure)
{
    m_relayed->add();
    return batchFor(relay, tenure)->add_orders();
}

wire::WorkerOrders *OrderRouter::batchFor(ProcessId relay, jobs::Tenure tenure)
{
    wire::WorkerOrders *orders = m_batches[relay].mutable_worker_orders();
    orders->set_tenure(tenure.value);
    return orders;
}

void OrderRouter::track(Kind kind, ProcessId relay, const jobs::OrderTarget &target,
                        jobs::Tenure tenure, const jobs::RunKey &run, Duration timeout)
{
    m_outstanding.emplace(target.order,
                          Outstanding { .kind = kind,
                                        .relay = relay,
                                        .answer = { .worker = target.worker,
                                                    .tenure = tenure,
                                                    .order = target.order,
                                                    .life = target.life },
                                        .run = run,
                                        .sentAt = m_now,
                                        .deadline = m_now + timeout + relayMargin });
}

// ---- orders

void OrderRouter::start(const jobs::StartRun &order, std::string_view payload, jobs::Tenure tenure)
{
    const ProcessId relay = relayOf(order.target);
    if (relay == m_self) {
        m_local->start(order, payload, tenure);
        return;
    }
    wire::WorkerOrder *message = add(relay, tenure);
    jobs::OrderTarget target = order.target;
    target.order = ++m_lastOrder;
    encodeOrder(order, payload, message);
    message->set_number(target.order);
    track(Kind::Start, relay, target, tenure, order.run, order.timeout);
}

void OrderRouter::stop(const jobs::StopRun &order, jobs::Tenure tenure)
{
    const ProcessId relay = relayOf(order.target);
    if (relay == m_self) {
        m_local->stop(order, tenure);
        return;
    }
    jobs::OrderTarget target = order.target;
    target.order = ++m_lastOrder;
    wire::WorkerOrder *message = add(relay, tenure);
    encodeOrder(order, message);
    message->set_number(target.order);
    track(Kind::Stop, relay, target, tenure, order.run, workerTimeout);
}

void OrderRouter::pace(const jobs::PaceRun &order, jobs::Tenure tenure)
{
    const ProcessId relay = relayOf(order.target);
    if (relay == m_self)
        m_local->pace(order, tenure);
    else
        encodeOrder(order, add(relay, tenure));
}

void OrderRouter::hold(const jobs::RenewWorkerLease &order, jobs::Tenure tenure)
{
    const ProcessId relay = relayOf(order.target);
    if (relay == m_self) {
        m_local->hold(order, tenure);
        return;
    }
    jobs::OrderTarget target = order.target;
    target.order = ++m_lastOrder;
    wire::WorkerOrder *message = add(relay, tenure);
    encodeOrder(order, message);
    message->set_number(target.order);
    track(order.isImmediate ? Kind::ImmediateRenewal : Kind::Renewal, relay, target, tenure, {},
          order.wait + workerTimeout);
}

// ---- answers

void OrderRouter::startAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run)
{
    m_driver->startAnswered(at, answer, run);
}

void OrderRouter::stopAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run)
{
    m_driver->stopAnswered(at, answer, run);
}

void OrderRouter::renewalAnswered(Moment at, WorkerAnswer answer, bool wasImmediate,
                                  const jobs::RenewalAnswer *lists)
{
    m_driver->renewalAnswered(at, answer, wasImmediate, lists);
}

void OrderRouter::settle(Moment at, const Outstanding &order, jobs::OrderOutcome outcome,
                         jobs::RenewalAnswer *lists)
{
    WorkerAnswer answer = order.answer;
    answer.outcome = outcome;
    switch (order.kind) {
    case Kind::Start:
        m_driver->startAnswered(at, answer, order.run);
        break;
    case Kind::Stop:
        m_driver->stopAnswered(at, answer, order.run);
        break;
    case Kind::Renewal:
    case Kind::ImmediateRenewal:
        lists->sentAt = order.sentAt;
        m_driver->renewalAnswered(at, answer, order.kind == Kind::ImmediateRenewal, lists);
        break;
    }
}

void OrderRouter::answersArrived(Moment at, ProcessId relay, const wire::WorkerAnswers &answers)
{
    const auto [answered, isFirst] = m_answeredAt.try_emplace(relay, at.now);
    if (isFirst || at.now - answered->second > longestAnswerGap)
        m_steadySince[relay] = at.now;
    answered->second = at.now;
    for (const wire::WorkerAnswer &it : answers.answers()) {
        // An answer that comes after its order was given up, or a second time, finds nothing; one
        // to an order of an earlier leader may have the number of another order.
        const auto found = m_outstanding.find(it.number());
        if (found == m_outstanding.end() || found->second.answer.tenure.value != answers.tenure())
            continue;
        const auto node = m_outstanding.extract(found);
        jobs::OrderOutcome outcome = decodeOutcome(it.outcome());
        const Kind kind = node.mapped().kind;
        const bool needsLists = kind == Kind::Renewal || kind == Kind::ImmediateRenewal;
        if (needsLists && outcome == jobs::OrderOutcome::Done && !it.has_lists())
            outcome = jobs::OrderOutcome::Unanswered;
        jobs::RenewalAnswer lists;
        leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_ASSIGN(lists, decodeLists(it.lists()));
                    return {};
                },
                [&](const Failure &failure) {
                    spdlog::warn("event=relayed-lists-unreadable relay={} detail=\"{}\"",
                                 relay.value, failure.detail);
                    outcome = jobs::OrderOutcome::Unanswered;
                },
                [&] { outcome = jobs::OrderOutcome::Unanswered; });
        settle(at, node.mapped(), outcome, &lists);
    }
}

template <typename Predicate>
void OrderRouter::endUnanswered(Moment at, Predicate isOver)
{
    std::vector<Outstanding> over;
    for (auto it = m_outstanding.begin(); it != m_outstanding.end();) {
        if (!isOver(it->second)) {
            ++it;
            continue;
        }
        over.push_back(it->second);
        it = m_outstanding.erase(it);
    }
    for (const Outstanding &it : over) {
        m_unanswered->add();
        jobs::RenewalAnswer none;
        settle(at, it, jobs::OrderOutcome::Unanswered, &none);
    }
}

bool OrderRouter::isSteady(Timestamp now, const RelayMember &member) const
{
    // A member that comes back may be lost again at once: its orders would all go unanswered.
    const auto steady = m_steadySince.find(member.process);
    const bool isTenureNew = now - m_tenureBeganAt < steadyTime;
    return m_relays.isLive(member.process) || isTenureNew
            || (steady != m_steadySince.end() && now - steady->second >= steadyTime);
}

void OrderRouter::update(Moment at, jobs::Tenure tenure, std::span<const RelayMember> members,
                         std::size_t workers)
{
    m_now = at.now;
    if (tenure != m_tenure) {
        m_tenure = tenure;
        m_tenureBeganAt = at.now;
        m_answeredAt.clear();
        m_steadySince.clear();
    }
    std::vector<jobs::RelayCandidate> candidates;
    for (const RelayMember &it : members) {
        const auto answered = m_answeredAt.find(it.process);
        const Timestamp since = answered != m_answeredAt.end()
                ? answered->second
                : std::min(it.heardAt, m_tenureBeganAt);
        if (isSteady(at.now, it))
            candidates.push_back({ .process = it.process, .zone = it.zone, .answeredAt = since });
        if (m_relays.isInUse(workers) && at.now - m_sentAt[it.process] >= probeInterval)
            batchFor(it.process, tenure);
    }
    m_relays.update(at.now, candidates, workers);
    m_members->set(static_cast<std::int64_t>(m_relays.size()));
    if (m_relays.size() != m_shownRelays) {
        m_shownRelays = m_relays.size();
        spdlog::info("event=relays-changed members={} workers={} outstanding={}", m_shownRelays,
                     workers, m_outstanding.size());
    }
    endUnanswered(at, [this](const Outstanding &it) { return !m_relays.isLive(it.relay); });
}

void OrderRouter::expire(Moment at)
{
    endUnanswered(at, [&](const Outstanding &it) { return at.now >= it.deadline; });
}

void OrderRouter::flush()
{
    if (m_batches.empty())
        return;
    // A relay tells batches apart by the time at which they were sent.
    m_lastSentUs = std::max(m_clockUs(), m_lastSentUs + 1);
    for (auto &[relay, envelope] : m_batches) {
        envelope.mutable_worker_orders()->set_sent_us(m_lastSentUs);
        m_sentAt[relay] = m_now;
        m_send(relay, &envelope);
    }
    m_batches.clear();
}

} // namespace acaciafork::control
