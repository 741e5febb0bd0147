#pragma once

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "acaciafork/decisions/routing/Routing.h"
#include "acaciafork/entry/ConfigFollower.h"
#include "acaciafork/entry/EntryPorts.h"
#include "acaciafork/entry/LedgerOutbox.h"
#include "acaciafork/peers/Peers.h"

namespace acaciafork::entry {

/// How an entry is set up.
struct EntryNodeSettings
{
    ZoneName zone;
    /// host:port of its callers' interface, for requests passed on by peers.
    std::string callersAddress;
    /// host:port of its operators' interface.
    std::string operatorsAddress;
    /// Control members known at start.
    std::vector<ProcessId> controlMembers;
    /// Pause between two heartbeats.
    Duration heartbeatInterval = std::chrono::milliseconds(200);
    ConfigFollowerSettings config;
    routing::CreditSettings credit = peers::creditTiming();
    LedgerOutboxSettings ledger;
    /// Over three heartbeats: a leader under load may take some hundred milliseconds to answer one.
    peers::LeaderTrackerSettings leader { .silence = std::chrono::milliseconds(700) };
    peers::CallTableSettings calls;
    std::uint64_t seed = 1;
};

/// One entry without its sockets: the decisions about requests, the exchange with the control
/// leader, and relayed calls. Events come in with their moment; what they ask for goes out through
/// EntryPorts and the peer link, so that a session replays in virtual time.
class EntryNode
{
public:
    /// @param[in] link sends to peers; its messages must be handed to peerMessage()
    EntryNode(EntryNodeSettings settings, peers::PeerLink *link, EntryPorts *ports,
              Timeline *timeline, CounterRegistry *counters);

    /// @name Callers
    /// @{
    /// True while requests may be accepted.
    [[nodiscard]] bool ready(Timestamp now) const;
    /// Time that a request gets: what its caller named, within the service's bound, or the
    /// service's own default.
    /// @param[in] named zero when the caller named none
    [[nodiscard]] Duration allowedTime(const ServiceName &service, Duration named) const;
    /// A request has come whole; refused at once while the entry is not ready.
    void requestArrived(Moment at, const routing::RequestInfo &info);
    /// The caller of a request has gone.
    void callerGone(Moment at, RequestId request);
    /// A call of the /acaciafork/v1/ interface has come; `handler` gets its answer once.
    void apiCall(Moment at, peers::ApiCall call, const peers::CallTable::Handler &handler);
    /// An endpoint has announced itself here.
    void endpointAnnounced(Moment at, const routing::EndpointAnnouncement &announcement);
    /// @}

    /// @name Endpoints and peer entries, as their ports see them
    /// @{
    void attemptHeaders(Moment at, AttemptId attempt, bool endpointError);
    void attemptEnded(Moment at, AttemptId attempt, const routing::AttemptEnd &end);
    void forwardEnded(Moment at, RequestId request, routing::ForwardOutcome outcome);
    void probeEnded(Moment at, const EndpointName &endpoint, bool reached);
    void connectionClosed(Moment at, const EndpointName &endpoint);
    /// @}

    /// A message from a peer that the link has checked.
    void peerMessage(Moment at, const wire::Envelope &envelope);

    /// The control members, as they have been found.
    void setControlMembers(std::span<const ProcessId> members);

    /// Time has passed; every 10 ms.
    void tick(Moment at);

    /// Shuts down: accepts nothing more, finishes what is in progress.
    void drain(Moment at);
    /// True when a draining entry has nothing left to finish or to tell.
    [[nodiscard]] bool drained() const;
    /// Version of the configuration that runs here.
    [[nodiscard]] ConfigVersion configVersion() const { return m_config.version(); }
    /// Requests without their final answer.
    [[nodiscard]] std::size_t requestsInProgress() const
    {
        return m_scheduler.requestsInProgress();
    }
    /// The decisions, for counters and tests.
    [[nodiscard]] const routing::EntryScheduler &scheduler() const { return m_scheduler; }

private:
    using Commands = routing::EntryCommands;
    friend struct EntryCommandRunner;

    void run(Moment at, Commands *commands);
    void sendToLeader(Moment at, wire::Envelope *envelope);
    void sendHeartbeat(Moment at);
    void sendCalls(Moment at);
    void sendAnnouncements(Moment at);
    void followLeader(Moment at, std::uint64_t term);
    void onHeartbeatReply(Moment at, const wire::Envelope &envelope);
    void onNotLeader(Moment at, const wire::Envelope &envelope);
    void onApiReply(Moment at, const wire::Envelope &envelope);
    void onCreditGrant(Moment at, const wire::Envelope &envelope);
    void onLeavingNotice(Moment at, const wire::Envelope &envelope);
    void onLedgerVerdict(Moment at, const wire::Envelope &envelope);
    void onLedgerEndsAck(Moment at, const wire::Envelope &envelope);
    EntryNodeSettings m_settings;
    peers::PeerLink *m_link;
    EntryPorts *m_ports;
    Timeline *m_timeline;
    CounterRegistry *m_counters;
    routing::EntryScheduler m_scheduler;
    ConfigFollower m_config;
    peers::LeaderTracker m_leader;
    peers::CallTable m_calls;
    LedgerOutbox m_ledger;
    /// Other live entries, as the leader last listed them.
    std::map<ProcessId, std::string> m_entries;
    std::uint64_t m_entriesRevision = 0;
    /// Announcements not passed on yet.
    wire::EndpointAnnouncements m_announcements;
    std::uint64_t m_term = 0;
    bool m_controlKnown = false;
    /// When a leader was last known.
    Timestamp m_leaderKnownAt;
    bool m_draining = false;
    Timestamp m_heartbeatAt;
    /// Whether the log last told of a known leader.
    bool m_isLeaderShown = false;

    Counter *m_accepted;
    Counter *m_refusedNotReady;
    Counter *m_configVersion;
};

} // namespace acaciafork::entry
