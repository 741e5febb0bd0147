#include "acaciafork/decisions/batch/MoveReporter.h"

namespace acaciafork::batch {

std::string_view blockerKindName(BlockerKind kind)
{
    constexpr std::array<std::string_view, 6> names {
        "runs-out",      "checkpointing", "waits-for-room", "waits-for-replacement",
        "endpoint-busy", "worker-silent",
    };
    return names[static_cast<std::size_t>(kind)];
}

MoveReporter::MoveReporter(const Model *model)
    : m_model(model)
{ }

MoveView MoveReporter::view(const MoveRecord &move, const MoveProjection &projection) const
{
    MoveView view { .record = move };
    Duration elapsed {};
    for (std::size_t i = move.stepsDone; i < move.steps.size(); ++i) {
        const Index index = m_model->fleet.findRack(move.steps[i]);
        if (index == noIndex)
            continue;
        const Rack &rack = m_model->fleet.rack(index);
        if (rack.record.state == RackState::Retired)
            continue;
        ++view.racksLeft;
        view.tasksLeft += rack.tasks;
        if (!rack.moveDraining) {
            view.racksWaiting.push_back(rack.record.rack);
            continue;
        }
        elapsed = std::max(elapsed, m_model->now - rack.drainStartedAt);
        addBlockers(rack, &view);
    }
    const auto concurrentRacks =
            static_cast<std::size_t>(m_model->settings.drain.maxConcurrentRacks);
    view.finish = projection.project(m_model->now, view.racksLeft, concurrentRacks, elapsed);
    boundByCapacity(&view);
    view.mayMissDeadline = move.state != MoveState::Finished && move.deadline != Timestamp {}
            && view.finish.late > move.deadline;
    return view;
}

void MoveReporter::boundByCapacity(MoveView *view) const
{
    // What the room that stays can't take has to run out, however fast racks were emptied so far.
    constexpr double expectedQuantile = 0.5;
    const Duration expected = timeUntilRoom(expectedQuantile);
    if (view->racksLeft == 0 || m_model->now + expected <= view->finish.expected)
        return;
    constexpr double earlyQuantile = 0.25;
    constexpr double lateQuantile = 0.9;
    constexpr std::int64_t permilleScale = 1000;
    constexpr std::int64_t earlyFactorPermille = 850;
    constexpr std::int64_t lateFactorPermille = 1150;
    view->finish.expected = m_model->now + expected;
    view->finish.early =
            m_model->now + timeUntilRoom(earlyQuantile) * earlyFactorPermille / permilleScale;
    view->finish.late = m_model->now
            + timeUntilRoom(lateQuantile) * lateFactorPermille / permilleScale
            + m_model->settings.drain.evictionCost;
}

Duration MoveReporter::timeUntilRoom(double q) const
{
    // Jobs on the racks to be emptied and on workers that stay, by how long they run on: each that
    // ends leaves one fewer to move, or room for one.
    const Fleet &fleet = m_model->fleet;
    std::vector<std::pair<Duration, std::int64_t>> jobs;
    std::int64_t room = 0;
    std::int64_t toMove = 0;
    for (Index index = 0; index < fleet.workerCount(); ++index) {
        const Worker &worker = fleet.worker(index);
        if (worker.rack == noIndex)
            continue;
        const Rack &rack = fleet.rack(worker.rack);
        const bool toBeDrained = rack.drainPlanned || rack.moveDraining;
        if (!toBeDrained && !fleet.eligible(index))
            continue;
        if (toBeDrained)
            toMove += worker.granted.millicores;
        else
            room += worker.freeRoom().millicores;
        for (const Index task : worker.tasks) {
            const Task &it = m_model->tasks[task];
            if (!it.isService())
                jobs.emplace_back(remainingRunTime(it, q), it.granted.millicores);
        }
    }
    std::sort(jobs.begin(), jobs.end());
    Duration time {};
    for (const auto &[remaining, cores] : jobs) {
        if (toMove <= room)
            break;
        toMove -= cores;
        time = remaining;
    }
    return time;
}

Duration MoveReporter::remainingRunTime(const Task &task, double q) const
{
    const Duration runTime = m_model->sizes.runTime(task.family, task.declaredRunTime, q);
    const Duration elapsedRunTime = task.attained + (m_model->now - task.startedAt);
    return std::max(runTime - elapsedRunTime, Duration::zero());
}

void MoveReporter::addBlockers(const Rack &rack, MoveView *view) const
{
    for (const Index worker : rack.workers) {
        for (const Index index : m_model->fleet.worker(worker).tasks) {
            if (view->blockers.size() >= MoveView::maxBlockers)
                return;
            const Task &task = m_model->tasks[index];
            view->blockers.push_back({ .task = task.name,
                                       .rack = rack.record.rack,
                                       .kind = blockerKindOf(task),
                                       .since = m_model->now - rack.drainStartedAt });
        }
    }
}

BlockerKind MoveReporter::blockerKindOf(const Task &task) const
{
    if (!m_model->fleet.worker(task.worker).present)
        return BlockerKind::WorkerSilent;
    if (task.isService())
        return task.leaving ? BlockerKind::EndpointBusy : BlockerKind::WaitsForReplacement;
    if (task.intent != TaskIntent::Run)
        return BlockerKind::Checkpointing;
    return task.finishesBeforeMove ? BlockerKind::RunsOut : BlockerKind::WaitsForRoom;
}

} // namespace acaciafork::batch
