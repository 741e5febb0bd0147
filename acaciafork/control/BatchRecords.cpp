#include "acaciafork/control/BatchRecords.h"

#include <algorithm>
#include <limits>

#include "acaciafork/control/Checkpoints.h"

namespace acaciafork::control {
namespace {

std::int32_t cutAmount(std::uint64_t amount)
{
    constexpr std::uint64_t most = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::int32_t>(std::min(amount, most));
}

void setResources(const batch::Resources &resources, wire::Resources *message)
{
    message->set_millicores(static_cast<std::uint64_t>(resources.millicores));
    message->set_memory_mb(static_cast<std::uint64_t>(resources.memoryMb));
    message->set_accelerators(static_cast<std::uint64_t>(resources.accelerators));
}

batch::Resources toBatch(const state::TaskSize &size)
{
    return { .millicores = cutAmount(size.millicores),
             .memoryMb = cutAmount(size.memoryMb),
             .accelerators = cutAmount(size.accelerators),
             .slots = 1 };
}

batch::RackState toBatch(wire::RackState rackState)
{
    switch (rackState) {
    case wire::RACK_STATE_DRAINING:
        return batch::RackState::Draining;
    case wire::RACK_STATE_DRAINED:
        return batch::RackState::Drained;
    case wire::RACK_STATE_RETIRED:
        return batch::RackState::Retired;
    default:
        return batch::RackState::Active;
    }
}

batch::MoveState toBatch(wire::MoveState moveState)
{
    switch (moveState) {
    case wire::MOVE_STATE_RUNNING:
        return batch::MoveState::Running;
    case wire::MOVE_STATE_PAUSED:
        return batch::MoveState::Paused;
    case wire::MOVE_STATE_ROLLING_BACK:
        return batch::MoveState::RollingBack;
    case wire::MOVE_STATE_FINISHED:
    case wire::MOVE_STATE_ROLLED_BACK:
        return batch::MoveState::Finished;
    default:
        return batch::MoveState::Planned;
    }
}

wire::UnschedulableReason toWire(batch::UnschedulableReason reason)
{
    switch (reason) {
    case batch::UnschedulableReason::TooManyAccelerators:
    case batch::UnschedulableReason::NoSuchShape:
        return wire::UNSCHEDULABLE_REASON_NO_SUCH_RESOURCE;
    case batch::UnschedulableReason::OverTeamQuota:
        return wire::UNSCHEDULABLE_REASON_OVER_QUOTA;
    case batch::UnschedulableReason::FailsEverywhere:
        return wire::UNSCHEDULABLE_REASON_FAILS_EVERYWHERE;
    default:
        return wire::UNSCHEDULABLE_REASON_TOO_LARGE;
    }
}

std::string_view failureText(batch::TaskFailureCause cause)
{
    switch (cause) {
    case batch::TaskFailureCause::OutOfMemory:
        return "out-of-memory";
    case batch::TaskFailureCause::ExitCode:
        return "exit-code";
    case batch::TaskFailureCause::StartRefused:
        return "start-refused";
    default:
        return "unknown";
    }
}

/// Turns one durable change into commands, one overload for each kind.
struct ChangeEncoder
{
    const state::StateMachine &machine;
    std::vector<wire::Command> *commands;

    wire::Command &add() const { return commands->emplace_back(); }

    void operator()(const batch::LeaseTask &change) const
    {
        // A task of a service comes into being with its first lease; making it again is no change.
        const bool isKnown = machine.tasks().find(change.task.value) != nullptr;
        if (!change.service.value.empty() && !isKnown) {
            wire::SubmitTask *submit = add().mutable_submit_task();
            submit->set_task(change.task.value);
            submit->set_service(change.service.value);
            submit->set_family(change.service.value);
            setResources(change.granted, submit->mutable_size());
        }
        wire::LeaseTask *lease = add().mutable_lease_task();
        lease->set_task(change.task.value);
        lease->set_worker(change.worker.value);
        lease->set_epoch(change.epoch.value);
        lease->set_checkpoint(toText(change.checkpoint));
        setResources(change.granted, lease->mutable_granted());
    }

    void operator()(const batch::RecordStarted &change) const
    {
        wire::TaskStarted *message = add().mutable_task_started();
        message->set_task(change.task.value);
        message->set_epoch(change.epoch.value);
    }

    void operator()(const batch::RecordCheckpointed &change) const
    {
        wire::TaskCheckpointed *message = add().mutable_task_checkpointed();
        message->set_task(change.task.value);
        message->set_epoch(change.epoch.value);
        message->set_checkpoint(toText(change.checkpoint));
    }

    void operator()(const batch::RecordStopped &change) const
    {
        addStopped(change.task, change.epoch, wire::STOP_REASON_EVICTED, change.checkpoint);
    }

    void operator()(const batch::RecordFinished &change) const
    {
        wire::TaskFinished *message = add().mutable_task_finished();
        message->set_task(change.task.value);
        message->set_epoch(change.epoch.value);
    }

    void operator()(const batch::RecordFailed &change) const
    {
        // A failure that is held against the worker puts the task back without counting.
        if (!change.counted && !change.last) {
            addStopped(change.task, change.epoch, wire::STOP_REASON_WORKER_LOST, {});
            return;
        }
        wire::TaskFailed *message = add().mutable_task_failed();
        message->set_task(change.task.value);
        message->set_epoch(change.epoch.value);
        message->set_reason(std::string(failureText(change.cause)));
        message->set_final(change.last);
    }

    void operator()(const batch::RecordCancelled &change) const
    {
        const state::Task *task = machine.tasks().find(change.task.value);
        if (task != nullptr && task->hasLiveLease()) {
            addStopped(change.task, change.epoch, wire::STOP_REASON_CANCELLED, {});
            return;
        }
        add().mutable_cancel_task()->set_task(change.task.value);
    }

    void operator()(const batch::RecordUnschedulable &change) const
    {
        wire::TaskUnschedulable *message = add().mutable_task_unschedulable();
        message->set_task(change.task.value);
        message->set_reason(toWire(change.reason));
    }

    void operator()(const batch::RackDrained &change) const
    {
        advanceRack(change.rack, wire::RACK_STATE_DRAINED);
    }

    void operator()(const batch::RackRetired &change) const
    {
        advanceRack(change.rack, wire::RACK_STATE_RETIRED);
    }

    void operator()(const batch::MoveStepDone &change) const
    {
        const wire::Move *move = machine.moves().inProgress();
        if (move == nullptr)
            return;

        // Steps are finished in order, up to the retirement of the last rack that is done.
        std::uint32_t retired = 0;
        for (int i = 0; i < move->steps_size() && retired < change.stepsDone; ++i) {
            if (!move->steps(i).done()) {
                wire::FinishMoveStep *message = add().mutable_finish_move_step();
                message->set_id(move->id());
                message->set_step(static_cast<std::uint32_t>(i));
            }
            if (move->steps(i).action() == wire::MOVE_ACTION_RETIRE)
                ++retired;
        }
    }

    void addStopped(const TaskName &task, LeaseEpoch epoch, wire::StopReason reason,
                    batch::CheckpointId checkpoint) const
    {
        wire::TaskStopped *message = add().mutable_task_stopped();
        message->set_task(task.value);
        message->set_epoch(epoch.value);
        message->set_reason(reason);
        message->set_checkpoint(toText(checkpoint));
    }

    /// Takes a rack through every state up to `target`, one version each.
    void advanceRack(const RackName &name, wire::RackState target) const
    {
        const wire::Rack *rack = machine.racks().find(name.value);
        if (rack == nullptr)
            return;
        std::uint64_t version = rack->version();
        for (int next = rack->state() + 1; next <= target; ++next) {
            wire::ChangeRack *message = add().mutable_change_rack();
            message->set_name(name.value);
            message->set_target(static_cast<wire::RackState>(next));
            message->set_expected_version(version++);
        }
    }
};

} // namespace

batch::Resources toBatch(const wire::Resources &resources)
{
    return { .millicores = cutAmount(resources.millicores()),
             .memoryMb = cutAmount(resources.memory_mb()),
             .accelerators = cutAmount(resources.accelerators()),
             .slots = 1 };
}

batch::RackRecord toBatch(const wire::Rack &rack)
{
    return { .rack = { rack.name() },
             .building = { rack.building() },
             .zone = { rack.zone() },
             .state = toBatch(rack.state()) };
}

batch::PlacementRecord toBatch(const wire::Placement &placement)
{
    return { .service = { placement.service() },
             .replicas = placement.replicas(),
             .size = toBatch(placement.size()) };
}

batch::TeamRecord toBatch(const wire::Team &team)
{
    batch::Resources quota = toBatch(team.quota());
    quota.slots = 0;
    return { .team = { team.name() }, .weight = team.weight(), .quota = quota };
}

batch::MoveRecord toBatch(const wire::Move &move, Moment at)
{
    batch::MoveRecord record { .from = { move.from_building() },
                               .to = { move.to_building() },
                               .state = toBatch(move.state()),
                               .deadline = at.now
                                       + Duration(move.deadline_us() - at.wallMicroseconds) };
    for (const wire::MoveStep &it : move.steps()) {
        if (it.action() != wire::MOVE_ACTION_RETIRE)
            continue;
        record.steps.push_back({ it.rack() });
        if (it.done())
            ++record.stepsDone;
    }
    return record;
}

batch::JobRecord toBatch(const wire::SubmitTask &task)
{
    return { .task = { task.task() },
             .team = { task.team() },
             .family = { task.family() },
             .declared = toBatch(task.size()),
             .declaredRunTime =
                     std::chrono::milliseconds(static_cast<std::int64_t>(task.declared_run_ms())),
             .urgent = task.urgent() };
}

batch::TaskRecord toBatch(const std::string &name, const state::Task &task)
{
    batch::TaskRecord record {
        .job = { .task = { name },
                 .team = task.team,
                 .family = { task.family },
                 .declared = toBatch(task.size),
                 .declaredRunTime =
                         std::chrono::milliseconds(static_cast<std::int64_t>(task.declaredRunMs)),
                 .urgent = task.urgent },
        .service = task.service,
        .lastEpoch = task.epoch,
        .checkpoint = toCheckpoint(task.checkpoint),
        .failures = task.failures,
        .cancelRequested = task.cancelRequested,
        .leased = task.hasLiveLease(),
    };
    if (record.leased) {
        record.lease = { .worker = task.worker,
                         .epoch = task.epoch,
                         .checkpoint = record.checkpoint,
                         .granted = toBatch(task.granted),
                         .started = task.state == wire::TASK_STATE_RUNNING };
    }
    return record;
}

batch::RestoredState restoredState(const state::StateMachine &machine, Moment at)
{
    batch::RestoredState restored;
    for (const auto &[name, team] : machine.teams().all())
        restored.teams.push_back(toBatch(team));
    for (const auto &[name, rack] : machine.racks().all())
        restored.racks.push_back(toBatch(rack));
    for (const auto &[service, placement] : machine.placements().all())
        restored.placements.push_back(toBatch(placement));
    for (const auto &[name, task] : machine.tasks().all()) {
        if (!task.isEnded())
            restored.tasks.push_back(toBatch(name, task));
    }
    if (const wire::Move *move = machine.moves().inProgress())
        restored.move = toBatch(*move, at);
    return restored;
}

std::vector<wire::Command> toCommands(const batch::DurableChange &change,
                                      const state::StateMachine &machine)
{
    std::vector<wire::Command> commands;
    std::visit(ChangeEncoder { .machine = machine, .commands = &commands }, change);
    return commands;
}

} // namespace acaciafork::control
