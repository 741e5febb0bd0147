#pragma once

#include <array>
#include <vector>

#include "acaciafork/decisions/batch/Fleet.h"

namespace acaciafork::batch {

/// Which workers a search looks at while a move is on.
enum class SearchOrder : std::uint8_t {
    StayingOnly, ///< racks that the move will not empty
    StayingFirst, ///< those, then the others
    LeavingOnly, ///< racks that the move will empty later
    LeavingFirst, ///< racks that the move will empty later, then the others
};

/// Workers that may be given new work, in buckets by free cores, those with accelerators apart; a
/// search looks at few of them, tightest first.
class PlacementIndex
{
public:
    explicit PlacementIndex(Fleet *fleet);

    /// Puts a worker where its free room and eligibility say; call after each change of them.
    void refresh(Index worker);

    /// Calls `visit(worker)` for workers with room for `size`, tightest buckets first, until it
    /// returns false. Workers without accelerators come first for tasks that need none.
    template <typename Visit>
    void forEachFitting(const Resources &size, SearchOrder order, Visit &&visit);

private:
    /// One bucket for each whole free core, the last one open upwards.
    static constexpr Index bucketsPerClass = 128;
    static constexpr Index classCount = 4;
    /// Classes of one group: staying or leaving.
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
    /// Four classes: racks that stay and racks that leave, each without accelerators, then with.
    std::array<Bucket, std::size_t { classCount } * bucketsPerClass> m_buckets;
    /// Where the search in a bucket starts; moves on, so that work spreads within a bucket.
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
