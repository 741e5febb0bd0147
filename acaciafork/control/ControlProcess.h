#pragma once

#include <map>
#include <memory>
#include <string>

#include "acaciafork/consensus/Consensus.h"
#include "acaciafork/control/ControlNode.h"
#include "acaciafork/control/ControlSettings.h"
#include "acaciafork/control/ControlViews.h"
#include "acaciafork/control/LoopLoad.h"
#include "acaciafork/control/OrderRelay.h"
#include "acaciafork/control/OrderRouter.h"
#include "acaciafork/net/Net.h"
#include "acaciafork/operators/Operators.h"
#include "acaciafork/workers/Workers.h"

namespace acaciafork::control {

/// One control member with its sockets and its data folder.
class ControlProcess : private ControlPorts, private consensus::ReplicaHandler
{
public:
    ControlProcess(net::Loop *loop, const ControlSettings &settings);
    ~ControlProcess() override;
    ControlProcess(const ControlProcess &) = delete;
    ControlProcess &operator=(const ControlProcess &) = delete;

    /// Opens the data folder and every socket, and starts the timers.
    Result<void> start();

    /// Takes the seeds over from settings that have changed. Fails with Failure InvalidArgument.
    Result<void> reload(const ControlSettings &settings);

    /// Hands the leadership on if it has it, then stops the loop.
    void drain();

    /// @name For the binding of another interface beside this process's own
    /// @{
    /// What carries orders to the workers of jobs: those of this member as the leader, whose
    /// answers go to ownAnswers(), and those of another leader, whose answers go to
    /// relayedAnswers(). Set before start().
    void setWorkerOrders(WorkerOrders *own, WorkerOrders *relayed);
    [[nodiscard]] WorkerAnswers *ownAnswers() { return &m_ownAnswers; }
    [[nodiscard]] WorkerAnswers *relayedAnswers() { return &m_orderRelay; }
    /// Takes a worker's report, here or for the leader.
    /// @return false when it must be sent to the leader itself, since its answer has to wait there
    bool takeReport(const jobs::WorkerReport &report, const peers::CallTable::Handler &reply);
    /// Address of the control member to which a worker in the zone should report from now on.
    [[nodiscard]] std::string reportAddress(std::string_view zone) const;
    /// Who is asked which workers may run a step; before start().
    void setAdvisor(PlacementAdvisor *advisor) { m_advisor = advisor; }
    /// host:port under which other members name this one to operators and workers; set before
    /// start().
    void setControlAddress(std::string address) { m_controlAddress = std::move(address); }
    /// True while this member surely leads and its scheduler of jobs works.
    [[nodiscard]] bool leadsJobs() const;
    /// Address of the leader's control interface; empty while unknown.
    [[nodiscard]] std::string leaderControlAddress() const;
    [[nodiscard]] JobDriver &jobs() { return m_node->jobs(); }
    [[nodiscard]] Moment moment() const;
    [[nodiscard]] CounterRegistry &counters() { return m_counters; }
    /// @}

    /// True when the loop was stopped because the data folder can't be written any more.
    [[nodiscard]] bool broken() const { return m_isBroken; }

private:
    using Reply = peers::CallTable::Handler;

    /// Hands answers on to the router, which there is from start() on.
    class OwnAnswers : public WorkerAnswers
    {
    public:
        explicit OwnAnswers(ControlProcess *process)
            : m_process(process)
        { }
        void startAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run) override;
        void stopAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run) override;
        void renewalAnswered(Moment at, WorkerAnswer answer, bool wasImmediate,
                             const jobs::RenewalAnswer *lists) override;

    private:
        ControlProcess *m_process;
    };

    Result<consensus::LogPosition> propose(Timestamp now, std::string command) override;
    [[nodiscard]] bool canActAsLeader(Timestamp now) const override;
    [[nodiscard]] ProcessId leader() const override;
    void callWorker(std::string_view address, const batch::Command &command) override;

    void send(ProcessId to, std::string bytes) override;
    void apply(const consensus::LogPosition &position, std::string_view command) override;
    std::string makeSnapshot() override;
    bool loadSnapshot(std::string_view bytes) override;
    void roleChanged(consensus::Role role, ProcessId leader) override;
    void readReady(consensus::ReadTicket ticket, bool ready) override;

    [[nodiscard]] ProcessId self() const { return m_self; }
    /// Opens the data folder and all that is made for the member whose id it holds.
    Result<void> openMember(std::vector<std::string> seeds);
    void closeMember();
    Result<void> openFolder();
    Result<void> openReplica();
    void findMembers();
    Result<void> listenPeers();
    Result<void> listenOperators();
    Result<void> connectPeers();
    void learnAddress(const wire::Envelope &envelope);
    void onMessage(const wire::Envelope &envelope);
    void onApiRequest(const wire::Envelope &envelope);
    void tick();
    void noteLag(Timestamp now);
    void endIfBroken();
    void showMembership();
    /// Comes back as a new member once the group has displaced this one. The sockets stay open, so
    /// that callers see no more than a follower without state.
    void rejoinIfDisplaced(Timestamp now);
    void rejoin();

    /// Carries a call out here, or passes it to the leader.
    void callApi(const peers::ApiCall &call, const Reply &reply);
    void callApiAsLeader(const peers::ApiCall &call, const Reply &reply);
    bool takeWorkerReport(const peers::ApiCall &call, const Reply &reply);
    bool takeJobCall(const peers::ApiCall &call, const Reply &reply);
    void proposeFor(wire::Command command, const Reply &reply);
    void changeMembers(const operators::MemberChange &change, const Reply &reply);
    void sendRelays();
    void carryOutRelays();

    /// @name Workers of jobs
    /// @{
    void onWorkerReports(const wire::Envelope &envelope);
    /// True when the leader was heard so recently that it surely gets what is sent to it now.
    [[nodiscard]] bool hearsLeader() const;
    [[nodiscard]] bool isHeard(ProcessId member) const;
    void sendReports();
    void updateRelays();
    void endTurn();
    /// @}

    net::Loop *m_loop;
    ControlSettings m_settings;
    ProcessId m_self;
    bool m_mayFound = false;
    std::string m_token;
    WorkerOrders *m_orders = nullptr;
    PlacementAdvisor *m_advisor = nullptr;
    std::string m_controlAddress;
    Incarnation m_incarnation;
    CounterRegistry m_counters;
    std::unique_ptr<Timeline> m_timeline;
    net::MessageLink m_messages;
    workers::WorkerClient m_workers;
    OwnAnswers m_ownAnswers { this };
    std::unique_ptr<OrderRouter> m_router;
    OrderRelay m_orderRelay;
    bool m_isAnswerFlushDue = false;
    /// When each control member's last message arrived here.
    std::map<ProcessId, Timestamp> m_heardAt;
    /// Reports for the leader that have gathered.
    wire::Envelope m_reports;
    Timestamp m_nextReports;
    Timestamp m_nextRelayUpdate;
    std::string m_peersAddress;
    std::string m_operatorsAddress;
    std::unique_ptr<peers::PeerLink> m_link;
    std::unique_ptr<peers::MemberFinder> m_finder;
    std::unique_ptr<ControlNode> m_node;
    std::unique_ptr<ControlViews> m_views;
    std::unique_ptr<operators::OperatorApi> m_api;
    std::unique_ptr<net::HttpServer> m_operators;
    std::unique_ptr<consensus::PosixFolder> m_folder;
    consensus::GroupWriterThread m_writer;
    std::unique_ptr<consensus::Replica> m_replica;
    peers::CallTable m_relays;
    consensus::Membership m_shownMembership;
    consensus::Standing m_shownStanding = consensus::Standing::Outside;
    Timestamp m_nextMembershipLook;
    Timestamp m_nextRejoin;
    bool m_draining = false;
    bool m_isBroken = false;
    Counter *m_committed;
    /// How much later than due the ticks came.
    Histogram *m_lag;
    Timestamp m_tickedAt;
    Timestamp m_nextLagLog;
    LoopLoad m_load;
};

} // namespace acaciafork::control
