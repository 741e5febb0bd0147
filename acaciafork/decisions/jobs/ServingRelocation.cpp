#include "acaciafork/decisions/jobs/ServingRelocation.h"

#include <algorithm>
#include <unordered_map>

namespace acaciafork::jobs {
namespace {

/// Tasks count as blocked when the first of their step has waited for this long.
constexpr Duration blockedAfter = std::chrono::milliseconds(1500);
/// An image is blocked when its blocked tasks ask for this much processor time: less doesn't pay
/// for a move.
constexpr std::int64_t minBlockedMillicores = 20'000;
/// Room is held for at most this long: an unanswered stop, its repetition and the lists after it.
constexpr Duration longestHold = std::chrono::seconds(3);

/// Processor time that the tasks of an image ask for in one pool.
struct Demand
{
    std::int64_t millicores = 0;
    std::int64_t blocked = 0;
};

using PoolDemand = std::map<batch::Index, Demand>;

std::map<std::string, PoolDemand> collectDemand(Timestamp now, const StepOrder &order,
                                                const WorkerTable &workers)
{
    std::map<std::string, PoolDemand> demand;
    for (const auto &[rank, step] : order.steps()) {
        if (!step->spec->fills)
            continue;
        const auto millicores =
                step->spec->size.millicores * static_cast<std::int64_t>(step->ready.size());
        Demand &image = demand[step->job->pool][step->image];
        image.millicores += millicores;
        image.blocked += now - step->firstReadySince() >= blockedAfter ? millicores : 0;
    }
    for (const auto &[id, worker] : workers.all()) {
        for (const RunRef &it : worker->runs) {
            const Step &step = *it.task.step;
            if (step.spec->fills)
                demand[step.job->pool][step.image].millicores += step.spec->size.millicores;
        }
    }
    return demand;
}

/// The images of a pool with the most demand, at most relocation::maxImages.
std::vector<relocation::ImageDemand> largestImages(const PoolDemand &demand)
{
    std::vector<relocation::ImageDemand> images;
    for (const auto &[image, it] : demand)
        images.push_back({ .id = static_cast<std::uint32_t>(image),
                           .millicores = it.millicores,
                           .isBlocked = it.blocked >= minBlockedMillicores });
    std::ranges::stable_sort(images, std::ranges::greater(), &relocation::ImageDemand::millicores);
    images.resize(std::min(images.size(), relocation::maxImages));
    return images;
}

relocation::Room roomOf(const Size &size)
{
    return { .millicores = size.millicores, .memoryMb = size.memoryMb };
}

} // namespace

std::vector<ServingRelocation::Move> ServingRelocation::plan(Timestamp now, const StepOrder &order,
                                                             const WorkerTable &workers,
                                                             const Placer &placer,
                                                             const MayMove &mayMove)
{
    for (const auto &[id, worker] : workers.all())
        worker->openTo.clear();
    const std::map<std::string, PoolDemand> demand = collectDemand(now, order, workers);
    std::erase_if(m_planners, [&](const auto &it) { return !demand.contains(it.first); });
    std::vector<Move> moves;
    for (const auto &[pool, images] : demand) {
        const std::vector<Move> planned =
                planPool(now, pool, largestImages(images), workers, placer, mayMove);
        moves.insert(moves.end(), planned.begin(), planned.end());
    }
    return moves;
}

std::vector<ServingRelocation::Move> ServingRelocation::planPool(
        Timestamp now, const std::string &pool, std::span<const relocation::ImageDemand> images,
        const WorkerTable &workers, const Placer &placer, const MayMove &mayMove)
{
    relocation::RelocationPlanner &planner = m_planners[pool];
    if (planner.openCount() == 0
        && std::ranges::none_of(images, &relocation::ImageDemand::isBlocked))
        return {};
    std::unordered_map<batch::Index, relocation::ImageSet> exclusions;
    const auto excludedBy = [&](batch::Index serving) {
        const auto [it, isNew] = exclusions.try_emplace(serving, 0);
        for (std::size_t bit = 0; isNew && bit < images.size(); ++bit) {
            if (!placer.bears(serving, static_cast<batch::Index>(images[bit].id)))
                it->second |= relocation::ImageSet { 1 } << bit;
        }
        return it->second;
    };
    const auto bitOf = [&](batch::Index image) {
        const auto it = std::ranges::find(images, static_cast<std::uint32_t>(image),
                                          &relocation::ImageDemand::id);
        return it == images.end() ? relocation::ImageSet { 0 }
                                  : relocation::ImageSet { 1 } << (it - images.begin());
    };
    relocation::FleetView fleet { .images = { images.begin(), images.end() } };
    std::vector<RunRef> runs;
    std::unordered_map<const Step *, std::uint32_t> steps;
    for (const auto &[id, worker] : workers.all()) {
        if (worker->life.pool != pool)
            continue;
        relocation::WorkerView view { .id = id.value,
                                      .capacity = roomOf(worker->life.capacity),
                                      .free = roomOf(worker->freeCapacity()),
                                      .otherMillicores =
                                              worker->used.millicores - worker->servingMillicores,
                                      .isUsable = placer.isUsable(now, *worker) };
        for (const RunRef &it : worker->runs) {
            const Step &step = *it.task.step;
            if (step.spec->fills)
                view.running |= bitOf(step.image);
            if (!step.spec->serves() || step.spec->fills)
                continue;
            const auto next = static_cast<std::uint32_t>(steps.size());
            view.tasks.push_back({ .id = static_cast<std::uint32_t>(runs.size()),
                                   .step = steps.try_emplace(&step, next).first->second,
                                   .room = roomOf(step.spec->size),
                                   .excluded = excludedBy(step.image),
                                   .maxPerWorker = step.spec->maxPerWorker,
                                   .mayMove = mayMove(*worker, it),
                                   .age = now - it.get().startedAt });
            runs.push_back(it);
        }
        fleet.workers.push_back(std::move(view));
    }
    std::vector<Move> moves;
    for (const relocation::Relocation &it : planner.plan(now, std::move(fleet)))
        moves.push_back({ .run = runs[it.task], .to = WorkerId { it.to } });
    for (const auto &[id, worker] : workers.all()) {
        const relocation::ImageSet open = worker->life.pool == pool ? planner.openTo(id.value) : 0;
        for (std::size_t bit = 0; bit < images.size(); ++bit) {
            if ((open >> bit & 1U) != 0)
                worker->openTo.push_back(static_cast<batch::Index>(images[bit].id));
        }
    }
    return moves;
}

void ServingRelocation::begin(Timestamp now, const Move &move, const WorkerTable &workers)
{
    const Size size = move.run.task.step->spec->reserved();
    end(move.run.task.key(), workers);
    m_holds[move.run.task.key()] = { .worker = move.to, .size = size, .since = now };
    workers.find(move.to)->held += size;
}

void ServingRelocation::end(const TaskKey &task, const WorkerTable &workers)
{
    const auto it = m_holds.find(task);
    if (it == m_holds.end())
        return;
    if (Worker *worker = workers.find(it->second.worker))
        worker->held -= it->second.size;
    m_holds.erase(it);
}

void ServingRelocation::expire(Timestamp now, const WorkerTable &workers)
{
    std::vector<TaskKey> expired;
    for (const auto &[task, hold] : m_holds) {
        if (now - hold.since >= longestHold)
            expired.push_back(task);
    }
    for (const TaskKey &it : expired)
        end(it, workers);
}

void ServingRelocation::clear()
{
    m_planners.clear();
    m_holds.clear();
}

std::size_t ServingRelocation::openWorkers() const
{
    std::size_t n = 0;
    for (const auto &[pool, planner] : m_planners)
        n += planner.openCount();
    return n;
}

} // namespace acaciafork::jobs
