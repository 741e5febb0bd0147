#include "acaciafork/decisions/routing/RequestQueue.h"

namespace acaciafork::routing {

void RequestQueue::push(RequestRecord *record)
{
    LaneQueue &queue = lane(record->lane);
    queue.byOrder.insert(*record);
    queue.byArrival.push_back(*record);
    m_byLatestStart.insert(*record);
    queue.work += record->expected;
    ++m_size;
}

void RequestQueue::remove(RequestRecord *record)
{
    LaneQueue &queue = lane(record->lane);
    queue.byOrder.erase(queue.byOrder.iterator_to(*record));
    queue.byArrival.erase(queue.byArrival.iterator_to(*record));
    m_byLatestStart.erase(m_byLatestStart.iterator_to(*record));
    queue.work -= record->expected;
    --m_size;
}

RequestRecord *RequestQueue::first(Lane which)
{
    LaneQueue &queue = lane(which);
    return queue.byOrder.empty() ? nullptr : &*queue.byOrder.begin();
}

RequestRecord *RequestQueue::newest(Lane which)
{
    LaneQueue &queue = lane(which);
    return queue.byArrival.empty() ? nullptr : &queue.byArrival.back();
}

RequestRecord *RequestQueue::oldest(Lane which)
{
    LaneQueue &queue = lane(which);
    return queue.byArrival.empty() ? nullptr : &queue.byArrival.front();
}

RequestRecord *RequestQueue::mostUrgent()
{
    return m_byLatestStart.empty() ? nullptr : &*m_byLatestStart.begin();
}

Duration RequestQueue::work(Lane which) const
{
    return m_lanes[static_cast<std::size_t>(which)].work;
}

Duration RequestQueue::work() const
{
    Duration sum {};
    for (const LaneQueue &it : m_lanes)
        sum += it.work;
    return sum;
}

std::size_t RequestQueue::size(Lane which) const
{
    return m_lanes[static_cast<std::size_t>(which)].byOrder.size();
}

} // namespace acaciafork::routing
