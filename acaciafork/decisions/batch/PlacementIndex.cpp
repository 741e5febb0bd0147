#include "acaciafork/decisions/batch/PlacementIndex.h"

namespace acaciafork::batch {

PlacementIndex::PlacementIndex(Fleet *fleet)
    : m_fleet(fleet)
{ }

void PlacementIndex::refresh(Index worker)
{
    const Index bucket = bucketOf(worker);
    Worker &it = m_fleet->worker(worker);
    if (it.indexBucket == bucket)
        return;
    if (it.indexBucket != noIndex)
        erase(worker);
    it.indexBucket = bucket;
    if (bucket == noIndex)
        return;
    it.indexPosition = static_cast<Index>(m_buckets[bucket].size());
    m_buckets[bucket].push_back(worker);
}

Index PlacementIndex::bucketOf(Index worker) const
{
    const Worker &it = m_fleet->worker(worker);
    const Resources room = it.freeRoom();
    if (!m_fleet->eligible(worker) || room.millicores < 0 || room.memoryMb <= 0 || room.slots <= 0)
        return noIndex;
    const auto bucket = static_cast<Index>(room.millicores / millicoresPerBucket);
    const bool leaving = m_fleet->rack(it.rack).drainPlanned;
    const Index firstBucket = ((leaving ? classesPerGroup : 0) + (it.room.accelerators > 0 ? 1 : 0))
            * bucketsPerClass;
    return firstBucket + std::min(bucket, bucketsPerClass - 1);
}

void PlacementIndex::erase(Index worker)
{
    Worker &it = m_fleet->worker(worker);
    Bucket &workers = m_buckets[it.indexBucket];
    const Index last = workers.back();
    workers[it.indexPosition] = last;
    m_fleet->worker(last).indexPosition = it.indexPosition;
    workers.pop_back();
    it.indexBucket = noIndex;
}

} // namespace acaciafork::batch
