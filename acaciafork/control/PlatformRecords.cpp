#include "acaciafork/control/PlatformRecords.h"

#include <algorithm>
#include <array>

#include "acaciafork/control/Checkpoints.h"

#include <boost/json.hpp>

namespace acaciafork::control {
namespace {

/// Places for tasks that a worker of the platform offers beside its processors and memory; the
/// platform itself sets no bound.
constexpr std::int32_t workerPlaces = 1'000;

/// Speed of an undisturbed task, in thousandths.
constexpr std::int64_t fullSpeedPerMille = 1'000;

std::int32_t cutAmount(std::int64_t amount)
{
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(amount, 0, INT32_MAX));
}

batch::TaskStatus toBatch(workers::TaskStatus status)
{
    using From = workers::TaskStatus;
    using To = batch::TaskStatus;
    /// By workers::TaskStatus.
    static constexpr std::array statuses { To::Running, To::Running,  To::Running, To::Checkpointed,
                                           To::Stopped, To::Finished, To::Failed };
    static_assert(statuses.size() == static_cast<std::size_t>(From::Failed) + 1);
    return statuses.at(static_cast<std::size_t>(status));
}

/// Turns one worker call into commands, one overload for each kind.
struct CallEncoder
{
    const state::StateMachine &machine;
    std::vector<workers::WorkerCommand> *commands;

    workers::WorkerCommand &add(workers::WorkerAction action, const TaskName &task,
                                LeaseEpoch epoch) const
    {
        return commands->emplace_back(
                workers::WorkerCommand { .task = task, .action = action, .epoch = epoch });
    }

    /// What the platform is told to run for one replica of a service.
    [[nodiscard]] std::string servicePayload(const ServiceName &service) const
    {
        boost::json::object payload { { "kind", "service" }, { "service", service.value } };
        for (const wire::ServiceSpec &it :
             machine.configuration().current().document().services()) {
            if (it.name() != service.value)
                continue;
            payload["slots"] = it.slots();
            payload["connections"] = it.connections();
        }
        return boost::json::serialize(payload);
    }

    static void setBasis(const batch::LeaseBasis &basis, workers::WorkerCommand *command)
    {
        command->leaseDuration = basis.leaseLength;
        command->incarnation = basis.incarnation;
        command->reportSequence = basis.seq;
    }

    void operator()(const batch::StartTask &call) const
    {
        workers::WorkerCommand &command = add(workers::WorkerAction::Start, call.task, call.epoch);
        setBasis(call.basis, &command);
        command.checkpoint = toText(call.checkpoint);
        if (const state::Task *task = machine.tasks().find(call.task.value)) {
            command.payload = task->payload;
            if (!task->service.value.empty())
                command.payload = servicePayload(task->service);
        }
    }

    void operator()(const batch::RenewLease &call) const
    {
        for (const batch::TaskEpoch &it : call.tasks)
            setBasis(call.basis, &add(workers::WorkerAction::Renew, it.task, it.epoch));
    }

    void operator()(const batch::ThrottleTask &call) const
    {
        add(workers::WorkerAction::Throttle, call.task, call.epoch).perMille = call.permille;
    }

    void operator()(const batch::CheckpointTask &call) const
    {
        add(workers::WorkerAction::Checkpoint, call.task, call.epoch);
    }

    void operator()(const batch::StopTask &call) const
    {
        add(workers::WorkerAction::Stop, call.task, call.epoch).release = call.release;
    }

    void operator()(const batch::Propose &) const { }
    void operator()(const batch::EndpointLeave &) const { }
};

/// Number of a call.
struct CallOf
{
    batch::CallId operator()(const batch::Propose &) const { return {}; }
    batch::CallId operator()(const batch::EndpointLeave &) const { return {}; }
    template <typename Call>
    batch::CallId operator()(const Call &call) const
    {
        return call.call;
    }
};

} // namespace

batch::WorkerReport toBatch(const workers::WorkerReport &report)
{
    batch::WorkerReport converted {
        .worker = report.worker,
        .incarnation = report.incarnation,
        .rack = report.rack,
        .building = report.building,
        .zone = report.zone,
        .room = { .millicores = cutAmount(report.millicores),
                  .memoryMb = cutAmount(report.memoryMb),
                  .accelerators = cutAmount(report.accelerators),
                  .slots = workerPlaces },
        .seq = report.sequence,
    };
    converted.tasks.reserve(report.tasks.size());
    for (const workers::TaskReport &it : report.tasks) {
        converted.tasks.push_back({ .task = it.task,
                                    .epoch = it.epoch,
                                    .status = toBatch(it.status),
                                    .checkpoint = toCheckpoint(it.checkpoint) });
    }
    return converted;
}

batch::UsageReport toBatch(const workers::UsageReport &report)
{
    batch::UsageReport converted { .worker = report.worker,
                                   .incarnation = report.incarnation,
                                   .seq = report.sequence };
    for (const workers::TaskUsage &it : report.tasks) {
        const std::int64_t speed = std::max<std::int64_t>(it.speedPerMille, 1);
        converted.tasks.push_back(
                { .task = it.task,
                  .epoch = it.epoch,
                  .used = { .millicores = cutAmount(it.millicores),
                            .memoryMb = cutAmount(it.memoryMb) },
                  .slowdownPermille = cutAmount(fullSpeedPerMille * fullSpeedPerMille / speed) });
    }
    return converted;
}

std::vector<workers::WorkerCommand> toWorkerCommands(const batch::Command &call,
                                                     const state::StateMachine &machine)
{
    std::vector<workers::WorkerCommand> commands;
    std::visit(CallEncoder { .machine = machine, .commands = &commands }, call);
    return commands;
}

batch::CallId callOf(const batch::Command &command)
{
    return std::visit(CallOf {}, command);
}

batch::CallAnswer toBatch(workers::CommandOutcome outcome)
{
    if (outcome == workers::CommandOutcome::Done)
        return batch::CallAnswer::Ok;
    return outcome == workers::CommandOutcome::Unclear ? batch::CallAnswer::Timeout
                                                       : batch::CallAnswer::Failed;
}

} // namespace acaciafork::control
