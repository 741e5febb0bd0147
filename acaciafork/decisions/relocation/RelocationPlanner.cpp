#include "acaciafork/decisions/relocation/RelocationPlanner.h"

#include <algorithm>
#include <bit>

namespace acaciafork::relocation {
namespace {

/// Bounds the time of a plan in which most tasks find no room.
constexpr std::size_t maxTriesPerMove = 4;

std::int64_t excludingMillicores(const WorkerView &worker, ImageSet images)
{
    std::int64_t sum = 0;
    for (const ServingTask &it : worker.tasks)
        sum += (it.excluded & images) != 0 ? it.room.millicores : 0;
    return sum;
}

ImageSet excludedBy(const WorkerView &worker)
{
    ImageSet images = 0;
    for (const ServingTask &it : worker.tasks)
        images |= it.excluded;
    return images;
}

bool hasRoomFor(const WorkerView &worker, const ServingTask &task, const Room &free)
{
    if (!worker.isUsable || !task.room.fitsIn(free))
        return false;
    if (task.maxPerWorker == 0)
        return true;
    const auto n = std::ranges::count(worker.tasks, task.step, &ServingTask::step);
    return static_cast<std::uint32_t>(n) < task.maxPerWorker;
}

} // namespace

std::vector<Relocation> RelocationPlanner::plan(Timestamp now, FleetView fleet)
{
    m_open.update(now, fleet);
    std::erase_if(m_swaps,
                  [&](const Swap &it) { return now - it.since >= m_settings.swapTimeout; });
    for (Swap &it : m_swaps)
        it.isAwaited = false;
    m_moves.clear();
    planMoves(now, &fleet);
    // They refer to the view, which ends here.
    m_sites.clear();
    m_openSites.clear();
    m_openDestinations.clear();
    m_movedSteps.clear();
    ACACIAFORK_ASSERT(m_moves.size() <= m_settings.maxMoves);
    return std::move(m_moves);
}

void RelocationPlanner::planMoves(Timestamp now, FleetView *fleet)
{
    ImageSet blocked = 0;
    for (std::size_t it = 0; it < fleet->images.size(); ++it)
        blocked |= fleet->images[it].isBlocked ? ImageSet { 1 } << it : 0;
    for (WorkerView &it : fleet->workers) {
        m_sites.push_back(
                { .worker = &it, .openTo = m_open.openTo(it.id), .excluded = excludedBy(it) });
    }

    for (Site &it : m_sites) {
        if (it.openTo != 0)
            m_openSites.push_back(&it);
    }

    /// Open worker that tasks have to leave.
    struct Source
    {
        Site *site = nullptr;
        std::optional<Timestamp> lastFailure;
        std::int64_t excluding = 0;
    };
    std::vector<Source> sources;
    for (Site *it : m_openSites) {
        if ((it->openTo & blocked) != 0 && (it->excluded & it->openTo) != 0)
            sources.push_back({ .site = it,
                                .lastFailure = m_open.lastFailure(it->worker->id),
                                .excluding = excludingMillicores(*it->worker, it->openTo) });
    }
    // The workers that need the fewest moves first: each is of use once all its tasks have moved.
    // Those where no task could move are tried in turn after the others.
    std::ranges::stable_sort(sources, {}, [](const Source &it) {
        return std::pair { it.lastFailure, it.excluding };
    });
    std::size_t tries = 0;
    const auto isExhausted = [&] {
        return m_moves.size() >= m_settings.maxMoves
                || tries >= maxTriesPerMove * m_settings.maxMoves;
    };
    for (const Source &it : sources) {
        if (isExhausted())
            return;
        const std::vector<ServingTask> tasks = it.site->worker->tasks;
        bool isTried = false;
        bool isMoved = false;
        for (const ServingTask &task : tasks) {
            if ((task.excluded & it.site->openTo) == 0)
                continue;
            if (isExhausted())
                break;
            // The other tasks of the step follow in later plans.
            if (std::ranges::find(m_movedSteps, task.step) != m_movedSteps.end()) {
                isMoved = true;
                continue;
            }
            isTried = true;
            if (!mayMove(task))
                continue;
            ++tries;
            isMoved = moveAway(now, it.site, task) || isMoved;
        }
        if (isTried)
            m_open.recordTry(now, it.site->worker->id, isMoved);
    }
}

bool RelocationPlanner::mayMove(const ServingTask &task) const
{
    return task.mayMove && task.age >= m_settings.minStayTime
            && std::ranges::find(m_movedSteps, task.step) == m_movedSteps.end();
}

bool RelocationPlanner::moveAway(Timestamp now, Site *from, const ServingTask &task)
{
    if (Site *to = findDestination(*from, task)) {
        const auto swap = std::ranges::find(m_swaps, to->worker->id, &Swap::worker);
        if (swap != m_swaps.end())
            m_swaps.erase(swap);
        move(from, to, task);
        return true;
    }
    return awaitsRoom(task) || makeRoom(now, task);
}

RelocationPlanner::Site *RelocationPlanner::findDestination(const Site &from,
                                                            const ServingTask &task)
{
    Site *best = nullptr;
    std::pair<int, std::int64_t> bestRank;
    for (Site &it : m_sites) {
        // Beside backfill that it excludes, one of the two would have to stop.
        if (&it == &from || (task.excluded & (it.openTo | it.worker->running)) != 0
            || !hasRoomFor(*it.worker, task, it.worker->free))
            continue;
        // Where it excludes nothing that is not excluded already, and then the tightest fit.
        const std::pair rank { std::popcount(task.excluded & ~it.excluded),
                               it.worker->free.millicores - task.room.millicores };
        if (best == nullptr || rank < bestRank) {
            best = &it;
            bestRank = rank;
        }
    }
    return best;
}

RelocationPlanner::Site *RelocationPlanner::findOpenDestination(const ServingTask &task)
{
    const auto fits = [&](const Site *it) {
        return (task.excluded & it->openTo) == 0 && hasRoomFor(*it->worker, task, it->worker->free);
    };
    // Moves only take room, so a search that has failed once in a plan need not be repeated.
    const auto [known, isNew] = m_openDestinations.try_emplace(task.step, nullptr);
    if (!isNew && (known->second == nullptr || fits(known->second)))
        return known->second;
    const auto found = std::ranges::find_if(m_openSites, fits);
    known->second = found == m_openSites.end() ? nullptr : *found;
    return known->second;
}

bool RelocationPlanner::awaitsRoom(const ServingTask &task)
{
    const auto swap = std::ranges::find_if(
            m_swaps, [&](const Swap &it) { return !it.isAwaited && task.room.fitsIn(it.room); });
    if (swap == m_swaps.end())
        return false;
    swap->isAwaited = true;
    return true;
}

bool RelocationPlanner::makeRoom(Timestamp now, const ServingTask &task)
{
    Site *bestFrom = nullptr;
    Site *bestTo = nullptr;
    const ServingTask *best = nullptr;
    for (Site &from : m_sites) {
        if (from.openTo != 0 || !from.worker->isUsable)
            continue;
        for (const ServingTask &it : from.worker->tasks) {
            Room free = from.worker->free;
            free += it.room;
            if ((best != nullptr && it.room.millicores >= best->room.millicores) || !mayMove(it)
                || !hasRoomFor(*from.worker, task, free))
                continue;
            if (Site *to = findOpenDestination(it)) {
                best = &it;
                bestFrom = &from;
                bestTo = to;
            }
        }
    }
    if (best == nullptr)
        return false;
    const ServingTask moved = *best;
    Room room = bestFrom->worker->free;
    room += moved.room;
    m_swaps.push_back(
            { .worker = bestFrom->worker->id, .room = room, .since = now, .isAwaited = true });
    move(bestFrom, bestTo, moved);
    return true;
}

void RelocationPlanner::move(Site *from, Site *to, const ServingTask &task)
{
    ACACIAFORK_ASSERT(from != to && hasRoomFor(*to->worker, task, to->worker->free));
    m_moves.push_back({ .task = task.id, .from = from->worker->id, .to = to->worker->id });
    m_movedSteps.push_back(task.step);
    // The room at the old worker is free only once the task has stopped.
    to->worker->free -= task.room;
    to->worker->tasks.push_back(task);
    to->excluded |= task.excluded;
    std::erase_if(from->worker->tasks, [&](const ServingTask &it) { return it.id == task.id; });
    from->excluded = excludedBy(*from->worker);
}

} // namespace acaciafork::relocation
