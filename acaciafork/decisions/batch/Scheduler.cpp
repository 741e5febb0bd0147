#include "acaciafork/decisions/batch/Scheduler.h"

#include "acaciafork/decisions/batch/Model.h"
#include "acaciafork/decisions/batch/MoveReporter.h"
#include "acaciafork/decisions/batch/PlacementRound.h"
#include "acaciafork/decisions/batch/Placer.h"
#include "acaciafork/decisions/batch/Preemption.h"
#include "acaciafork/decisions/batch/PressureControl.h"
#include "acaciafork/decisions/batch/RackDrainer.h"
#include "acaciafork/decisions/batch/ServicePlanner.h"
#include "acaciafork/decisions/batch/TaskLifecycle.h"
#include "acaciafork/decisions/batch/UsageReports.h"
#include "acaciafork/decisions/batch/WorkerReports.h"

namespace acaciafork::batch {

/// The classes that decide on parts, over one model.
struct Scheduler::Components
{
    explicit Components(const SchedulerSettings &settings)
        : model(settings)
    { }

    Model model;
    HealthTracker health { &model };
    TaskLifecycle lifecycle { &model, &health };
    WorkerReports reports { &model, &lifecycle };
    UsageReports usage { &model };
    PressureControl pressure { &model, &lifecycle };
    Placer placer { &model };
    PlacementRound placement { &model, &placer, &lifecycle, &health };
    Preemption preemption { &model, &lifecycle };
    ServicePlanner services { &model, &lifecycle };
    RackDrainer drainer { &model, &lifecycle };
};

namespace {

/// True for changes that RackDrainer proposes.
bool isRackChange(const DurableChange &change)
{
    return std::holds_alternative<RackDrained>(change)
            || std::holds_alternative<RackRetired>(change)
            || std::holds_alternative<MoveStepDone>(change);
}

} // namespace

Scheduler::Scheduler(const SchedulerSettings &settings)
    : m_components(std::make_unique<Components>(settings))
{ }

Scheduler::~Scheduler() = default;

void Scheduler::handle(Timestamp now, const Event &event, std::vector<Command> *commands)
{
    m_components->model.now = now;
    m_components->model.outbox.writeTo(commands);
    std::visit([this](const auto &it) { on(it); }, event);
}

void Scheduler::on(const StateRestored &event)
{
    const RestoredState &state = event.state;
    for (const TeamRecord &it : state.teams)
        m_components->model.teams.put(it);
    for (const RackRecord &it : state.racks)
        m_components->drainer.put(it);
    for (const PlacementRecord &it : state.placements)
        m_components->services.put(it);
    for (const TaskRecord &it : state.tasks) {
        if (it.service.value.empty())
            m_components->lifecycle.restore(it);
        else
            m_components->services.restore(it);
    }
    if (!state.move.steps.empty())
        m_components->drainer.putMove(state.move);
}

void Scheduler::on(const TaskSubmitted &event)
{
    m_components->lifecycle.submit(event.job);
}

void Scheduler::on(const TaskCancelled &event)
{
    m_components->lifecycle.cancel(event.task);
}

void Scheduler::on(const WorkerReported &event)
{
    m_components->reports.onReport(event.report);
}

void Scheduler::on(const UsageReported &event)
{
    const Index worker = m_components->usage.onReport(event.report);
    if (worker != noIndex)
        m_components->pressure.onUsage(worker, event.report);
}

void Scheduler::on(const CommandCommitted &event)
{
    PendingChange pending;
    if (!m_components->model.outbox.take(event.proposal, &pending))
        return;
    if (isRackChange(pending.change))
        m_components->drainer.onCommitted(pending);
    else
        m_components->lifecycle.onCommitted(pending);
}

void Scheduler::on(const CommandRejected &event)
{
    PendingChange pending;
    if (!m_components->model.outbox.take(event.proposal, &pending))
        return;
    if (isRackChange(pending.change))
        m_components->drainer.onRejected(pending);
    else
        m_components->lifecycle.onRejected(pending);
}

void Scheduler::on(const WorkerCallAnswered &event)
{
    // Reports are the truth about workers; an answer only shows whether calls get through.
    m_components->model.counters.workerCallsFailed += event.answer == CallAnswer::Ok ? 0 : 1;
}

void Scheduler::on(const RackChanged &event)
{
    m_components->drainer.put(event.rack);
}

void Scheduler::on(const PlacementChanged &event)
{
    m_components->services.put(event.placement);
}

void Scheduler::on(const TeamChanged &event)
{
    m_components->model.teams.put(event.team);
}

void Scheduler::on(const MoveChanged &event)
{
    m_components->drainer.putMove(event.move);
}

void Scheduler::on(const EndpointWarm &event)
{
    m_components->services.onWarm(event.task);
}

void Scheduler::on(const EndpointDrained &event)
{
    m_components->services.onDrained(event.task);
}

void Scheduler::on(const Tick & /*event*/)
{
    m_components->reports.tick();
    m_components->lifecycle.tick();
    m_components->services.tick();
    m_components->drainer.tick();
    m_components->preemption.leaseReserved();
    m_components->placement.run();
    m_components->preemption.tick();
}

TaskView Scheduler::task(const TaskName &name) const
{
    const Model &m = m_components->model;
    const Index index = m.tasks.find(name);
    if (index == noIndex)
        return {};
    const Task &task = m.tasks[index];
    return { .known = true,
             .phase = task.phase,
             .worker = task.onWorker() ? m.fleet.workerName(task.worker) : WorkerName {},
             .epoch = task.epoch,
             .checkpoint = task.checkpoint,
             .failures = task.failures };
}

std::vector<RackView> Scheduler::racks() const
{
    const Fleet &fleet = m_components->model.fleet;
    std::vector<RackView> views;
    for (Index index = 0; index < fleet.rackCount(); ++index) {
        const Rack &rack = fleet.rack(index);
        const auto present = std::count_if(rack.workers.begin(), rack.workers.end(),
                                           [&](Index it) { return fleet.worker(it).present; });
        views.push_back({ .record = rack.record,
                          .workers = static_cast<std::uint32_t>(rack.workers.size()),
                          .presentWorkers = static_cast<std::uint32_t>(present),
                          .tasks = rack.tasks,
                          .draining = rack.draining() });
    }
    return views;
}

SchedulerSummary Scheduler::summary() const
{
    const Model &m = m_components->model;
    SchedulerSummary summary { .tasks = m.tasks.size(),
                               .waiting = m.queue.size(),
                               .workers = m.fleet.workerCount(),
                               .room = m.teams.room(),
                               .proposalsPending = m.outbox.pendingCount() };
    for (Index index = 0; index < m.fleet.workerCount(); ++index) {
        summary.presentWorkers += m.fleet.worker(index).present ? 1 : 0;
        summary.granted += m.fleet.worker(index).granted;
    }
    return summary;
}

MoveView Scheduler::move() const
{
    return MoveReporter(&m_components->model)
            .view(m_components->drainer.move(), m_components->drainer.projection());
}

MovePlan Scheduler::planMove(const BuildingName &from, const BuildingName &to) const
{
    return MovePlanner(&m_components->model.fleet).plan(from, to);
}

const SchedulerCounters &Scheduler::counters() const
{
    return m_components->model.counters;
}

} // namespace acaciafork::batch
