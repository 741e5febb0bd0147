#include "acaciafork/decisions/relocation/OpenWorkers.h"

#include <algorithm>

namespace acaciafork::relocation {
namespace {

constexpr std::int64_t wholePercent = 100;
/// A worker is closed again once the others supply this part of the demand, in percent.
constexpr std::int64_t closeAbovePercent = 130;
/// Images share open workers where the serving tasks that bear both are at least this part of those
/// that bear one, in percent.
constexpr std::int64_t minSharedPercent = 50;
/// Images that share open workers already go on to do so down to this part.
constexpr std::int64_t keepSharedPercent = 35;
/// Serving tasks that bear the images are expected to fill an open worker up to this part of its
/// capacity, and with at most this part of all such tasks, in percent.
constexpr std::int64_t bearingFillPercent = 75;
constexpr std::int64_t bearingPerWorkerPercent = 50;
/// Cost of moving a reserved millicore away, and of one that may not move now. A millicore that
/// stays on the open worker counts as a gain of one.
constexpr std::int64_t moveCost = 2;
constexpr std::int64_t pinnedCost = 4;

ImageSet bitOf(std::size_t image)
{
    return ImageSet { 1 } << image;
}

std::int64_t percentOf(std::int64_t whole, std::int64_t percent)
{
    return whole * percent / wholePercent;
}

/// Millicores of the tasks that exclude one of the images and may not move.
std::int64_t pinnedMillicores(const WorkerView &worker, ImageSet images)
{
    std::int64_t sum = 0;
    for (const ServingTask &it : worker.tasks)
        sum += (it.excluded & images) != 0 && !it.mayMove ? it.room.millicores : 0;
    return sum;
}

/// Cost of clearing a worker of the tasks that exclude the images; the lowest is opened first.
std::int64_t clearingCost(const WorkerView &worker, ImageSet images)
{
    std::int64_t cost = 0;
    for (const ServingTask &it : worker.tasks) {
        if ((it.excluded & images) == 0)
            cost -= it.room.millicores;
        else
            cost += it.room.millicores * (it.mayMove ? moveCost : pinnedCost);
    }
    return cost;
}

} // namespace

void OpenWorkers::update(Timestamp now, const FleetView &fleet)
{
    ACACIAFORK_ASSERT(fleet.images.size() <= maxImages);
    renumber(fleet);
    suspendUnusable(now, fleet);
    dropUnwanted(now);
    std::erase_if(m_closedAt,
                  [&](const auto &it) { return now - it.second >= m_settings.minClosedTime; });
    const Totals totals = sum(fleet);
    std::vector<Group> groups = findGroups(fleet, totals);
    assign(now, fleet, groups);
    // Those with the least demand give way first. A group that has lost its last worker bounds the
    // others, so they are looked at again.
    bool isChanged = true;
    while (isChanged) {
        isChanged = false;
        for (std::size_t n = groups.size(); n-- > 0;) {
            Group *group = &groups[n];
            const bool isOtherLacking = std::ranges::any_of(groups, [&](const Group &it) {
                return &it != group && it.isBlocked && it.supplied < it.demand
                        && it.capacity.millicores < it.share;
            });
            const Limit limit =
                    limitOf(totals, openGroups(groups, *group), m_settings.closeFillPercent);
            isChanged = closeWorkers(now, group, limit, isOtherLacking) || isChanged;
        }
    }
    const auto blocked = std::ranges::count(groups, true, &Group::isBlocked);
    for (Group &it : groups) {
        const Limit limit = limitOf(totals, openGroups(groups, it), m_settings.maxFillPercent);
        if (it.isBlocked)
            openWorkers(now, fleet, totals, &it, limit, blocked > 1);
    }
    m_groups.clear();
    for (const Group &it : groups)
        m_groups.push_back(it.images);
}

void OpenWorkers::recordTry(Timestamp now, std::uint32_t worker, bool moved)
{
    const auto it = m_open.find(worker);
    ACACIAFORK_ASSERT(it != m_open.end());
    if (moved) {
        it->second.failingSince.reset();
        it->second.lastFailure.reset();
        return;
    }
    if (!it->second.failingSince)
        it->second.failingSince = now;
    it->second.lastFailure = now;
}

void OpenWorkers::renumber(const FleetView &fleet)
{
    std::unordered_map<std::uint32_t, std::size_t> bits;
    std::vector<std::uint32_t> ids;
    for (const ImageDemand &it : fleet.images) {
        const bool isNew = bits.emplace(it.id, ids.size()).second;
        ACACIAFORK_ASSERT(isNew);
        ids.push_back(it.id);
    }
    if (ids == m_imageIds)
        return;
    const auto renumbered = [&](ImageSet images) {
        ImageSet result = 0;
        for (std::size_t it = 0; it < m_imageIds.size(); ++it) {
            const auto bit = bits.find(m_imageIds[it]);
            if ((images & bitOf(it)) != 0 && bit != bits.end())
                result |= bitOf(bit->second);
        }
        return result;
    };
    for (auto &[id, open] : m_open)
        open.images = renumbered(open.images);
    for (auto &[id, open] : m_suspended)
        open.images = renumbered(open.images);
    for (ImageSet &it : m_groups)
        it = renumbered(it);
    m_imageIds = std::move(ids);
}

void OpenWorkers::suspendUnusable(Timestamp now, const FleetView &fleet)
{
    std::unordered_map<std::uint32_t, bool> usable;
    for (const WorkerView &it : fleet.workers) {
        const bool isNew = usable.emplace(it.id, it.isUsable).second;
        ACACIAFORK_ASSERT(isNew);
    }
    const auto isUsable = [&](std::uint32_t id) {
        const auto it = usable.find(id);
        return it != usable.end() && it->second;
    };
    std::erase_if(m_stuck, [&](const auto &it) { return !usable.contains(it.first); });
    std::erase_if(m_suspended, [&](const auto &it) {
        const bool isResumed = isUsable(it.first);
        if (isResumed)
            m_open.insert(it);
        return isResumed || now - it.second.suspendedAt >= m_settings.replaceAfter;
    });
    std::erase_if(m_open, [&](const auto &it) {
        const bool isSuspended = !isUsable(it.first);
        if (isSuspended)
            m_suspended.insert(it).first->second.suspendedAt = now;
        return isSuspended;
    });
}

void OpenWorkers::dropUnwanted(Timestamp now)
{
    const auto isUnwanted = [](const auto &it) { return it.second.images == 0; };
    for (const auto &it : m_open) {
        if (isUnwanted(it))
            m_closedAt[it.first] = now;
    }
    std::erase_if(m_open, isUnwanted);
    std::erase_if(m_suspended, isUnwanted);
}

OpenWorkers::Totals OpenWorkers::sum(const FleetView &fleet)
{
    struct SpreadStep
    {
        ImageSet excluded = 0;
        std::size_t tasks = 0;
        std::size_t maxPerWorker = 0;
    };
    Totals totals;
    std::unordered_map<ImageSet, Room> classes;
    std::unordered_map<std::uint32_t, SpreadStep> spread;
    for (const WorkerView &worker : fleet.workers) {
        for (const ServingTask &it : worker.tasks) {
            classes[it.excluded] += it.room;
            if (it.maxPerWorker == 0 || it.excluded == 0)
                continue;
            SpreadStep &step = spread[it.step];
            step.excluded = it.excluded;
            step.maxPerWorker = it.maxPerWorker;
            ++step.tasks;
        }
        totals.otherMillicores += worker.otherMillicores;
        if (worker.isUsable) {
            const Room least = totals.usable == 0 ? worker.capacity : totals.smallest;
            totals.smallest = {
                .millicores = std::min(least.millicores, worker.capacity.millicores),
                .memoryMb = std::min(least.memoryMb, worker.capacity.memoryMb),
            };
            totals.capacity += worker.capacity;
            ++totals.usable;
        }
    }
    for (const auto &[excluded, room] : classes)
        totals.classes.push_back({ .excluded = excluded, .room = room });
    for (const auto &[id, it] : spread) {
        totals.spreadSteps.emplace_back(it.excluded,
                                        (it.tasks + it.maxPerWorker - 1) / it.maxPerWorker);
    }
    return totals;
}

std::vector<ImageSet> OpenWorkers::openGroups(std::span<const Group> groups, const Group &with)
{
    std::vector<ImageSet> images;
    for (const Group &it : groups) {
        if (it.workers > 0 || &it == &with)
            images.push_back(it.images);
    }
    return images;
}

OpenWorkers::Limit OpenWorkers::limitOf(const Totals &totals, std::span<const ImageSet> groups,
                                        std::int64_t fillPercent) const
{
    const auto excludesAll = [&](ImageSet excluded) {
        return std::ranges::all_of(groups, [&](ImageSet it) { return (excluded & it) != 0; });
    };
    // Backfill holds memory on the open workers themselves, so only serving tasks count there.
    Room needed { .millicores = totals.otherMillicores };
    for (const ServingClass &it : totals.classes) {
        if (excludesAll(it.excluded))
            needed += it.room;
    }
    const auto limit = [&](std::int64_t capacity, std::int64_t use) {
        return std::min(capacity - use * wholePercent / fillPercent,
                        percentOf(capacity, m_settings.maxOpenPercent));
    };
    std::size_t spread = 0;
    for (const auto &[excluded, workers] : totals.spreadSteps)
        spread = std::max(spread, excludesAll(excluded) ? workers : 0);
    return { .capacity = { .millicores = limit(totals.capacity.millicores, needed.millicores),
                           .memoryMb = limit(totals.capacity.memoryMb, needed.memoryMb) },
             .workers = totals.usable - std::min(spread, totals.usable) };
}

std::vector<OpenWorkers::Group> OpenWorkers::findGroups(const FleetView &fleet,
                                                        const Totals &totals)
{
    ImageSet wanted = 0;
    for (const auto &[id, open] : m_open)
        wanted |= open.images;
    for (const auto &[id, open] : m_suspended)
        wanted |= open.images;
    for (std::size_t it = 0; it < fleet.images.size(); ++it)
        wanted |= fleet.images[it].isBlocked ? bitOf(it) : 0;

    const auto bearing = [&](ImageSet images) {
        std::int64_t n = 0;
        for (const ServingClass &it : totals.classes)
            n += (it.excluded & images) == 0 ? it.room.millicores : 0;
        return n;
    };
    const auto join = [&](Group *group, std::size_t image, std::int64_t minPercent) {
        const std::int64_t alone = bearing(bitOf(image));
        const std::int64_t both = bearing(group->images | bitOf(image));
        if (group->images != 0
            && both * wholePercent < std::max(group->bearing, alone) * minPercent)
            return false;
        group->images |= bitOf(image);
        group->demand += fleet.images[image].millicores;
        group->isBlocked = group->isBlocked || fleet.images[image].isBlocked;
        group->bearing = both;
        return true;
    };
    std::vector<std::size_t> byDemand;
    for (std::size_t it = 0; it < fleet.images.size(); ++it)
        byDemand.push_back(it);
    std::ranges::stable_sort(byDemand, std::ranges::greater(),
                             [&](std::size_t it) { return fleet.images[it].millicores; });

    // Images that were together stay together, so that small changes of the estimates or of the
    // demand change no open worker.
    std::vector<Group> groups;
    for (const ImageSet former : m_groups) {
        Group group;
        for (const std::size_t it : byDemand) {
            if ((former & wanted & bitOf(it)) != 0 && join(&group, it, keepSharedPercent))
                wanted &= ~bitOf(it);
        }
        if (group.images != 0)
            groups.push_back(group);
    }
    for (const std::size_t image : byDemand) {
        if ((wanted & bitOf(image)) == 0)
            continue;
        const auto shares = [&](Group &it) { return join(&it, image, minSharedPercent); };
        if (std::ranges::find_if(groups, shares) == groups.end())
            join(&groups.emplace_back(), image, minSharedPercent);
    }
    std::ranges::stable_sort(groups, std::ranges::greater(), &Group::demand);

    std::int64_t demand = 0;
    for (const Group &it : groups)
        demand += it.demand;
    for (Group &it : groups) {
        it.openLimit = limitOf(totals, { &it.images, 1 }, m_settings.maxFillPercent);
        it.closeLimit = limitOf(totals, { &it.images, 1 }, m_settings.closeFillPercent);
        it.share = demand == 0 ? 0 : it.openLimit.capacity.millicores * it.demand / demand;
    }
    return groups;
}

bool OpenWorkers::isStuck(Timestamp now, std::uint32_t worker) const
{
    const auto it = m_open.find(worker);
    return it != m_open.end() && it->second.failingSince
            && now - *it->second.failingSince >= m_settings.stuckAfter;
}

bool OpenWorkers::mayOpen(Timestamp now, const WorkerView &worker, const Group &group) const
{
    if (!worker.isUsable || m_open.contains(worker.id) || m_closedAt.contains(worker.id))
        return false;
    const auto stuck = m_stuck.find(worker.id);
    if (stuck == m_stuck.end())
        return true;
    return stuck->second.pinned == 0
            ? now - stuck->second.closedAt >= m_settings.retryStuckAfter
            : pinnedMillicores(worker, group.images) < stuck->second.pinned;
}

std::int64_t OpenWorkers::supply(Timestamp now, const WorkerView &worker, const Group &group) const
{
    std::int64_t bearing = 0;
    bool isClear = true;
    for (const ServingTask &it : worker.tasks) {
        const bool bears = (it.excluded & group.images) == 0;
        bearing += bears ? it.room.millicores : 0;
        isClear = isClear && bears;
    }
    if (!isClear && isStuck(now, worker.id))
        return 0;
    // Tasks that bear the images fill an open worker as far as there are any.
    const std::int64_t expected =
            std::max(bearing,
                     std::min(percentOf(group.bearing, bearingPerWorkerPercent),
                              percentOf(worker.capacity.millicores, bearingFillPercent)));
    return std::max<std::int64_t>(worker.capacity.millicores - worker.otherMillicores
                                          - percentOf(expected, m_settings.servingUsePercent),
                                  0);
}

void OpenWorkers::assign(Timestamp now, const FleetView &fleet, std::span<Group> groups)
{
    m_capacity = {};
    const auto groupOf = [&](ImageSet images) {
        auto group = std::ranges::find(groups, images, &Group::images);
        if (group == groups.end()) {
            group = std::ranges::find_if(groups, [&](const Group &it) {
                return (it.images & images) != 0 && it.supplied < it.demand;
            });
        }
        if (group == groups.end()) {
            group = std::ranges::find_if(
                    groups, [&](const Group &it) { return (it.images & images) != 0; });
        }
        // Images that workers are open to are in a group.
        ACACIAFORK_ASSERT(group != groups.end());
        return group;
    };
    for (const WorkerView &worker : fleet.workers) {
        if (const auto open = m_open.find(worker.id); open != m_open.end()) {
            const auto group = groupOf(open->second.images);
            open->second.images = group->images;
            group->open.push_back(&worker);
            group->capacity += worker.capacity;
            ++group->workers;
            group->supplied += supply(now, worker, *group);
            m_capacity += worker.capacity;
        } else if (const auto held = m_suspended.find(worker.id); held != m_suspended.end()) {
            const auto group = groupOf(held->second.images);
            held->second.images = group->images;
            group->supplied += supply(now, worker, *group);
        }
    }
}

void OpenWorkers::close(Timestamp now, const WorkerView &worker, Group *group)
{
    group->capacity -= worker.capacity;
    --group->workers;
    group->supplied -= supply(now, worker, *group);
    m_capacity -= worker.capacity;
    const bool isClear = std::ranges::all_of(
            worker.tasks, [&](const auto &it) { return (it.excluded & group->images) == 0; });
    if (!isClear && isStuck(now, worker.id))
        m_stuck[worker.id] = { .pinned = pinnedMillicores(worker, group->images), .closedAt = now };
    else
        m_stuck.erase(worker.id);
    m_open.erase(worker.id);
    m_closedAt[worker.id] = now;
}

bool OpenWorkers::closeWorkers(Timestamp now, Group *group, const Limit &limit, bool isOtherLacking)
{
    std::vector<std::pair<std::int64_t, const WorkerView *>> open;
    for (const WorkerView *it : group->open) {
        if (m_open.contains(it->id))
            open.emplace_back(clearingCost(*it, group->images), it);
    }
    // Those whose clearing costs the least stay open the longest.
    std::ranges::stable_sort(open, std::ranges::greater(), [](const auto &it) { return it.first; });
    const std::size_t before = group->workers;
    for (const auto &[cost, it] : open) {
        const bool isOverLimit = !group->capacity.fitsIn(group->closeLimit.capacity)
                || group->workers > group->closeLimit.workers || !m_capacity.fitsIn(limit.capacity)
                || m_open.size() > limit.workers;
        const std::int64_t own = supply(now, *it, *group);
        const std::int64_t rest = group->supplied - own;
        // A worker that supplies nothing is of no use as soon as the others suffice.
        const bool isExcess = rest * wholePercent
                >= group->demand * (own == 0 ? wholePercent : closeAbovePercent);
        const bool isOverShare =
                isOtherLacking && group->workers > 1 && group->capacity.millicores > group->share;
        const bool mayClose = now - m_open.at(it->id).since >= m_settings.minOpenTime;
        if (isOverLimit || (mayClose && (isExcess || isOverShare)))
            close(now, *it, group);
    }
    return group->workers != before;
}

void OpenWorkers::openWorkers(Timestamp now, const FleetView &fleet, const Totals &totals,
                              Group *group, const Limit &limit, bool isShared)
{
    const auto isInLimits = [&](const Room &worker) {
        Room own = group->capacity;
        own += worker;
        Room all = m_capacity;
        all += worker;
        const bool isOverShare = isShared && group->workers > 0 && own.millicores > group->share;
        return !isOverShare && own.fitsIn(group->openLimit.capacity) && all.fitsIn(limit.capacity);
    };
    const auto isDone = [&] {
        return group->supplied >= group->demand || group->workers >= group->openLimit.workers
                || m_open.size() >= limit.workers || !isInLimits(totals.smallest);
    };
    if (isDone())
        return;
    std::vector<std::pair<std::int64_t, const WorkerView *>> closed;
    for (const WorkerView &it : fleet.workers) {
        if (mayOpen(now, it, *group) && supply(now, it, *group) > 0)
            closed.emplace_back(clearingCost(it, group->images), &it);
    }
    // Few of them are opened, so a heap is cheaper than sorting all.
    std::ranges::make_heap(closed, std::ranges::greater());
    while (!closed.empty() && !isDone()) {
        std::ranges::pop_heap(closed, std::ranges::greater());
        const WorkerView *it = closed.back().second;
        closed.pop_back();
        if (!isInLimits(it->capacity))
            continue;
        group->capacity += it->capacity;
        ++group->workers;
        group->supplied += supply(now, *it, *group);
        m_capacity += it->capacity;
        m_open[it->id] = { .images = group->images, .since = now };
    }
}

} // namespace acaciafork::relocation
