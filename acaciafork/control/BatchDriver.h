#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "acaciafork/control/ControlPorts.h"
#include "acaciafork/control/ProposalTable.h"
#include "acaciafork/core/Core.h"
#include "acaciafork/decisions/batch/Batch.h"
#include "acaciafork/decisions/routing/Routing.h"
#include "acaciafork/state/State.h"

namespace acaciafork::control {

/// Runs batch::Scheduler on the leader: feeds it what was applied and reported, proposes its
/// durable changes, hands its worker calls to the platform port.
class BatchDriver
{
public:
    /// Proposes a command; the handler gets its result.
    using ProposeFn =
            std::function<bool(Moment, wire::Command command, ProposalTable::Handler handler)>;
    /// Makes an endpoint leave: no entry sends it new work.
    using LeaveFn = std::function<void(Moment, const EndpointName &)>;
    /// True when no entry holds credit at the endpoint and it works on nothing.
    using IdleFn = std::function<bool(const EndpointName &)>;
    /// True when entries can be given credit at the endpoint now.
    using ServableFn = std::function<bool(const EndpointName &)>;

    BatchDriver(const batch::SchedulerSettings &settings, const state::StateMachine *machine,
                ControlPorts *ports, ProposeFn propose, LeaveFn leave, IdleFn isIdle,
                ServableFn isServable, CounterRegistry *counters);

    /// This member leads: starts a scheduler from the applied state.
    void start(Moment at);
    /// This member leads no more: what the scheduler knew is dropped.
    void stop();
    /// True between start() and stop().
    [[nodiscard]] bool running() const { return m_scheduler != nullptr; }

    /// A command was applied; what concerns the scheduler is passed on.
    void applied(Moment at, const wire::Command &command, const state::ApplyResult &result);
    /// A worker reported itself; calls to it go to `address`.
    void workerReported(Moment at, const batch::WorkerReport &report, std::string address);
    /// A worker reported the use of its tasks.
    void usageReported(Moment at, const batch::UsageReport &report);
    /// A worker call ended.
    void workerCallAnswered(Moment at, batch::CallId call, batch::CallAnswer answer);
    /// An endpoint announced itself; endpoints of service tasks bear the task's name.
    void endpointAnnounced(Moment at, const routing::EndpointAnnouncement &announcement);
    /// Time has passed.
    void tick(Moment at);

    /// The scheduler, for views; null while this member does not lead.
    [[nodiscard]] const batch::Scheduler *scheduler() const { return m_scheduler.get(); }
    /// Workers that reported to this leader, with their last report.
    [[nodiscard]] const std::map<WorkerName, batch::WorkerReport> &workers() const
    {
        return m_workers;
    }

private:
    void handle(Moment at, const batch::Event &event);
    void run(Moment at, std::vector<batch::Command> *commands);
    void proposeChanges(Moment at, const std::vector<const batch::Propose *> &changes);
    void ended(Moment at, const std::vector<batch::ProposalId> &proposals,
               const std::vector<std::size_t> &lastParts, const state::ApplyResult *result);
    void leave(Moment at, const TaskName &task);
    void reportDrained(Moment at);
    void callWorker(Moment at, const batch::Command &command);

    batch::SchedulerSettings m_settings;
    const state::StateMachine *m_machine;
    ControlPorts *m_ports;
    ProposeFn m_propose;
    LeaveFn m_leave;
    IdleFn m_isIdle;
    ServableFn m_isServable;
    std::unique_ptr<batch::Scheduler> m_scheduler;
    std::map<WorkerName, batch::WorkerReport> m_workers;
    std::map<WorkerName, std::string> m_addresses;
    /// Latest announcement of each endpoint that a service task hosts.
    std::map<EndpointName, routing::EndpointAnnouncement> m_endpoints;
    /// Endpoints of service tasks that were told to leave and are not idle yet.
    std::set<EndpointName> m_leaving;
    /// Endpoints whose warmth was passed on, by incarnation.
    std::map<EndpointName, Incarnation> m_warm;
    Counter *m_proposals;
    Counter *m_workerCalls;
};

} // namespace acaciafork::control
