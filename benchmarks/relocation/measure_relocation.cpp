/// Measures the time of a plan of serving task moves on 1,800 workers with six serving tasks each.
/// Deterministic by seed but for the times.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <span>
#include <vector>

#include "acaciafork/decisions/relocation/Relocation.h"

namespace {

using namespace acaciafork;
using namespace acaciafork::relocation;
using SteadyClock = std::chrono::steady_clock;

constexpr std::uint64_t seed = 20261206;
constexpr std::size_t workerCount = 1800;
constexpr std::size_t tasksPerWorker = 6;
constexpr std::size_t stepCount = 300;
constexpr int planCount = 200;
constexpr Duration planInterval = std::chrono::milliseconds(400);

/// Fleet to plan for.
struct FleetOptions
{
    const char *name = "";
    std::size_t images = 4;
    std::int64_t taskMillicores = 4000;
    /// No task may move.
    bool isPinned = false;
};

constexpr FleetOptions fleets[] = {
    { .name = "half full" },
    { .name = "nearly full", .taskMillicores = 5300 },
    { .name = "half full, pinned", .isPinned = true },
    { .name = "half full, 64 images", .images = maxImages },
    { .name = "nearly full, 64 images", .images = maxImages, .taskMillicores = 5300 },
};

FleetView makeFleet(const FleetOptions &options)
{
    constexpr Room workerRoom { .millicores = 32'000, .memoryMb = 128'000 };
    // All backfill images together ask for this many millicores.
    constexpr std::int64_t demand = 20'000'000;
    RandomGenerator random(seed);
    FleetView fleet;
    for (std::size_t it = 0; it < options.images; ++it) {
        fleet.images.push_back({ .id = static_cast<std::uint32_t>(it),
                                 .millicores = demand / static_cast<std::int64_t>(options.images),
                                 .isBlocked = true });
    }
    std::vector<ImageSet> excluded(stepCount);
    for (ImageSet &it : excluded)
        it = random() & random();
    std::uint32_t task = 0;
    for (std::size_t worker = 0; worker < workerCount; ++worker) {
        WorkerView &view = fleet.workers.emplace_back();
        view = { .id = static_cast<std::uint32_t>(worker),
                 .capacity = workerRoom,
                 .free = workerRoom,
                 .isUsable = true };
        for (std::size_t it = 0; it < tasksPerWorker; ++it) {
            const auto step = static_cast<std::uint32_t>(random() % stepCount);
            const Room room { .millicores = options.taskMillicores, .memoryMb = 4000 };
            view.free -= room;
            view.tasks.push_back({ .id = task++,
                                   .step = step,
                                   .room = room,
                                   .excluded = excluded[step],
                                   .mayMove = !options.isPinned });
        }
    }
    return fleet;
}

void carryOut(FleetView *fleet, std::span<const Relocation> moves)
{
    for (const Relocation &it : moves) {
        WorkerView &from = fleet->workers[it.from];
        WorkerView &to = fleet->workers[it.to];
        const auto task = std::ranges::find(from.tasks, it.task, &ServingTask::id);
        from.free += task->room;
        to.free -= task->room;
        to.tasks.push_back(*task);
        from.tasks.erase(task);
    }
}

void measure(const FleetOptions &options)
{
    FleetView fleet = makeFleet(options);
    RelocationPlanner planner;
    Timestamp now = timestampFromMicroseconds(1'000'000);
    std::vector<double> milliseconds;
    std::size_t moves = 0;
    for (int it = 0; it < planCount; ++it) {
        FleetView view = fleet;
        const auto start = SteadyClock::now();
        const std::vector<Relocation> plan = planner.plan(now, std::move(view));
        milliseconds.push_back(
                std::chrono::duration<double, std::milli>(SteadyClock::now() - start).count());
        carryOut(&fleet, plan);
        moves += plan.size();
        now += planInterval;
    }
    const double first = milliseconds.front();
    std::ranges::sort(milliseconds);
    std::printf("%-24s first %.2f ms, median %.2f ms, slowest %.2f ms; %zu moves, %zu open\n",
                options.name, first, milliseconds[milliseconds.size() / 2], milliseconds.back(),
                moves, planner.openCount());
}

} // namespace

int main()
{
    for (const FleetOptions &it : fleets)
        measure(it);
    return 0;
}
