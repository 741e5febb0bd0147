#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "acaciafork/control/BatchDriver.h"
#include "acaciafork/control/ControlPorts.h"
#include "acaciafork/control/EntryRegistry.h"
#include "acaciafork/control/JobDriver.h"
#include "acaciafork/control/ProposalTable.h"
#include "acaciafork/decisions/routing/Routing.h"
#include "acaciafork/peers/Peers.h"
#include "acaciafork/state/State.h"

namespace acaciafork::control {

/// How a control member is set up.
struct ControlNodeSettings
{
    CellId cell;
    EntryRegistrySettings entries;
    routing::CreditSettings credit = peers::creditTiming();
    batch::SchedulerSettings batch;
    jobs::JobSchedulerSettings jobs;
    /// Takes entries that the settings do not name; for clusters whose members find each other.
    bool takesAnyEntry = false;
    /// The entries of the cluster, as the settings name them; the leader takes no others, so that a
    /// new leader knows whose credit it has to wait for.
    std::vector<ProcessId> knownEntries;
    /// Pause between two turns of the batch scheduler.
    Duration batchTick = std::chrono::milliseconds(100);
};

/// One control member without its sockets and its disk: the replicated state, and on the leader the
/// credits, the entries, the ledger and the batch scheduler. Events come in with their moment.
class ControlNode
{
public:
    /// Gets the reply to a call, once.
    using Reply = peers::CallTable::Handler;

    ControlNode(ControlNodeSettings settings, peers::PeerLink *link, ControlPorts *ports,
                Timeline *timeline, CounterRegistry *counters);

    /// @name Agreement
    /// @{
    /// A committed command is applied; the same on every member.
    void applied(Moment at, const consensus::LogPosition &position, std::string_view command);
    /// The role of this member has changed.
    void roleChanged(Moment at, bool isLeader, std::uint64_t term);
    /// The whole replicated state, and its replacement.
    [[nodiscard]] std::string makeSnapshot() const { return m_state.snapshot(); }
    bool loadSnapshot(std::string_view bytes);
    /// @}

    /// Proposes a command on the leader.
    /// @param[in] handler gets the result; called once unless false is returned
    bool propose(Moment at, wire::Command command, ProposalTable::Handler handler);

    /// A message from an entry that the link has checked. Calls of the /acaciafork/v1/ interface
    /// and messages between control members are not among them.
    void peerMessage(Moment at, const wire::Envelope &envelope);

    /// @name What endpoints and workers say, by way of any entry or this member's own port
    /// @{
    void endpointAnnounced(Moment at, const routing::EndpointAnnouncement &announcement);
    void workerReported(Moment at, const batch::WorkerReport &report, std::string address);
    void usageReported(Moment at, const batch::UsageReport &report);
    void workerCallAnswered(Moment at, batch::CallId call, batch::CallAnswer answer);
    /// @}

    /// Time has passed; every 10 ms.
    void tick(Moment at);

    /// Carries out what the scheduler of jobs has decided; at the end of a turn.
    void turnEnded(Moment at);

    /// True while this member leads and its soft state is in use.
    [[nodiscard]] bool leading() const { return m_leading; }

    /// @name Views
    /// @{
    [[nodiscard]] const state::StateMachine &state() const { return m_state; }
    [[nodiscard]] const EntryRegistry &entries() const { return m_entries; }
    [[nodiscard]] const routing::CreditGrantor &grantor() const { return m_grantor; }
    [[nodiscard]] const BatchDriver &batch() const { return m_batch; }
    [[nodiscard]] JobDriver &jobs() { return m_jobs; }
    /// @}

private:
    friend struct GrantorCommandRunner;

    void startLeading(Moment at);
    void stopLeading(Moment at);
    void run(Moment at, const routing::GrantorCommands &commands);
    void configApplied(Moment at);
    void recordEvents(Moment at, const wire::Command &command, const state::ApplyResult &result);
    void onEntryHeartbeat(Moment at, const wire::Envelope &envelope);
    void addEntries(ProcessId receiver, std::uint64_t heldRevision,
                    wire::HeartbeatReply *reply) const;
    void onCreditReport(Moment at, const wire::Envelope &envelope);
    void onLeavingNotice(Moment at, const wire::Envelope &envelope);
    void onEndpointAnnouncements(Moment at, const wire::Envelope &envelope);
    void onLedgerAsk(Moment at, const wire::Envelope &envelope);
    void onLedgerEnds(Moment at, const wire::Envelope &envelope);
    void answerLedger(Moment at, ProcessId entry, std::uint64_t request, wire::LedgerAnswer answer);
    void refuseAsFollower(Moment at, ProcessId to);
    void leaveEndpoint(Moment at, const EndpointName &endpoint);
    [[nodiscard]] bool isKnownEntry(ProcessId process) const;
    [[nodiscard]] bool isIdle(const EndpointName &endpoint) const;
    [[nodiscard]] bool isServable(const EndpointName &endpoint) const;
    [[nodiscard]] bool holderLives(const std::string &service, const std::string &key) const;

    ControlNodeSettings m_settings;
    peers::PeerLink *m_link;
    ControlPorts *m_ports;
    Timeline *m_timeline;
    CounterRegistry *m_counters;
    state::StateMachine m_state;
    ProposalTable m_proposals;
    EntryRegistry m_entries;
    routing::CreditGrantor m_grantor;
    BatchDriver m_batch;
    JobDriver m_jobs;
    bool m_isLeader = false;
    bool m_leading = false;
    std::uint64_t m_term = 0;
    Timestamp m_batchTickAt;
    /// Version last recorded on the time line as accepted.
    ConfigVersion m_accepted;
    /// Version last recorded on the time line as in force everywhere.
    ConfigVersion m_inForce;
    Counter *m_applied;
    Counter *m_ledgerAsks;
};

} // namespace acaciafork::control
