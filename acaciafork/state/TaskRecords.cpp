#include "acaciafork/state/TaskRecords.h"

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {
namespace {

/// True for "team/job" and "@service/replica". No team's name begins with @ or holds a slash, so
/// that no team's job can take the id of another team's, or of a replica.
bool hasOwnerPrefix(const wire::SubmitTask &command)
{
    const std::string owner = command.team().empty() ? '@' + command.service() : command.team();
    return command.task().starts_with(owner + '/');
}

} // namespace

TaskSize sizeOf(const wire::Resources &amounts)
{
    return { .millicores = static_cast<std::uint32_t>(amounts.millicores()),
             .memoryMb = static_cast<std::uint32_t>(amounts.memory_mb()),
             .accelerators = static_cast<std::uint32_t>(amounts.accelerators()) };
}

void fillResources(const TaskSize &size, wire::Resources *amounts)
{
    amounts->set_millicores(size.millicores);
    amounts->set_memory_mb(size.memoryMb);
    amounts->set_accelerators(size.accelerators);
}

std::string validationError(const wire::SubmitTask &command, std::size_t payloadBytes)
{
    if (!isTaskId(command.task()))
        return "a task needs an id";
    if (command.team().empty() == command.service().empty())
        return "a task belongs to a team or to a service";
    if (!hasOwnerPrefix(command))
        return "the id must be team/job or @service/replica";
    if (command.family().size() > maxNameBytes || command.service().size() > maxNameBytes)
        return "a name is too long";
    if (!isBounded(command.size()))
        return "the size is out of bounds";
    if (command.size().millicores() == 0 || command.size().memory_mb() == 0)
        return "a task needs cores and memory";
    if (command.payload().size() > payloadBytes)
        return "the payload has more than " + std::to_string(payloadBytes) + " bytes";
    return {};
}

Task taskOf(const wire::SubmitTask &command, TextPool *pool)
{
    return Task {
        .team = { pool, command.team() },
        .service = { command.service() },
        .family = { pool, command.family() },
        .payload = command.payload(),
        .declaredRunMs = command.declared_run_ms(),
        .size = sizeOf(command.size()),
        .urgent = command.urgent(),
    };
}

void fillSubmission(std::string_view id, const Task &task, wire::SubmitTask *command)
{
    command->set_task(std::string(id));
    command->set_team(std::string(task.team.view()));
    command->set_service(task.service.value);
    command->set_family(std::string(task.family.view()));
    command->set_payload(task.payload);
    command->set_declared_run_ms(task.declaredRunMs);
    command->set_urgent(task.urgent);
    fillResources(task.size, command->mutable_size());
}

void fillRecord(std::string_view id, const Task &task, wire::TaskRecord *record)
{
    fillSubmission(id, task, record->mutable_submitted());
    record->set_state(task.state);
    record->set_epoch(task.epoch.value);
    record->set_worker(std::string(task.worker.view()));
    record->set_checkpoint(task.checkpoint);
    record->set_failures(task.failures);
    record->set_evictions(task.evictions);
    record->set_cancel_requested(task.cancelRequested);
    record->set_submitted_us(task.submittedMicroseconds);
    record->set_changed_us(task.changedMicroseconds);
    record->set_reason(std::string(task.reason.view()));
    fillResources(task.granted, record->mutable_granted());
}

Task taskOf(const wire::TaskRecord &record, TextPool *pool)
{
    Task task = taskOf(record.submitted(), pool);
    task.state = record.state();
    task.epoch = { record.epoch() };
    task.worker = { pool, record.worker() };
    task.checkpoint = record.checkpoint();
    task.failures = record.failures();
    task.evictions = record.evictions();
    task.cancelRequested = record.cancel_requested();
    task.submittedMicroseconds = record.submitted_us();
    task.changedMicroseconds = record.changed_us();
    task.reason = { pool, record.reason() };
    task.granted = sizeOf(record.granted());
    return task;
}

bool isSameSubmission(const wire::SubmitTask &command, const Task &task)
{
    return command.team() == task.team.view() && command.service() == task.service.value
            && command.family() == task.family.view() && command.payload() == task.payload
            && command.declared_run_ms() == task.declaredRunMs
            && sizeOf(command.size()) == task.size && command.urgent() == task.urgent;
}

} // namespace acaciafork::state
