#include "acaciafork/control/OrderCodec.h"

#include "acaciafork/control/JobCodec.h"

namespace acaciafork::control {
namespace {

void encodeTarget(const jobs::OrderTarget &target, wire::WorkerOrder *message)
{
    message->set_number(target.order);
    message->set_worker(target.worker.value);
    message->set_name(target.name.value);
    message->set_born(target.born.value);
    message->set_address(target.address);
    message->set_life(target.life);
}

jobs::OrderTarget decodeTarget(const wire::WorkerOrder &message)
{
    return { .worker = { message.worker() },
             .name = { message.name() },
             .born = { message.born() },
             .address = message.address(),
             .life = message.life(),
             .order = message.number() };
}

void encodeRun(const jobs::RunKey &run, wire::TaskRun *message)
{
    message->set_job(run.task.job.value);
    message->set_occurrence(run.task.occurrence);
    message->set_step(run.task.step);
    message->set_task(run.task.task);
    message->set_run(run.run.value);
}

jobs::RunKey decodeRun(const wire::TaskRun &message)
{
    return { .task = { .job = { message.job() },
                       .occurrence = message.occurrence(),
                       .step = message.step(),
                       .task = message.task() },
             .run = { message.run() } };
}

} // namespace

void encodeOrder(const jobs::StartRun &order, std::string_view payload, wire::WorkerOrder *message)
{
    encodeTarget(order.target, message);
    wire::StartOrder *start = message->mutable_start();
    encodeRun(order.run, start->mutable_run());
    start->set_lease_end_ms(order.leaseEndMs);
    start->set_checkpoint(order.checkpoint);
    start->set_permit(order.permit);
    start->set_timeout_us(order.timeout.count());
    start->set_payload(payload.data(), payload.size());
}

void encodeOrder(const jobs::StopRun &order, wire::WorkerOrder *message)
{
    encodeTarget(order.target, message);
    encodeRun(order.run, message->mutable_stop()->mutable_run());
}

void encodeOrder(const jobs::PaceRun &order, wire::WorkerOrder *message)
{
    encodeTarget(order.target, message);
    encodeRun(order.run, message->mutable_pace()->mutable_run());
    message->mutable_pace()->set_percent(order.percent);
}

void encodeOrder(const jobs::RenewWorkerLease &order, wire::WorkerOrder *message)
{
    encodeTarget(order.target, message);
    wire::RenewalOrder *renewal = message->mutable_renewal();
    renewal->set_recorded_ends(order.recordedEnds);
    renewal->set_lease_end_ms(order.leaseEndMs);
    renewal->set_wait_us(order.wait.count());
    renewal->set_immediate(order.isImmediate);
}

jobs::StartRun decodeStart(const wire::WorkerOrder &message)
{
    const wire::StartOrder &start = message.start();
    return { .target = decodeTarget(message),
             .run = decodeRun(start.run()),
             .leaseEndMs = start.lease_end_ms(),
             .checkpoint = start.checkpoint(),
             .permit = start.permit(),
             .timeout = Duration(start.timeout_us()) };
}

jobs::StopRun decodeStop(const wire::WorkerOrder &message)
{
    return { .target = decodeTarget(message), .run = decodeRun(message.stop().run()) };
}

jobs::PaceRun decodePace(const wire::WorkerOrder &message)
{
    return { .target = decodeTarget(message),
             .run = decodeRun(message.pace().run()),
             .percent = message.pace().percent() };
}

jobs::RenewWorkerLease decodeRenewal(const wire::WorkerOrder &message)
{
    const wire::RenewalOrder &renewal = message.renewal();
    return { .target = decodeTarget(message),
             .recordedEnds = renewal.recorded_ends(),
             .leaseEndMs = renewal.lease_end_ms(),
             .wait = Duration(renewal.wait_us()),
             .isImmediate = renewal.immediate() };
}

void encodeLists(const jobs::RenewalAnswer &lists, wire::WorkerLists *message)
{
    message->set_born(lists.born.value);
    message->set_clock_ms(lists.clockMs);
    message->set_has_more(lists.hasMore);
    message->set_unreadable_rows(lists.unreadableRows);
    for (const jobs::RunningRow &it : lists.running) {
        wire::RunningTask *row = message->add_running();
        encodeRun(it.run, row->mutable_run());
        row->set_checkpoint(it.checkpoint);
        row->set_percent(it.percent);
        row->set_load(it.load);
    }
    for (const jobs::EndedRow &it : lists.ended) {
        wire::EndedTask *row = message->add_ended();
        row->set_number(it.number);
        encodeRun(it.run, row->mutable_run());
        row->set_end(static_cast<std::uint32_t>(it.end));
        row->set_checkpoint(it.checkpoint);
    }
}

Result<jobs::RenewalAnswer> decodeLists(const wire::WorkerLists &message)
{
    jobs::RenewalAnswer lists { .born = { message.born() }, .clockMs = message.clock_ms() };
    lists.hasMore = message.has_more();
    lists.unreadableRows = message.unreadable_rows();
    lists.running.reserve(static_cast<std::size_t>(message.running_size()));
    for (const wire::RunningTask &it : message.running())
        lists.running.push_back({ .run = decodeRun(it.run()),
                                  .checkpoint = it.checkpoint(),
                                  .percent = it.percent(),
                                  .load = it.load() });
    lists.ended.reserve(static_cast<std::size_t>(message.ended_size()));
    for (const wire::EndedTask &it : message.ended()) {
        if (it.end() > static_cast<std::uint32_t>(jobs::RunEnd::Alone))
            return fail(FailureKind::Protocol,
                        "expected a kind of end up to "
                                + std::to_string(static_cast<int>(jobs::RunEnd::Alone)) + ", got "
                                + std::to_string(it.end()));
        lists.ended.push_back({ .number = it.number(),
                                .run = decodeRun(it.run()),
                                .end = static_cast<jobs::RunEnd>(it.end()),
                                .checkpoint = it.checkpoint() });
    }
    return lists;
}

jobs::OrderOutcome decodeOutcome(std::uint32_t number)
{
    return number <= static_cast<std::uint32_t>(jobs::OrderOutcome::Refused)
            ? static_cast<jobs::OrderOutcome>(number)
            : jobs::OrderOutcome::Unanswered;
}

void encodeReport(const jobs::WorkerReport &report, wire::WorkerReport *message)
{
    *message->mutable_life() = toState(report.life);
    message->set_sequence(report.sequence);
    message->set_clock_ms(report.clockMs);
    message->set_cold_ms(report.coldFor / std::chrono::milliseconds(1));
}

jobs::WorkerReport decodeReport(const wire::WorkerReport &message)
{
    return { .life = toJobs(message.life()),
             .sequence = message.sequence(),
             .clockMs = message.clock_ms(),
             .coldFor = std::chrono::milliseconds(message.cold_ms()) };
}

} // namespace acaciafork::control
