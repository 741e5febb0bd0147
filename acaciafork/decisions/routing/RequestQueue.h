#pragma once

#include <array>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "acaciafork/decisions/routing/RequestRecord.h"

namespace acaciafork::routing {

/// Queued requests of one service, by lane. Adding and removing take logarithmic time and allocate
/// no memory. Records must stay valid while they are in the queue.
class RequestQueue
{
public:
    /// Adds a record, last in the arrival order of its lane. Its `orderKey` and `latestStart` must
    /// be set.
    void push(RequestRecord *record);

    /// Removes a record that is in the queue.
    void remove(RequestRecord *record);

    /// Record with the smallest `orderKey` of a lane, or nullptr.
    [[nodiscard]] RequestRecord *first(Lane lane);

    /// Record of a lane that was added last, or nullptr.
    [[nodiscard]] RequestRecord *newest(Lane lane);

    /// Record of a lane that was added first, or nullptr.
    [[nodiscard]] RequestRecord *oldest(Lane lane);

    /// Record with the earliest `latestStart` of all lanes, or nullptr.
    [[nodiscard]] RequestRecord *mostUrgent();

    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] bool empty() const { return m_size == 0; }
    /// Number of records in a lane.
    [[nodiscard]] std::size_t size(Lane lane) const;
    /// Sum of the expected service times of all records in a lane.
    [[nodiscard]] Duration work(Lane lane) const;
    /// Sum of the expected service times of all records.
    [[nodiscard]] Duration work() const;

private:
    struct ByOrder
    {
        bool operator()(const RequestRecord &a, const RequestRecord &b) const
        {
            return a.orderKey < b.orderKey;
        }
    };
    struct ByLatestStart
    {
        bool operator()(const RequestRecord &a, const RequestRecord &b) const
        {
            return a.latestStart < b.latestStart;
        }
    };
    using Hook = RequestRecord::QueueHook;
    using OrderSet = boost::intrusive::multiset<
            RequestRecord,
            boost::intrusive::member_hook<RequestRecord, Hook, &RequestRecord::orderHook>,
            boost::intrusive::compare<ByOrder>>;
    using StartSet = boost::intrusive::multiset<
            RequestRecord,
            boost::intrusive::member_hook<RequestRecord, Hook, &RequestRecord::startHook>,
            boost::intrusive::compare<ByLatestStart>>;
    using ArrivalList = boost::intrusive::list<
            RequestRecord,
            boost::intrusive::member_hook<RequestRecord, RequestRecord::ListHook,
                                          &RequestRecord::arrivalHook>>;
    struct LaneQueue
    {
        OrderSet byOrder;
        ArrivalList byArrival;
        Duration work {};
    };

    LaneQueue &lane(Lane lane) { return m_lanes[static_cast<std::size_t>(lane)]; }

    std::array<LaneQueue, laneCount> m_lanes;
    StartSet m_byLatestStart;
    std::size_t m_size = 0;
};

} // namespace acaciafork::routing
