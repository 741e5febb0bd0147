#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <unordered_map>

#include "acaciafork/control/JobPorts.h"
#include "acaciafork/decisions/jobs/RelayTable.h"
#include "wire/peers.pb.h"

namespace acaciafork::control {

/// A control member beside the leader.
struct RelayMember
{
    ProcessId process;
    std::string zone;
    /// When any message of it last arrived.
    Timestamp heardAt;
};

/// Passes the leader's orders on to the control members that carry them to the workers, and the
/// workers' answers to the scheduler. A relay decides nothing: one that is lost, late or doubled
/// leaves orders without an answer, which the scheduler settles from the workers' lists.
class OrderRouter : public WorkerOrders, public WorkerAnswers
{
public:
    /// Sends the orders of one turn to a relay; they may be lost.
    using Send = std::function<void(ProcessId relay, wire::Envelope *orders)>;

    /// @param[in] clockUs reads a clock that includes the time for which the machine was suspended
    OrderRouter(const jobs::RelaySettings &settings, ProcessId self, std::string zone, Send send,
                std::function<std::int64_t()> clockUs, CounterRegistry *counters);

    /// What carries the orders that this member keeps to itself.
    void setLocal(WorkerOrders *local) { m_local = local; }
    /// What gets the answers.
    void setDriver(WorkerAnswers *driver) { m_driver = driver; }

    /// @name Orders of the scheduler
    /// @{
    void start(const jobs::StartRun &order, std::string_view payload, jobs::Tenure tenure) override;
    void stop(const jobs::StopRun &order, jobs::Tenure tenure) override;
    void pace(const jobs::PaceRun &order, jobs::Tenure tenure) override;
    void hold(const jobs::RenewWorkerLease &order, jobs::Tenure tenure) override;
    /// @}

    /// @name Answers to the orders that this member carries itself
    /// @{
    void startAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run) override;
    void stopAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run) override;
    void renewalAnswered(Moment at, WorkerAnswer answer, bool wasImmediate,
                         const jobs::RenewalAnswer *lists) override;
    /// @}

    /// Answers from a relay.
    void answersArrived(Moment at, ProcessId relay, const wire::WorkerAnswers &answers);
    /// Members and workers as the leader knows them now. Every member gets a batch from time to
    /// time, if only an empty one; the orders at one that does not answer count as unanswered. At
    /// the beginning of a tenure a member that was heard counts as one that has answered, so that
    /// the leader does not connect to all workers itself.
    void update(Moment at, jobs::Tenure tenure, std::span<const RelayMember> members,
                std::size_t workers);
    /// Orders of a turn follow.
    void beginTurn(Moment at) { m_now = at.now; }
    /// Sends what has gathered; at the end of a turn.
    void flush();
    /// Ends the orders that have waited too long.
    void expire(Moment at);

    /// Orders at relays without an answer.
    [[nodiscard]] std::size_t outstanding() const { return m_outstanding.size(); }

private:
    /// Kinds of orders that get an answer.
    enum class Kind : std::uint8_t { Start, Stop, Renewal, ImmediateRenewal };

    /// An order at a relay.
    struct Outstanding
    {
        Kind kind = Kind::Start;
        ProcessId relay;
        WorkerAnswer answer;
        jobs::RunKey run;
        Timestamp sentAt;
        Timestamp deadline;
    };

    [[nodiscard]] ProcessId relayOf(const jobs::OrderTarget &target) const;
    /// True for a member that carries orders already, or has answered long enough to begin.
    [[nodiscard]] bool isSteady(Timestamp now, const RelayMember &member) const;
    wire::WorkerOrders *batchFor(ProcessId relay, jobs::Tenure tenure);
    /// Message for an order to be filled in, in the batch of its relay.
    wire::WorkerOrder *add(ProcessId relay, jobs::Tenure tenure);
    void track(Kind kind, ProcessId relay, const jobs::OrderTarget &target, jobs::Tenure tenure,
               const jobs::RunKey &run, Duration timeout);
    /// Tells the driver the outcome of an order.
    void settle(Moment at, const Outstanding &order, jobs::OrderOutcome outcome,
                jobs::RenewalAnswer *lists);
    template <typename Predicate>
    void endUnanswered(Moment at, Predicate isOver);

    jobs::RelayTable m_relays;
    ProcessId m_self;
    Send m_send;
    std::function<std::int64_t()> m_clockUs;
    WorkerOrders *m_local = nullptr;
    WorkerAnswers *m_driver = nullptr;
    Timestamp m_now;
    jobs::Tenure m_tenure;
    Timestamp m_tenureBeganAt;
    std::uint64_t m_lastOrder = 0;
    std::int64_t m_lastSentUs = 0;
    std::size_t m_shownRelays = 1;
    std::map<ProcessId, wire::Envelope> m_batches;
    std::unordered_map<std::uint64_t, Outstanding> m_outstanding;
    /// When each member last got a batch, when it last answered one, and since when its answers
    /// have come without a gap.
    std::map<ProcessId, Timestamp> m_sentAt;
    std::map<ProcessId, Timestamp> m_answeredAt;
    std::map<ProcessId, Timestamp> m_steadySince;
    Counter *m_relayed;
    Counter *m_unanswered;
    Counter *m_members;
};

} // namespace acaciafork::control
