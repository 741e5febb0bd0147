#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>

#include "tests/decisions/relocation/RelocationFleet.h"

using namespace acaciafork;
using namespace acaciafork::relocation;
using namespace std::chrono_literals;

namespace {

constexpr Room workerRoom { .millicores = 32'000, .memoryMb = 64'000 };
constexpr Room taskRoom { .millicores = 4000, .memoryMb = 4000 };
constexpr ImageSet noImage = 0;
constexpr ImageSet firstImage = 1;
constexpr ImageSet secondImage = 2;

/// Adds workers with the given number of tasks, each of a step of its own.
void addWorkers(RelocationFleet *fleet, std::size_t workers, std::size_t tasks, ImageSet excluded)
{
    for (std::size_t worker = 0; worker < workers; ++worker) {
        WorkerView &view = fleet->addWorker(workerRoom);
        for (std::size_t it = 0; it < tasks; ++it)
            fleet->addTask(&view, static_cast<std::uint32_t>(worker * tasks + it), taskRoom,
                           excluded);
    }
}

/// Adds one worker with the given number of tasks, to be opened for an image, and others that are
/// full.
void addSwapFleet(RelocationFleet *fleet, std::uint32_t tasks)
{
    // The only room is on the worker that is opened.
    WorkerView &worker = fleet->addWorker(workerRoom);
    std::uint32_t step = 0;
    for (; step < tasks; ++step)
        fleet->addTask(&worker, step, taskRoom, firstImage);
    for (int n = 0; n < 7; ++n) {
        WorkerView &full = fleet->addWorker(workerRoom);
        for (int it = 0; it < 8; ++it)
            fleet->addTask(&full, step++, taskRoom, it < 2 ? noImage : firstImage);
    }
    fleet->addImage(20'000);
}

/// Fleet drawn from a seed: workers of several sizes, some unusable, tasks with and without limits
/// and some that may not move.
RelocationFleet randomFleet(std::uint64_t seed)
{
    RandomGenerator random(seed);
    const auto draw = [&](std::uint64_t n) { return random() % n; };
    RelocationFleet fleet;
    const std::size_t images = draw(6);
    for (std::size_t it = 0; it < images; ++it)
        fleet.addImage(static_cast<std::int64_t>(draw(400'000)), draw(3) != 0);
    struct StepSpec
    {
        Room room;
        ImageSet excluded = 0;
        std::uint32_t maxPerWorker = 0;
    };
    std::vector<StepSpec> steps(1 + draw(20));
    for (StepSpec &it : steps) {
        it.room = { .millicores = static_cast<std::int64_t>(500 + draw(6000)),
                    .memoryMb = static_cast<std::int64_t>(500 + draw(12'000)) };
        it.excluded = draw(64) & draw(64) & ((ImageSet { 1 } << images) - 1);
        it.maxPerWorker = static_cast<std::uint32_t>(draw(3));
    }
    const std::size_t workers = draw(30);
    const std::size_t fill = draw(14);
    for (std::size_t n = 0; n < workers; ++n) {
        const auto size = static_cast<std::int64_t>(1 + draw(4));
        WorkerView &worker =
                fleet.addWorker({ .millicores = 16'000 * size, .memoryMb = 32'000 * size });
        worker.isUsable = draw(10) != 0;
        worker.otherMillicores = static_cast<std::int64_t>(draw(4) * 1000);
        worker.free.millicores -= worker.otherMillicores;
        for (std::size_t it = 0; it < fill; ++it) {
            const auto step = static_cast<std::uint32_t>(draw(steps.size()));
            const StepSpec &spec = steps[step];
            const auto there = std::ranges::count(worker.tasks, step, &ServingTask::step);
            if (!spec.room.fitsIn(worker.free)
                || (spec.maxPerWorker > 0 && there >= spec.maxPerWorker))
                continue;
            fleet.addTask(&worker, step, spec.room, spec.excluded, spec.maxPerWorker);
            worker.tasks.back().mayMove = draw(8) != 0;
        }
    }
    return fleet;
}

} // namespace

TEST_CASE("serving tasks spread over all workers leave a blocked image no worker")
{
    RelocationFleet fleet;
    addWorkers(&fleet, 20, 3, firstImage);
    fleet.addImage(160'000);
    const std::optional<std::size_t> moves = fleet.settle();
    REQUIRE(moves);
    CHECK(fleet.clearMillicores() >= 160'000);
    // One move for each task of five workers.
    CHECK(*moves == 15);
}

TEST_CASE("serving tasks on a full fleet are swapped to open a worker")
{
    RelocationFleet fleet;
    addSwapFleet(&fleet, 4);
    CHECK(fleet.settle() == 8);
    CHECK(fleet.clearMillicores() == 32'000);
}

TEST_CASE("swaps that take two seconds are ordered again and again")
{
    RelocationFleet fleet;
    fleet.moveTime = 2s;
    addSwapFleet(&fleet, 1);
    CHECK(fleet.settle() == 2);
    CHECK(fleet.clearMillicores() == 32'000);
}

TEST_CASE("moves end")
{
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        CAPTURE(seed);
        RelocationFleet fleet = randomFleet(seed);
        std::size_t tasks = 0;
        for (const WorkerView &it : fleet.view.workers)
            tasks += it.tasks.size();
        const std::optional<std::size_t> moves = fleet.settle();
        CHECK(moves);
        // A task leaves an open worker, or makes room for one that does.
        CHECK(moves.value_or(0) <= 2 * tasks);
    }
}

TEST_CASE("moves that take two seconds don't end")
{
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        CAPTURE(seed);
        RelocationFleet fleet = randomFleet(seed);
        fleet.moveTime = 2s;
        CHECK(fleet.settle());
    }
}

TEST_CASE("workers with tasks that can't move are opened in turn")
{
    for (const std::uint64_t seed : { 11104, 11284, 22072 }) {
        CAPTURE(seed);
        RelocationFleet fleet = randomFleet(seed);
        CHECK(fleet.settle());
    }
}

TEST_CASE("a plan breaks no limit while the fleet and the demand change")
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        CAPTURE(seed);
        RelocationFleet fleet = randomFleet(seed);
        RandomGenerator random(seed);
        const auto draw = [&](std::uint64_t n) { return random() % n; };
        for (int it = 0; it < 150; ++it) {
            // RelocationFleet checks each plan.
            fleet.step();
            for (ImageDemand &image : fleet.view.images) {
                if (draw(10) == 0)
                    image.millicores = static_cast<std::int64_t>(draw(400'000));
                if (draw(10) == 0)
                    image.isBlocked = !image.isBlocked;
            }
            for (WorkerView &worker : fleet.view.workers) {
                if (draw(30) == 0)
                    worker.isUsable = !worker.isUsable;
                for (ServingTask &task : worker.tasks) {
                    if (draw(10) == 0)
                        task.mayMove = !task.mayMove;
                }
            }
        }
    }
}

TEST_CASE("a worker is closed again when serving tasks need its room")
{
    RelocationFleet fleet;
    addWorkers(&fleet, 10, 3, firstImage);
    fleet.addImage(160'000);
    REQUIRE(fleet.settle());
    const std::set<std::uint32_t> before = fleet.open();
    REQUIRE(before.size() == 5);
    for (WorkerView &worker : fleet.view.workers) {
        for (std::uint32_t it = 0; !before.contains(worker.id) && it < 2; ++it)
            fleet.addTask(&worker, 1000 + it, taskRoom, firstImage);
    }
    // The one with a task that would have to leave again is the first to be closed.
    WorkerView &used = *std::ranges::find(fleet.view.workers, *before.begin(), &WorkerView::id);
    fleet.addTask(&used, 2000, taskRoom, firstImage);
    // 164 cores of tasks need six of ten workers.
    fleet.step();
    CHECK(fleet.open().size() == 4);
    CHECK_FALSE(fleet.open().contains(used.id));
}

TEST_CASE("an image whose tasks run on open workers loses them as it isn't blocked any more")
{
    RelocationFleet fleet;
    addWorkers(&fleet, 20, 3, firstImage);
    fleet.addImage(160'000);
    REQUIRE(fleet.settle());
    const std::set<std::uint32_t> before = fleet.open();
    fleet.view.images[0].isBlocked = false;
    for (int it = 0; it < 50; ++it)
        fleet.step();
    CHECK(fleet.open() == before);
    // Its tasks have ended.
    fleet.view.images[0].millicores = 0;
    fleet.step();
    CHECK(fleet.open().empty());
}

TEST_CASE("open workers go to another image when the order of the images changes")
{
    RelocationFleet fleet;
    addWorkers(&fleet, 10, 3, firstImage);
    addWorkers(&fleet, 10, 3, secondImage);
    fleet.addImage(96'000);
    fleet.addImage(64'000);
    REQUIRE(fleet.settle());
    std::map<std::uint32_t, ImageSet> before;
    for (const WorkerView &it : fleet.view.workers)
        before[it.id] = fleet.planner.openTo(it.id);
    std::ranges::swap(fleet.view.images[0], fleet.view.images[1]);
    const auto swapped = [](ImageSet images) { return (images & 1) << 1 | (images & 2) >> 1; };
    for (WorkerView &worker : fleet.view.workers) {
        for (ServingTask &it : worker.tasks)
            it.excluded = swapped(it.excluded);
    }
    CHECK(fleet.step().empty());
    for (const WorkerView &it : fleet.view.workers)
        CHECK(fleet.planner.openTo(it.id) == swapped(before[it.id]));
}

TEST_CASE("open workers change with each plan as estimates move images between groups")
{
    RelocationFleet fleet;
    addWorkers(&fleet, 10, 2, firstImage | secondImage);
    addWorkers(&fleet, 10, 2, noImage);
    addWorkers(&fleet, 9, 2, secondImage);
    fleet.addImage(100'000);
    fleet.addImage(90'000);
    REQUIRE(fleet.settle());
    const std::set<std::uint32_t> before = fleet.open();
    std::size_t moves = 0;
    for (int it = 0; it < 100; ++it) {
        // Of the tasks that bear the first image, 20 or 18 of 38 bear the second one too.
        for (WorkerView &worker : fleet.view.workers) {
            for (ServingTask &task : worker.tasks) {
                if (task.id == 20 || task.id == 21)
                    task.excluded = it % 2 == 0 ? secondImage : noImage;
            }
        }
        std::swap(fleet.view.images[0].millicores, fleet.view.images[1].millicores);
        moves += fleet.step().size();
    }
    CHECK(fleet.open() == before);
    CHECK(moves <= 2);
}

TEST_CASE("workers are opened though the rest has no memory for the tasks that leave them")
{
    RelocationFleet fleet;
    for (std::uint32_t it = 0; it < 10; ++it) {
        WorkerView &worker = fleet.addWorker(workerRoom);
        fleet.addTask(&worker, it, { .millicores = 1000, .memoryMb = 55'000 }, firstImage);
    }
    fleet.addImage(100'000);
    CHECK(fleet.settle() == 0);
    CHECK(fleet.open().empty());
}

TEST_CASE("a step with one task on each worker keeps open workers from becoming clear")
{
    RelocationFleet fleet;
    for (std::uint32_t it = 0; it < 10; ++it) {
        WorkerView &worker = fleet.addWorker(workerRoom);
        if (it < 8)
            fleet.addTask(&worker, 0, taskRoom, firstImage, 1);
        else
            fleet.addTask(&worker, it, taskRoom, firstImage);
    }
    fleet.addImage(300'000);
    REQUIRE(fleet.settle());
    CHECK(fleet.open().size() == 2);
    CHECK(fleet.clearMillicores() == 64'000);
}

TEST_CASE("a worker whose task can't move is held open for nothing")
{
    RelocationFleet fleet;
    addWorkers(&fleet, 10, 2, firstImage);
    fleet.addImage(32'000);
    REQUIRE(fleet.step().size() == 2);
    const std::set<std::uint32_t> before = fleet.open();
    REQUIRE(before.size() == 1);
    WorkerView &worker = *std::ranges::find(fleet.view.workers, *before.begin(), &WorkerView::id);
    fleet.addTask(&worker, 1000, taskRoom, firstImage);
    worker.tasks.back().mayMove = false;
    REQUIRE(fleet.settle());
    CHECK(fleet.clearMillicores() == 32'000);
    CHECK(fleet.open().size() == 1);
}

TEST_CASE("a second blocked image finds all open workers taken by the first")
{
    RelocationFleet fleet;
    addWorkers(&fleet, 10, 2, firstImage);
    addWorkers(&fleet, 10, 2, secondImage);
    fleet.addImage(400'000);
    REQUIRE(fleet.settle());
    fleet.addImage(100'000);
    REQUIRE(fleet.settle());
    std::size_t n = 0;
    for (const WorkerView &it : fleet.view.workers)
        n += fleet.planner.openTo(it.id) == secondImage ? 1 : 0;
    CHECK(n > 0);
}

TEST_CASE("a task is moved to and fro as its worker opens and closes")
{
    RelocationSettings settings;
    RelocationFleet fleet(settings);
    addWorkers(&fleet, 6, 2, firstImage);
    fleet.addImage(64'000);
    std::map<std::uint32_t, Timestamp> movedAt;
    for (int it = 0; it < 300; ++it) {
        fleet.view.images[0].millicores = it % 7 < 3 ? 64'000 : 0;
        const Timestamp now = fleet.now;
        for (const Relocation &move : fleet.step()) {
            const auto [last, isFirst] = movedAt.try_emplace(move.task, now);
            CHECK((isFirst || now - last->second >= settings.minStayTime));
            last->second = now;
        }
    }
}

TEST_CASE("an open worker that is unusable for a moment is replaced for good")
{
    RelocationFleet fleet;
    addWorkers(&fleet, 20, 3, firstImage);
    fleet.addImage(160'000);
    REQUIRE(fleet.settle());
    const std::set<std::uint32_t> before = fleet.open();
    WorkerView &worker = *std::ranges::find(fleet.view.workers, *before.begin(), &WorkerView::id);
    std::size_t moves = 0;
    for (int it = 0; it < 100; ++it) {
        worker.isUsable = it % 10 >= 3;
        moves += fleet.step().size();
        CHECK(fleet.open().contains(worker.id) == worker.isUsable);
    }
    CHECK(fleet.open() == before);
    CHECK(moves == 0);
    // It stays away.
    worker.isUsable = false;
    REQUIRE(fleet.settle());
    CHECK(fleet.clearMillicores() == 160'000);
}

TEST_CASE("an empty view or one without usable workers breaks an assertion")
{
    RelocationFleet fleet;
    CHECK(fleet.step().empty());
    fleet.addImage(100'000);
    CHECK(fleet.step().empty());
    addWorkers(&fleet, 4, 2, firstImage);
    for (WorkerView &it : fleet.view.workers)
        it.isUsable = false;
    CHECK(fleet.step().empty());
    CHECK(fleet.open().empty());
}

TEST_CASE("the last of 64 images gets no open worker")
{
    RelocationFleet fleet;
    addWorkers(&fleet, 10, 2, ImageSet { 1 } << 63);
    for (std::size_t it = 0; it < maxImages; ++it)
        fleet.addImage(32'000, it == maxImages - 1);
    REQUIRE(fleet.settle());
    CHECK(fleet.clearMillicores() == 32'000);
    CHECK(fleet.planner.openTo(*fleet.open().begin()) == ImageSet { 1 } << 63);
}

TEST_CASE("a serving task is moved beside backfill that it excludes")
{
    FleetView fleet { .images = { { .millicores = 20'000, .isBlocked = true } } };
    for (std::uint32_t id = 0; id < 4; ++id) {
        WorkerView worker {
            .id = id, .capacity = workerRoom, .free = workerRoom, .isUsable = true
        };
        // The tightest fit is where the image runs.
        const std::uint32_t tasks = id == 0 ? 1 : 5 - id;
        for (std::uint32_t it = 0; it < tasks; ++it) {
            worker.tasks.push_back({ .id = 10 * id + it,
                                     .step = 10 * id + it,
                                     .room = taskRoom,
                                     .excluded = firstImage,
                                     .mayMove = true });
            worker.free -= taskRoom;
        }
        worker.running = id == 1 || id == 2 ? firstImage : noImage;
        fleet.workers.push_back(worker);
    }
    RelocationPlanner planner;
    const std::vector<Relocation> moves = planner.plan(Timestamp {}, fleet);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].from == 0);
    CHECK(moves[0].to == 3);
}
