#include "acaciafork/decisions/batch/MoveReporter.h"

namespace acaciafork::batch {

std::string_view hindranceKindName(HindranceKind kind)
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
        addHindrances(rack, &view);
    }
    const auto atOnce = static_cast<std::size_t>(m_model->settings.drain.racksAtOnce);
    view.finish = projection.project(m_model->now, view.racksLeft, atOnce, elapsed);
    view.mayMissDeadline = move.state != MoveState::Finished && move.deadline != Timestamp {}
            && view.finish.late > move.deadline;
    return view;
}

void MoveReporter::addHindrances(const Rack &rack, MoveView *view) const
{
    for (const Index worker : rack.workers) {
        for (const Index index : m_model->fleet.worker(worker).tasks) {
            if (view->hindrances.size() >= MoveView::mostHindrances)
                return;
            const Task &task = m_model->tasks[index];
            view->hindrances.push_back({ .task = task.name,
                                         .rack = rack.record.rack,
                                         .kind = kindOf(task),
                                         .since = m_model->now - rack.drainStartedAt });
        }
    }
}

HindranceKind MoveReporter::kindOf(const Task &task) const
{
    if (!m_model->fleet.worker(task.worker).present)
        return HindranceKind::WorkerSilent;
    if (task.isService())
        return task.leaving ? HindranceKind::EndpointBusy : HindranceKind::WaitsForReplacement;
    if (task.intent != TaskIntent::Run)
        return HindranceKind::Checkpointing;
    return task.runsOut ? HindranceKind::RunsOut : HindranceKind::WaitsForRoom;
}

} // namespace acaciafork::batch
