/// Measures the replicated state: memory for each task, commands a second at four sizes, time and
/// size of snapshots. Deterministic by seed but for the times.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <random>
#include <string>
#include <vector>

#include "acaciafork/state/State.h"

namespace {

using namespace acaciafork;
using SteadyClock = std::chrono::steady_clock;

constexpr std::uint64_t seed = 20261203;
constexpr std::size_t commandsMeasured = 100'000;
constexpr std::size_t batchSize = 100;
constexpr double bytesPerMb = 1e6;

double secondsSince(SteadyClock::time_point start)
{
    return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

/// Bytes that the allocator has handed out.
std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// One state machine and the index of its last command.
struct Fixture
{
    state::StateMachine machine { CellId { 1 } };
    std::uint64_t index = 0;

    void apply(wire::Command command)
    {
        command.set_cell(1);
        command.set_time_us(1'000'000);
        const std::string bytes = state::encodeCommand(command);
        const state::ApplyResult result = machine.apply(++index, state::bytesOf(bytes));
        if (!state::succeeded(result)) {
            std::fprintf(stderr, "refused: %s\n", result.detail().c_str());
            std::exit(1); // NOLINT(concurrency-mt-unsafe)
        }
    }
};

std::string taskId(std::size_t i)
{
    return "partner-architects/night-building-" + std::to_string(i);
}

wire::Command addTeam()
{
    wire::Command command;
    wire::Team *team = command.mutable_put_team()->mutable_team();
    team->set_name("partner-architects");
    team->set_token_digest(std::string(32, 'd'));
    team->set_weight(1);
    team->mutable_quota()->set_millicores(state::maxResourceAmount);
    team->mutable_quota()->set_memory_mb(state::maxResourceAmount);
    return command;
}

wire::Command submit(std::size_t i)
{
    wire::Command command;
    wire::SubmitTask *task = command.mutable_submit_task();
    task->set_task(taskId(i));
    task->set_team("partner-architects");
    task->set_family("whole-building-layout");
    task->set_payload(std::string(64, 'p'));
    task->mutable_size()->set_millicores(1000);
    task->mutable_size()->set_memory_mb(2000);
    return command;
}

wire::Command lease(std::size_t i, std::uint64_t epoch)
{
    wire::Command command;
    wire::LeaseTask *body = command.mutable_lease_task();
    body->set_task(taskId(i));
    body->set_worker("tw-north-a-rack-17-worker-" + std::to_string(i % 8200));
    body->set_epoch(epoch);
    return command;
}

wire::Command started(std::size_t i)
{
    wire::Command command;
    command.mutable_task_started()->set_task(taskId(i));
    command.mutable_task_started()->set_epoch(1);
    return command;
}

wire::Command stopped(std::size_t i, std::uint64_t epoch)
{
    wire::Command command;
    command.mutable_task_stopped()->set_task(taskId(i));
    command.mutable_task_stopped()->set_epoch(epoch);
    return command;
}

/// Puts commands into log entries of one batch each.
std::vector<std::string> encodeBatches(const std::vector<wire::Command> &commands)
{
    std::vector<std::string> entries;
    for (std::size_t from = 0; from < commands.size(); from += batchSize) {
        wire::Command batch;
        batch.set_cell(1);
        batch.set_time_us(1'000'000);
        const std::size_t end = std::min(commands.size(), from + batchSize);
        for (std::size_t i = from; i < end; ++i)
            *batch.mutable_batch()->add_commands() = commands[i];
        entries.push_back(state::encodeCommand(batch));
    }
    return entries;
}

/// Stops and leases again tasks drawn at random: two commands for each start.
std::vector<wire::Command> churn(std::size_t tasks)
{
    std::mt19937_64 random(seed); // NOLINT(cert-msc51-cpp): the seed is fixed on purpose
    std::vector<std::uint64_t> epochs(tasks, 1);
    std::vector<wire::Command> commands;
    while (commands.size() < commandsMeasured) {
        const std::size_t i = random() % tasks;
        commands.push_back(stopped(i, epochs[i]));
        commands.push_back(lease(i, ++epochs[i]));
    }
    return commands;
}

void measure(std::size_t tasks)
{
    Fixture fixture;
    fixture.apply(addTeam());
    const std::size_t before = allocatedBytes();
    for (std::size_t i = 0; i < tasks; ++i) {
        fixture.apply(submit(i));
        fixture.apply(lease(i, 1));
        fixture.apply(started(i));
    }
    const std::size_t held = allocatedBytes() - before;

    // Commands a second, decoding included, as a member applies them.
    const std::vector<std::string> entries = encodeBatches(churn(tasks));
    std::size_t bytes = 0;
    auto start = SteadyClock::now();
    for (const std::string &it : entries) {
        fixture.machine.apply(++fixture.index, state::bytesOf(it));
        bytes += it.size();
    }
    const double perSecond = static_cast<double>(commandsMeasured) / secondsSince(start);

    start = SteadyClock::now();
    const std::string snapshot = fixture.machine.snapshot();
    const double writeSeconds = secondsSince(start);
    state::StateMachine copy(CellId { 1 });
    start = SteadyClock::now();
    const bool isRestored = static_cast<bool>(copy.restore(state::bytesOf(snapshot)));
    const double readSeconds = secondsSince(start);
    std::printf("| %zu | %zu | %.1f | %.0f | %zu | %.1f | %zu | %.3f | %.3f |\n", tasks,
                held / tasks, static_cast<double>(held) / bytesPerMb, perSecond,
                bytes / commandsMeasured, static_cast<double>(snapshot.size()) / bytesPerMb,
                snapshot.size() / tasks, writeSeconds, isRestored ? readSeconds : -1.0);
}

} // namespace

int main()
{
    std::printf(
            "| tasks running | bytes a task | MB in all | commands/s | bytes a command in the log "
            "| snapshot MB | snapshot bytes a task | write s | restore s |\n"
            "|---|---|---|---|---|---|---|---|---|\n");
    for (const std::size_t tasks : { 10'000U, 50'000U, 277'000U, 500'000U })
        measure(tasks);
    return 0;
}
