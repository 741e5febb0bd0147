#include "acaciafork/decisions/batch/RackDrainer.h"

namespace acaciafork::batch {

RackDrainer::RackDrainer(Model *model, TaskLifecycle *lifecycle)
    : m_model(model)
    , m_lifecycle(lifecycle)
{ }

void RackDrainer::put(const RackRecord &rack)
{
    const Index known = m_model->fleet.findRack(rack.rack);
    const bool wasDraining = known != noIndex && m_model->fleet.rack(known).draining();
    const Index index = m_model->fleet.putRack(rack);
    m_model->fleet.rack(index).recorded = true;
    if (!wasDraining)
        m_model->fleet.rack(index).drainStartedAt = m_model->now;
    markMoveRacks();
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
    if (retired && rack.moveDraining)
        m_projection.addRack(m_model->now - rack.drainStartedAt);
    rack.record.state = retired ? RackState::Retired : RackState::Drained;
    m_model->refreshRack(pending.subject);
    markMoveRacks();
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
        Rack &it = m_model->fleet.rack(rack);
        it.wasDraining = it.draining();
        it.wasDrainPlanned = it.drainPlanned;
        it.moveDraining = false;
        it.drainPlanned = false;
    }
    m_model->nextDrainExpectedAt = Timestamp::max();
    if (m_move.state != MoveState::Planned && m_move.state != MoveState::RollingBack)
        retireCompletedSteps();
    if (m_move.state == MoveState::Running)
        markRemainingSteps();
    for (Index rack = 0; rack < m_model->fleet.rackCount(); ++rack) {
        const Rack &it = m_model->fleet.rack(rack);
        if (it.wasDraining != it.draining() || it.wasDrainPlanned != it.drainPlanned)
            m_model->refreshRack(rack);
    }
}

void RackDrainer::retireCompletedSteps()
{
    // The move's record alone says that these are retired, where the state holds no record of them.
    for (std::size_t i = 0; i < m_move.stepsDone && i < m_move.steps.size(); ++i) {
        const Index rack = m_model->fleet.findRack(m_move.steps[i]);
        if (rack != noIndex && !m_model->fleet.rack(rack).recorded)
            m_model->fleet.rack(rack).record.state = RackState::Retired;
    }
}

void RackDrainer::markRemainingSteps()
{
    // The first racks that are not empty are emptied, as many as may be at once; the later ones are
    // marked, so that nothing is moved twice.
    std::int32_t left = m_model->settings.drain.maxConcurrentRacks;
    for (std::size_t i = m_move.stepsDone; i < m_move.steps.size(); ++i) {
        const Index index = m_model->fleet.findRack(m_move.steps[i]);
        if (index == noIndex || m_model->fleet.rack(index).record.state == RackState::Retired)
            continue;
        Rack &rack = m_model->fleet.rack(index);
        if (left-- > 0) {
            rack.moveDraining = true;
            if (!rack.wasDraining)
                rack.drainStartedAt = m_model->now;
            continue;
        }
        rack.drainPlanned = true;
        m_model->nextDrainExpectedAt =
                std::min(m_model->nextDrainExpectedAt, m_model->now + m_projection.meanDrainTime());
    }
}

void RackDrainer::tick()
{
    // Racks become known by the reports of their workers, also after the move's record.
    if (m_markedRackCount != m_model->fleet.rackCount()) {
        m_markedRackCount = m_model->fleet.rackCount();
        markMoveRacks();
    }
    bool roomCounted = false;
    m_model->moveNeedsRoom = false;
    for (Index rack = 0; rack < m_model->fleet.rackCount(); ++rack) {
        const Rack &it = m_model->fleet.rack(rack);
        if (!it.draining())
            continue;
        if (it.tasks == 0) {
            proposeEmptyRack(rack);
            continue;
        }
        if (!roomCounted)
            sumFreeRoom();
        roomCounted = true;
        drain(rack);
    }
    proposeCompletedSteps();
}

void RackDrainer::sumFreeRoom()
{
    m_room = {};
    for (Index index = 0; index < m_model->fleet.workerCount(); ++index) {
        const Worker &worker = m_model->fleet.worker(index);
        if (m_model->fleet.eligible(index) && !m_model->fleet.rack(worker.rack).drainPlanned)
            m_room += worker.freeRoom();
    }
    m_room -= m_model->queue.total(QueueClass::Evicted);
    m_pendingEvictions = static_cast<std::int32_t>(m_model->queue.size(QueueClass::Evicted));
    for (Index rack = 0; rack < m_model->fleet.rackCount(); ++rack) {
        if (!m_model->fleet.rack(rack).draining())
            continue;
        for (const Index worker : m_model->fleet.rack(rack).workers) {
            for (const Index index : m_model->fleet.worker(worker).tasks) {
                const Task &task = m_model->tasks[index];
                if (task.isService() || task.intent == TaskIntent::Run)
                    continue;
                ++m_pendingEvictions;
                m_room -= task.granted;
            }
        }
    }
}

void RackDrainer::drain(Index rack)
{
    for (const Index worker : m_model->fleet.rack(rack).workers)
        evictFrom(worker, m_model->fleet.rack(rack).drainStartedAt);
}

void RackDrainer::evictFrom(Index worker, Timestamp drainStartedAt)
{
    for (const Index index : m_model->fleet.worker(worker).tasks) {
        Task &task = m_model->tasks[index];
        if (task.isService() || !task.leased() || task.proposed || task.intent != TaskIntent::Run)
            continue;
        task.finishesBeforeMove = finishesBeforeMove(task, drainStartedAt);
        if (task.finishesBeforeMove)
            continue;

        // Only so much is under way at once that the rest of the fleet takes it in.
        const Resources size = m_model->sizeFor(task);
        if (m_pendingEvictions >= m_model->settings.drain.maxConcurrentEvictions)
            continue;
        if (!hasRoomElsewhere(size)) {
            m_model->moveNeedsRoom = m_move.state == MoveState::Running;
            continue;
        }
        ++m_pendingEvictions;
        m_room -= size;
        m_lifecycle->evict(index, m_model->settings.lease.checkpointTimeout);
    }
}

bool RackDrainer::finishesBeforeMove(const Task &task, Timestamp drainStartedAt) const
{
    const Duration moveCost = m_model->settings.drain.evictionCost;
    constexpr int overdueFactor = 2;
    if (task.phase != TaskPhase::Running
        || m_model->now - drainStartedAt > moveCost * overdueFactor)
        return false;
    constexpr double quantile = 0.75;
    const Duration runTime = m_model->sizes.runTime(task.family, task.declaredRunTime, quantile);
    const Duration remaining = runTime - task.attained - (m_model->now - task.startedAt);
    return remaining > Duration::zero() && remaining < moveCost;
}

bool RackDrainer::hasRoomElsewhere(const Resources &size)
{
    if (!size.fitsIn(m_room))
        return false;
    bool found = false;
    m_model->index.forEachFitting(size, SearchOrder::StayingOnly, [&](Index) {
        found = true;
        return false;
    });
    return found;
}

void RackDrainer::proposeEmptyRack(Index index)
{
    // A new leader learns where leased workers stand from their reports, or waits for the leases.
    Rack &rack = m_model->fleet.rack(index);
    if (rack.proposed || m_model->fleet.tasksWithoutRack() > 0)
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

void RackDrainer::proposeCompletedSteps()
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
