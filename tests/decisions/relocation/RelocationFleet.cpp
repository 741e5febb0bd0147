#include "tests/decisions/relocation/RelocationFleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

namespace acaciafork::relocation {

WorkerView &RelocationFleet::addWorker(const Room &capacity)
{
    view.workers.push_back({ .id = static_cast<std::uint32_t>(100 + view.workers.size()),
                             .capacity = capacity,
                             .free = capacity,
                             .isUsable = true });
    return view.workers.back();
}

std::uint32_t RelocationFleet::addTask(WorkerView *worker, std::uint32_t step, const Room &room,
                                       ImageSet excluded, std::uint32_t maxPerWorker)
{
    worker->tasks.push_back({ .id = m_nextTask,
                              .step = step,
                              .room = room,
                              .excluded = excluded,
                              .maxPerWorker = maxPerWorker,
                              .mayMove = true });
    worker->free -= room;
    return m_nextTask++;
}

ImageDemand &RelocationFleet::addImage(std::int64_t millicores, bool isBlocked)
{
    view.images.push_back({ .id = static_cast<std::uint32_t>(10 + view.images.size()),
                            .millicores = millicores,
                            .isBlocked = isBlocked });
    return view.images.back();
}

std::vector<Relocation> RelocationFleet::step()
{
    for (WorkerView &worker : view.workers) {
        for (ServingTask &it : worker.tasks) {
            const auto started = m_startedAt.find(it.id);
            it.age = started == m_startedAt.end() ? Duration::max() : now - started->second;
        }
    }
    std::vector<Relocation> moves = planner.plan(now, view);
    check(moves);
    for (const Relocation &it : moves)
        beginMove(it);
    now += planInterval;
    endMoves();
    return moves;
}

std::optional<std::size_t> RelocationFleet::settle(std::size_t maxPlans)
{
    // Longer than each of the planner's times but retryStuckAfter.
    constexpr std::size_t quietPlans = 60;
    std::size_t moves = 0;
    std::size_t quiet = 0;
    for (std::size_t it = 0; it < maxPlans; ++it) {
        const std::size_t n = step().size();
        moves += n;
        quiet = n == 0 ? quiet + 1 : 0;
        if (quiet == quietPlans)
            return moves;
    }
    return {};
}

std::set<std::uint32_t> RelocationFleet::open() const
{
    std::set<std::uint32_t> ids;
    for (const WorkerView &it : view.workers) {
        if (planner.openTo(it.id) != 0)
            ids.insert(it.id);
    }
    return ids;
}

std::int64_t RelocationFleet::clearMillicores() const
{
    std::int64_t sum = 0;
    for (const WorkerView &worker : view.workers) {
        const ImageSet open = planner.openTo(worker.id);
        const bool isClear = std::ranges::all_of(
                worker.tasks, [&](const ServingTask &it) { return (it.excluded & open) == 0; });
        sum += open != 0 && isClear ? worker.capacity.millicores : 0;
    }
    return sum;
}

void RelocationFleet::check(std::span<const Relocation> moves) const
{
    CHECK(moves.size() <= m_settings.maxMoves);
    const bool isBlocked = std::ranges::any_of(view.images, &ImageDemand::isBlocked);
    CHECK((isBlocked || moves.empty()));

    std::map<std::uint32_t, const WorkerView *> workers;
    std::int64_t capacity = 0;
    std::int64_t openCapacity = 0;
    std::int64_t otherMillicores = 0;
    for (const WorkerView &it : view.workers) {
        workers[it.id] = &it;
        const ImageSet open = planner.openTo(it.id);
        CHECK((open == 0 || it.isUsable));
        capacity += it.isUsable ? it.capacity.millicores : 0;
        openCapacity += open != 0 ? it.capacity.millicores : 0;
        otherMillicores += it.otherMillicores;
    }
    CHECK(planner.openCount() == open().size());
    CHECK(openCapacity * 100 <= capacity * m_settings.maxOpenPercent);
    // What excludes an image fits on the workers that are not open to it, and what excludes an
    // image of each open worker fits on the closed ones.
    const auto checkRoom = [&](std::int64_t open, const std::function<bool(ImageSet)> &excludes) {
        std::int64_t needed = otherMillicores;
        for (const WorkerView &worker : view.workers) {
            for (const ServingTask &it : worker.tasks)
                needed += excludes(it.excluded) ? it.room.millicores : 0;
        }
        CHECK(needed * 100 <= (capacity - open) * m_settings.closeFillPercent + 100);
    };
    for (std::size_t image = 0; image < view.images.size(); ++image) {
        const ImageSet bit = ImageSet { 1 } << image;
        std::int64_t open = 0;
        for (const WorkerView &it : view.workers)
            open += (planner.openTo(it.id) & bit) != 0 ? it.capacity.millicores : 0;
        if (open > 0)
            checkRoom(open, [&](ImageSet excluded) { return (excluded & bit) != 0; });
    }
    if (openCapacity > 0) {
        checkRoom(openCapacity, [&](ImageSet excluded) {
            return std::ranges::all_of(view.workers, [&](const WorkerView &it) {
                const ImageSet open = planner.openTo(it.id);
                return open == 0 || (excluded & open) != 0;
            });
        });
    }

    std::map<std::uint32_t, Room> taken;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> added;
    std::set<std::uint32_t> steps;
    for (const Relocation &it : moves) {
        REQUIRE(workers.contains(it.from));
        REQUIRE(workers.contains(it.to));
        CHECK(it.from != it.to);
        const WorkerView &to = *workers.at(it.to);
        const auto &tasks = workers.at(it.from)->tasks;
        const auto task = std::ranges::find(tasks, it.task, &ServingTask::id);
        REQUIRE(task != tasks.end());
        CHECK(task->mayMove);
        CHECK(task->age >= m_settings.minStayTime);
        CHECK(steps.insert(task->step).second);
        CHECK(to.isUsable);
        CHECK((task->excluded & planner.openTo(it.to)) == 0);
        taken[it.to] += task->room;
        CHECK(taken[it.to].fitsIn(to.free));
        const auto there = std::ranges::count(to.tasks, task->step, &ServingTask::step);
        const std::uint32_t n = ++added[{ it.to, task->step }];
        CHECK((task->maxPerWorker == 0 || there + n <= task->maxPerWorker));
    }
}

void RelocationFleet::beginMove(const Relocation &move)
{
    const auto from = std::ranges::find(view.workers, move.from, &WorkerView::id);
    const auto to = std::ranges::find(view.workers, move.to, &WorkerView::id);
    const auto task = std::ranges::find(from->tasks, move.task, &ServingTask::id);
    to->free -= task->room;
    task->mayMove = false;
    m_pending.push_back({ .move = move, .endsAt = now + moveTime });
}

void RelocationFleet::endMove(const Relocation &move)
{
    const auto from = std::ranges::find(view.workers, move.from, &WorkerView::id);
    const auto to = std::ranges::find(view.workers, move.to, &WorkerView::id);
    const auto task = std::ranges::find(from->tasks, move.task, &ServingTask::id);
    from->free += task->room;
    to->tasks.push_back(*task);
    to->tasks.back().mayMove = true;
    from->tasks.erase(task);
    m_startedAt[move.task] = now;
}

void RelocationFleet::endMoves()
{
    for (const PendingMove &it : m_pending) {
        if (it.endsAt <= now)
            endMove(it.move);
    }
    std::erase_if(m_pending, [&](const PendingMove &it) { return it.endsAt <= now; });
}

} // namespace acaciafork::relocation
