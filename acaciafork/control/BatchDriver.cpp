#include "acaciafork/control/BatchDriver.h"

#include "acaciafork/control/BatchRecords.h"
#include "acaciafork/control/PlatformRecords.h"

namespace acaciafork::control {
namespace {

/// Most durable changes in one log entry; bounds the time that one entry takes to apply.
constexpr std::size_t mostChangesInEntry = 1000;

/// Worker that a command is for, or null when it is for none.
struct WorkerOf
{
    const WorkerName *operator()(const batch::Propose &) const { return nullptr; }
    const WorkerName *operator()(const batch::EndpointLeave &) const { return nullptr; }
    template <typename Call>
    const WorkerName *operator()(const Call &call) const
    {
        return &call.worker;
    }
};

} // namespace

BatchDriver::BatchDriver(const batch::SchedulerSettings &settings,
                         const state::StateMachine *machine, ControlPorts *ports, ProposeFn propose,
                         LeaveFn leave, IdleFn isIdle, ServableFn isServable,
                         CounterRegistry *counters)
    : m_settings(settings)
    , m_machine(machine)
    , m_ports(ports)
    , m_propose(std::move(propose))
    , m_leave(std::move(leave))
    , m_isIdle(std::move(isIdle))
    , m_isServable(std::move(isServable))
    , m_proposals(&counters->counter("control_batch_proposals_total"))
    , m_workerCalls(&counters->counter("control_worker_calls_total"))
{ }

void BatchDriver::start(Moment at)
{
    m_scheduler = std::make_unique<batch::Scheduler>(m_settings);
    handle(at, batch::StateRestored { .state = restoredState(*m_machine, at) });
}

void BatchDriver::stop()
{
    m_scheduler.reset();
    m_workers.clear();
    m_addresses.clear();
    m_endpoints.clear();
    m_leaving.clear();
    m_warm.clear();
}

void BatchDriver::applied(Moment at, const wire::Command &command, const state::ApplyResult &result)
{
    if (!running())
        return;
    using Body = wire::Command::BodyCase;
    if (command.body_case() == Body::kBatch) {
        for (int i = 0; i < command.batch().commands_size() && i < result.parts_size(); ++i)
            applied(at, command.batch().commands(i), result.parts(i));
        return;
    }
    if (result.outcome() != wire::OUTCOME_APPLIED)
        return;

    switch (command.body_case()) {
    case Body::kSubmitTask:
        // Tasks of services come from the scheduler itself.
        if (command.submit_task().service().empty())
            handle(at, batch::TaskSubmitted { .job = toBatch(command.submit_task()) });
        break;
    case Body::kCancelTask:
        handle(at, batch::TaskCancelled { .task = { command.cancel_task().task() } });
        break;
    case Body::kPutRack:
        handle(at,
               batch::RackChanged {
                       .rack = toBatch(*m_machine->racks().find(command.put_rack().name())) });
        break;
    case Body::kChangeRack:
        handle(at,
               batch::RackChanged {
                       .rack = toBatch(*m_machine->racks().find(command.change_rack().name())) });
        break;
    case Body::kPutPlacement:
        handle(at,
               batch::PlacementChanged { .placement =
                                                 toBatch(command.put_placement().placement()) });
        break;
    case Body::kRemovePlacement:
        handle(at,
               batch::PlacementChanged {
                       .placement = { .service = { command.remove_placement().service() },
                                      .removed = true } });
        break;
    case Body::kPutTeam:
        handle(at, batch::TeamChanged { .team = toBatch(command.put_team().team()) });
        break;
    case Body::kPlanMove:
        handle(at,
               batch::MoveChanged {
                       .move = toBatch(*m_machine->moves().find(command.plan_move().move().id()),
                                       at) });
        break;
    case Body::kChangeMove:
        handle(at,
               batch::MoveChanged {
                       .move = toBatch(*m_machine->moves().find(command.change_move().id()), at) });
        break;
    case Body::kFinishMoveStep:
        handle(at,
               batch::MoveChanged {
                       .move = toBatch(*m_machine->moves().find(command.finish_move_step().id()),
                                       at) });
        break;
    default:
        break;
    }
}

void BatchDriver::workerReported(Moment at, const batch::WorkerReport &report, std::string address)
{
    if (!running())
        return;
    m_addresses[report.worker] = std::move(address);
    m_workers[report.worker] = report;
    handle(at, batch::WorkerReported { .report = report });
}

void BatchDriver::usageReported(Moment at, const batch::UsageReport &report)
{
    if (running())
        handle(at, batch::UsageReported { .report = report });
}

void BatchDriver::workerCallAnswered(Moment at, batch::CallId call, batch::CallAnswer answer)
{
    if (running())
        handle(at, batch::WorkerCallAnswered { .call = call, .answer = answer });
}

void BatchDriver::endpointAnnounced(Moment at, const routing::EndpointAnnouncement &announcement)
{
    const state::Task *task = m_machine->tasks().find(announcement.endpoint.value);
    if (!running() || task == nullptr || task->service.value.empty())
        return;

    // A late announcement of an earlier incarnation says nothing about the one that runs now.
    routing::EndpointAnnouncement &known = m_endpoints[announcement.endpoint];
    if (std::pair(announcement.incarnation, announcement.sequence)
        < std::pair(known.incarnation, known.sequence))
        return;
    known = announcement;

    if (m_leaving.contains(announcement.endpoint))
        return;
    Incarnation &warm = m_warm[announcement.endpoint];
    const bool isNew = !announcement.leaving && warm != announcement.incarnation;

    // Nothing is taken away for an endpoint that can't be given any work yet.
    if (isNew && m_isServable(announcement.endpoint)) {
        warm = announcement.incarnation;
        handle(at, batch::EndpointWarm { .task = { announcement.endpoint.value } });
    }
}

void BatchDriver::tick(Moment at)
{
    if (!running())
        return;
    reportDrained(at);
    handle(at, batch::Tick {});
}

void BatchDriver::handle(Moment at, const batch::Event &event)
{
    std::vector<batch::Command> commands;
    m_scheduler->handle(at.now, event, &commands);
    run(at, &commands);
}

void BatchDriver::run(Moment at, std::vector<batch::Command> *commands)
{
    std::vector<const batch::Propose *> changes;
    for (const batch::Command &it : *commands) {
        if (const auto *propose = std::get_if<batch::Propose>(&it))
            changes.push_back(propose);
        else if (const auto *leaving = std::get_if<batch::EndpointLeave>(&it))
            leave(at, leaving->task);
        else
            callWorker(at, it);
    }
    if (!changes.empty())
        proposeChanges(at, changes);
}

void BatchDriver::proposeChanges(Moment at, const std::vector<const batch::Propose *> &changes)
{
    for (std::size_t first = 0; first < changes.size(); first += mostChangesInEntry) {
        const std::size_t end = std::min(first + mostChangesInEntry, changes.size());
        wire::Command command;
        std::vector<batch::ProposalId> proposals;
        std::vector<std::size_t> lastParts;

        // A change may take several commands; its last one tells whether it was accepted.
        for (std::size_t i = first; i < end; ++i) {
            for (wire::Command &it : toCommands(changes[i]->change, *m_machine))
                *command.mutable_batch()->add_commands() = std::move(it);
            proposals.push_back(changes[i]->proposal);
            lastParts.push_back(static_cast<std::size_t>(command.batch().commands_size()));
        }
        m_proposals->add(static_cast<std::int64_t>(proposals.size()));
        const auto handler = [this, proposals, lastParts](Moment when,
                                                          const state::ApplyResult *result) {
            ended(when, proposals, lastParts, result);
        };
        if (!m_propose(at, std::move(command), handler))
            ended(at, proposals, lastParts, nullptr);
    }
}

void BatchDriver::ended(Moment at, const std::vector<batch::ProposalId> &proposals,
                        const std::vector<std::size_t> &lastParts, const state::ApplyResult *result)
{
    if (!running())
        return;
    std::size_t previous = 0;
    for (std::size_t i = 0; i < proposals.size(); ++i) {
        const std::size_t last = lastParts[i];
        const bool hasPart = result != nullptr && last > previous
                && last <= static_cast<std::size_t>(result->parts_size());
        const bool accepted =
                hasPart && state::succeeded(result->parts(static_cast<int>(last - 1)));
        previous = last;
        if (accepted)
            handle(at, batch::CommandCommitted { .proposal = proposals[i] });
        else
            handle(at, batch::CommandRejected { .proposal = proposals[i] });
    }
}

void BatchDriver::leave(Moment at, const TaskName &task)
{
    const EndpointName endpoint { task.value };

    // A task whose endpoint never showed has nothing to leave.
    if (!m_endpoints.contains(endpoint)) {
        handle(at, batch::EndpointDrained { .task = task });
        return;
    }
    m_leaving.insert(endpoint);
    m_leave(at, endpoint);
}

void BatchDriver::reportDrained(Moment at)
{
    std::vector<EndpointName> drained;
    for (const EndpointName &it : m_leaving) {
        if (m_isIdle(it))
            drained.push_back(it);
    }
    for (const EndpointName &it : drained) {
        m_leaving.erase(it);
        m_endpoints.erase(it);
        m_warm.erase(it);
        handle(at, batch::EndpointDrained { .task = { it.value } });
    }
}

void BatchDriver::callWorker(Moment at, const batch::Command &command)
{
    const WorkerName *worker = std::visit(WorkerOf {}, command);
    const auto it = m_addresses.find(*worker);
    if (it == m_addresses.end()) {
        handle(at,
               batch::WorkerCallAnswered { .call = callOf(command),
                                           .answer = batch::CallAnswer::Failed });
        return;
    }
    m_workerCalls->add();
    m_ports->callWorker(it->second, command);
}

} // namespace acaciafork::control
