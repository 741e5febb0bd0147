#pragma once

#include <array>
#include <vector>

#include "acaciafork/decisions/batch/Fleet.h"

namespace acaciafork::batch {

/// Which workers a search visits, and in which order, while a move is running.
enum class SearchOrder : std::uint8_t {
    StayingOnly, ///< only racks that the move will not drain
    StayingFirst, ///< racks that the move will not drain, then the others
    LeavingOnly, ///< only racks that the move will drain later
    LeavingFirst, ///< racks that the move will drain later, then the others
};

/// Workers that may receive new work, in buckets by free cores; workers with accelerators have
/// separate buckets. A search visits few workers, those with the least free cores first.
class PlacementIndex
{
public:
    explicit PlacementIndex(Fleet *fleet);

    /// Moves a worker to the bucket that matches its free resources and eligibility. Must be called
    /// after each change of these.
    void refresh(Index worker);

    /// Calls `visit(worker)` for workers with room for `size` until it returns false. Buckets with
    /// the fewest free cores come first. For tasks that need no accelerators, workers without
    /// accelerators come first.
    template <typename Visit>
    void forEachFitting(const Resources &size, SearchOrder order, Visit &&visit);

private:
    /// One bucket for each whole free core; the last bucket has no upper limit.
    static constexpr Index bucketsPerClass = 128;
    static constexpr Index classCount = 4;
    /// Classes in each group; a group is either the staying or the leaving racks.
    static constexpr Index classesPerGroup = 2;
    static constexpr std::int32_t millicoresPerBucket = 1000;

    using Bucket = std::vector<Index>;

    [[nodiscard]] Index bucketOf(Index worker) const;
    void erase(Index worker);

    template <typename Visit>
    bool visitGroup(Index group, const Resources &size, Visit &visit);
    template <typename Visit>
    bool visitClass(Index firstBucket, const Resources &size, Visit &visit);

    Fleet *m_fleet;
    /// Four classes: workers on staying and on leaving racks, each without and then with
    /// accelerators.
    std::array<Bucket, std::size_t { classCount } * bucketsPerClass> m_buckets;
    /// Position at which the next search in a bucket starts. It advances with each search, so that
    /// work spreads within the bucket.
    std::array<Index, std::size_t { classCount } * bucketsPerClass> m_cursors {};
};

template <typename Visit>
void PlacementIndex::forEachFitting(const Resources &size, SearchOrder order, Visit &&visit)
{
    constexpr Index staying = 0;
    constexpr Index leaving = classesPerGroup * bucketsPerClass;
    const bool leavingFirst =
            order == SearchOrder::LeavingFirst || order == SearchOrder::LeavingOnly;
    if (!visitGroup(leavingFirst ? leaving : staying, size, visit))
        return;
    if (order != SearchOrder::StayingOnly && order != SearchOrder::LeavingOnly)
        visitGroup(leavingFirst ? staying : leaving, size, visit);
}

template <typename Visit>
bool PlacementIndex::visitGroup(Index group, const Resources &size, Visit &visit)
{
    if (size.accelerators == 0 && !visitClass(group, size, visit))
        return false;
    return visitClass(group + bucketsPerClass, size, visit);
}

template <typename Visit>
bool PlacementIndex::visitClass(Index firstBucket, const Resources &size, Visit &visit)
{
    const auto minBucket = static_cast<Index>(std::max(size.millicores, 0) / millicoresPerBucket);
    for (Index bucket = std::min(minBucket, bucketsPerClass - 1); bucket < bucketsPerClass;
         ++bucket) {
        const Bucket &workers = m_buckets[firstBucket + bucket];
        const auto n = static_cast<Index>(workers.size());
        if (n == 0)
            continue;
        const Index start = m_cursors[firstBucket + bucket]++ % n;
        for (Index i = 0; i < n; ++i) {
            const Index worker = workers[start + i < n ? start + i : start + i - n];
            if (size.fitsIn(m_fleet->worker(worker).freeRoom()) && !visit(worker))
                return false;
        }
    }
    return true;
}

} // namespace acaciafork::batch
