#include "acaciafork/decisions/batch/RackDrainer.h"

namespace acaciafork::batch {

RackDrainer::RackDrainer(Model *model, TaskLifecycle *lifecycle)
    : m_model(model)
    , m_lifecycle(lifecycle)
{ }

void RackDrainer::put(const RackRecord &rack)
{
    const Index index = m_model->fleet.putRack(rack);
    m_model->refreshRack(index);
}

void RackDrainer::putMove(const MoveRecord &move)
{
    m_move = move;
    markMoveRacks();
}

void RackDrainer::onCommitted(const PendingChange &pending)
{
    if (const auto *step = std::get_if<MoveStepDone>(&pending.change)) {
        m_stepProposed = false;
        m_move.stepsDone = std::max(m_move.stepsDone, step->stepsDone);
        if (m_move.stepsDone == m_move.steps.size())
            m_move.state = MoveState::Finished;
        markMoveRacks();
        return;
    }
    Rack &rack = m_model->fleet.rack(pending.subject);
    rack.proposed = false;
    const bool retired = std::holds_alternative<RackRetired>(pending.change);
    rack.record.state = retired ? RackState::Retired : RackState::Drained;
    m_model->refreshRack(pending.subject);
}

void RackDrainer::onRejected(const PendingChange &pending)
{
    ++m_model->counters.proposalsRejected;
    if (std::holds_alternative<MoveStepDone>(pending.change))
        m_stepProposed = false;
    else
        m_model->fleet.rack(pending.subject).proposed = false;
}

void RackDrainer::markMoveRacks()
{
    for (Index rack = 0; rack < m_model->fleet.rackCount(); ++rack) {
        if (!m_model->fleet.rack(rack).moveDraining)
            continue;
        m_model->fleet.rack(rack).moveDraining = false;
        m_model->refreshRack(rack);
    }
    if (m_move.state != MoveState::Running)
        return;

    // The first steps that are not done, as many as may be emptied at once.
    std::int32_t left = m_model->settings.drain.racksAtOnce;
    for (std::size_t i = m_move.stepsDone; i < m_move.steps.size() && left > 0; ++i, --left) {
        const Index rack = m_model->fleet.findRack(m_move.steps[i]);
        if (rack == noIndex)
            continue;
        m_model->fleet.rack(rack).moveDraining = true;
        m_model->refreshRack(rack);
    }
}

void RackDrainer::tick()
{
    for (Index rack = 0; rack < m_model->fleet.rackCount(); ++rack) {
        if (!m_model->fleet.rack(rack).draining())
            continue;
        if (m_model->fleet.rack(rack).tasks > 0)
            drain(rack);
        else
            proposeEmpty(rack);
    }
    proposeSteps();
}

void RackDrainer::drain(Index rack)
{
    // Only so much is under way at once that the rest of the fleet takes it in.
    const auto waiting = static_cast<std::int32_t>(m_model->queue.size(QueueClass::Evicted));
    std::int32_t budget = m_model->settings.drain.evictionsInProgress - waiting;
    for (const Index worker : m_model->fleet.rack(rack).workers)
        evictFrom(worker, &budget);
}

void RackDrainer::evictFrom(Index worker, std::int32_t *budget)
{
    for (const Index index : m_model->fleet.worker(worker).tasks) {
        const Task &task = m_model->tasks[index];
        if (task.isService() || !task.leased())
            continue;
        if (*budget <= 0)
            return;
        if (task.intent != TaskIntent::Run) {
            --*budget;
            continue;
        }
        if (runsOut(task) || !roomElsewhere(task))
            continue;
        --*budget;
        m_lifecycle->evict(index, m_model->settings.lease.checkpointTimeout);
    }
}

bool RackDrainer::runsOut(const Task &task) const
{
    if (task.phase != TaskPhase::Running || task.declaredRunTime == Duration::zero())
        return false;
    const Duration remaining =
            task.declaredRunTime - task.attained - (m_model->now - task.startedAt);
    return remaining > Duration::zero() && remaining < m_model->settings.drain.evictionCost;
}

bool RackDrainer::roomElsewhere(const Task &task)
{
    bool found = false;
    m_model->index.forEachFitting(m_model->sizeFor(task), [&](Index) {
        found = true;
        return false;
    });
    return found;
}

void RackDrainer::proposeEmpty(Index index)
{
    Rack &rack = m_model->fleet.rack(index);
    if (rack.proposed)
        return;
    const bool retire = rack.record.state == RackState::Retiring
            || (rack.moveDraining && rack.record.state != RackState::Retired);
    if (retire) {
        rack.proposed = true;
        m_model->outbox.propose(index, RackRetired { .rack = rack.record.rack });
    } else if (rack.record.state == RackState::Draining) {
        rack.proposed = true;
        m_model->outbox.propose(index, RackDrained { .rack = rack.record.rack });
    }
}

void RackDrainer::proposeSteps()
{
    if (m_move.state != MoveState::Running || m_stepProposed)
        return;
    std::uint32_t done = m_move.stepsDone;
    while (done < m_move.steps.size()) {
        const Index rack = m_model->fleet.findRack(m_move.steps[done]);
        if (rack == noIndex || m_model->fleet.rack(rack).record.state != RackState::Retired)
            break;
        ++done;
    }
    if (done == m_move.stepsDone)
        return;
    m_stepProposed = true;
    m_model->outbox.propose(noIndex, MoveStepDone { .stepsDone = done });
}

} // namespace acaciafork::batch
