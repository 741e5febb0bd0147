#include "acaciafork/control/JobCommandRunner.h"

#include <optional>

#include <spdlog/spdlog.h>

#include "acaciafork/control/JobCodec.h"

namespace acaciafork::control {

namespace {

wire::Command toProposal(const jobs::RecordEnds &record)
{
    wire::Command proposal;
    *proposal.mutable_record_task_ends() = toState(record);
    return proposal;
}

wire::Command toProposal(const jobs::RecordExposures &record)
{
    wire::Command proposal;
    *proposal.mutable_record_crash_exposures() = toState(record);
    return proposal;
}

wire::Command toProposal(const jobs::RecordWorkers &record)
{
    wire::Command proposal;
    wire::ChangeWorkers *change = proposal.mutable_change_workers();
    for (const jobs::WorkerLife &it : record.put)
        *change->add_put() = toState(it);
    for (const WorkerName &it : record.removed)
        change->add_removed(it.value);
    return proposal;
}

} // namespace

template <typename Record>
void JobCommandRunner::proposeRecords(RecordQueue<Record> *queue) const
{
    while (const Record *record = queue->next()) {
        wire::Command command = toProposal(*record);
        const std::uint64_t proposal = queue->beginProposal();
        const auto answered = [owner = &driver, queue, leadership = driver.m_leadership,
                               proposal](Moment when, const state::ApplyResult *result) {
            if (leadership != owner->m_leadership)
                return;
            if (result == nullptr) {
                if (queue->proposalFailed(proposal))
                    spdlog::warn("event=record-outcome-unknown tenure={}", owner->m_tenure.value);
                return;
            }
            queue->proposalCommitted(proposal);
            while (const std::optional<Record> committed = queue->takeCommitted())
                owner->recorded(when, *committed);
        };
        if (!driver.m_propose(at, std::move(command), answered)) {
            queue->proposalFailed(proposal);
            return;
        }
    }
}

void JobCommandRunner::proposeRecords() const
{
    proposeRecords(&driver.m_endRecords);
    proposeRecords(&driver.m_exposureRecords);
    proposeRecords(&driver.m_workerRecords);
}

void JobCommandRunner::operator()(const jobs::StartRun &command) const
{
    if (command.recordedBy == 0)
        order(command);
    else
        driver.m_unrecordedStarts.emplace(
                command.recordedBy,
                JobDriver::UnrecordedStart { .start = command, .since = at.now });
}

void JobCommandRunner::order(const jobs::StartRun &command) const
{
    const state::Job *job = driver.m_state->jobs().find(command.run.task.job.value);
    spdlog::info("event=run-placed task={} run={} worker={} free-millicores={} free-mb={} "
                 "waited-ms={} job-idle-ms={} image={} resumes={}",
                 jobs::taskName(command.run.task), command.run.run.value, command.target.name.value,
                 command.freeBefore.millicores, command.freeBefore.memoryMb,
                 command.waited / std::chrono::milliseconds(1),
                 command.jobIdle / std::chrono::milliseconds(1), command.image,
                 !command.checkpoint.empty());
    driver.m_waitTime->observe(command.waited);
    driver.m_orders->start(command, job == nullptr ? std::string_view() : job->spec->payload(),
                           driver.m_tenure);
}

void JobCommandRunner::operator()(const jobs::StopRun &command) const
{
    spdlog::info("event=run-stop task={} run={} worker={} reason={}",
                 jobs::taskName(command.run.task), command.run.run.value, command.target.name.value,
                 command.reason);
    driver.m_orders->stop(command, driver.m_tenure);
}

void JobCommandRunner::operator()(const jobs::PaceRun &command) const
{
    driver.m_orders->pace(command, driver.m_tenure);
}

void JobCommandRunner::operator()(const jobs::RenewWorkerLease &command) const
{
    driver.m_orders->hold(command, driver.m_tenure);
}

void JobCommandRunner::operator()(const jobs::RequestPermits &command) const
{
    if (driver.m_advisor != nullptr) {
        driver.m_advisor->ask(command, driver.m_tenure);
        return;
    }
    spdlog::warn("event=advisor-missing job={:016x}", command.step.job.value);
    driver.permitsAnswered(at, { .step = command.step, .tenure = driver.m_tenure });
}

void JobCommandRunner::operator()(const jobs::RecordEnds &command) const
{
    driver.m_endRecords.add(command);
    proposeRecords(&driver.m_endRecords);
}

void JobCommandRunner::operator()(const jobs::RecordExposures &command) const
{
    driver.m_exposureRecords.add(command);
    proposeRecords(&driver.m_exposureRecords);
}

void JobCommandRunner::operator()(const jobs::RecordWorkers &command) const
{
    driver.m_workerRecords.add(command);
    proposeRecords(&driver.m_workerRecords);
}

void JobCommandRunner::operator()(const jobs::RecordDisturbance &command) const
{
    wire::Command proposal;
    *proposal.mutable_record_disturbance() = toState(command);
    // One that can't be proposed now is replaced by the next.
    (void)driver.m_propose(at, std::move(proposal), [](Moment, const state::ApplyResult *) {});
}

void JobCommandRunner::operator()(const jobs::JobEnded &command) const
{
    const auto ageMs = command.age / std::chrono::milliseconds(1);
    const auto objectiveMs = command.objective / std::chrono::milliseconds(1);
    spdlog::info("event=job-ended job={:016x} outcome={} age-ms={} objective-ms={} late={}",
                 command.job.value, command.outcome, ageMs, objectiveMs, ageMs > objectiveMs);
    if (command.outcome == "completed")
        driver.m_jobTime->observe(command.age);
}

void JobCommandRunner::operator()(const jobs::LogEvent &command) const
{
    spdlog::info("event={} task={} run={} worker={} {}", command.event,
                 jobs::taskName(command.task), command.run.value, command.worker.value,
                 command.detail);
}

} // namespace acaciafork::control
