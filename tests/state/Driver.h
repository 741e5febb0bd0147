#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "acaciafork/state/State.h"

namespace acaciafork::state {

/// Cell used by the tests.
inline constexpr CellId testCell { 1 };

/// Applies commands to a state machine and keeps them in a log.
class Driver
{
public:
    explicit Driver(const StateLimits &limits = {})
        : machine(testCell, limits)
    { }

    /// Applies a command with `now` as its time.
    ApplyResult apply(wire::Command command)
    {
        command.set_cell(testCell.value);
        command.set_time_us(now);
        log.push_back(encodeCommand(command));
        return machine.apply(log.size(), bytesOf(log.back()));
    }

    StateMachine machine;
    std::vector<std::string> log;
    std::int64_t now = 1'000'000;
};

/// Command that proposes a document with one service.
inline wire::Command proposal(std::uint64_t expected, const std::string &author)
{
    wire::Command command;
    wire::ProposeConfig *body = command.mutable_propose_config();
    body->set_expected_version(expected);
    body->set_author(author);
    wire::ServiceSpec *service = body->mutable_document()->add_services();
    service->set_name("loopdraw");
    service->set_slots(8);
    service->set_connections(64);
    service->set_deadline_ms(1000);
    service->set_longest_deadline_ms(5000);
    return command;
}

/// Command that creates a team with a quota in millicores.
inline wire::Command team(const std::string &name, std::uint64_t millicores)
{
    wire::Command command;
    wire::Team *body = command.mutable_put_team()->mutable_team();
    body->set_name(name);
    body->set_token_digest(std::string(32, 'd'));
    body->set_weight(1);
    body->mutable_quota()->set_millicores(millicores);
    body->mutable_quota()->set_memory_mb(1'000'000);
    return command;
}

/// Command that submits a batch task of one core.
inline wire::Command job(const std::string &task, const std::string &owner)
{
    wire::Command command;
    wire::SubmitTask *body = command.mutable_submit_task();
    body->set_task(task);
    body->set_team(owner);
    body->set_family("night-building");
    body->mutable_size()->set_millicores(1000);
    body->mutable_size()->set_memory_mb(512);
    return command;
}

/// Command that leases a task.
inline wire::Command lease(const std::string &task, const std::string &worker, std::uint64_t epoch,
                           const std::string &checkpoint = {})
{
    wire::Command command;
    wire::LeaseTask *body = command.mutable_lease_task();
    body->set_task(task);
    body->set_worker(worker);
    body->set_epoch(epoch);
    body->set_checkpoint(checkpoint);
    return command;
}

/// Command that reports that a lease has ended before the task was finished.
inline wire::Command stopped(const std::string &task, std::uint64_t epoch,
                             wire::StopReason reason = wire::STOP_REASON_EVICTED,
                             const std::string &checkpoint = {})
{
    wire::Command command;
    wire::TaskStopped *body = command.mutable_task_stopped();
    body->set_task(task);
    body->set_epoch(epoch);
    body->set_reason(reason);
    body->set_checkpoint(checkpoint);
    return command;
}

/// Command that reports that a task has finished successfully.
inline wire::Command finished(const std::string &task, std::uint64_t epoch)
{
    wire::Command command;
    command.mutable_task_finished()->set_task(task);
    command.mutable_task_finished()->set_epoch(epoch);
    return command;
}

/// Command that cancels a task.
inline wire::Command cancel(const std::string &task)
{
    wire::Command command;
    command.mutable_cancel_task()->set_task(task);
    return command;
}

/// Command that adds a rack.
inline wire::Command rack(const std::string &name, const std::string &building)
{
    wire::Command command;
    command.mutable_put_rack()->set_name(name);
    command.mutable_put_rack()->set_building(building);
    command.mutable_put_rack()->set_zone("tw-north-a");
    return command;
}

/// Command that changes a rack's state.
inline wire::Command changeRack(const std::string &name, wire::RackState target,
                                std::uint64_t expected)
{
    wire::Command command;
    command.mutable_change_rack()->set_name(name);
    command.mutable_change_rack()->set_target(target);
    command.mutable_change_rack()->set_expected_version(expected);
    return command;
}

/// Command that begins a non-idempotent request.
inline wire::Command ledgerBegin(const std::string &key, std::uint64_t attempt,
                                 const std::string &digest = "digest")
{
    wire::Command command;
    wire::LedgerBegin *body = command.mutable_ledger_begin();
    body->set_service("permits");
    body->set_key(key);
    body->set_body_digest(digest);
    body->set_attempt(attempt);
    return command;
}

/// Command that records the outcome of a non-idempotent request.
inline wire::Command ledgerEnd(const std::string &key, std::uint64_t attempt,
                               wire::LedgerOutcome outcome)
{
    wire::Command command;
    wire::LedgerClose *body = command.mutable_ledger_end()->add_closes();
    body->set_service("permits");
    body->set_key(key);
    body->set_attempt(attempt);
    body->set_outcome(outcome);
    body->set_status(200);
    return command;
}

} // namespace acaciafork::state
