#pragma once

#include <deque>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "acaciafork/decisions/routing/RequestRecord.h"

namespace acaciafork::routing {

/// The requests of one entry. Records stay where they are until they are removed; their memory is
/// used again.
class RequestTable
{
public:
    /// Adds a request, unless one of that id is there already.
    /// @return its empty record, or nullptr
    RequestRecord *add(RequestId request);

    /// Record of a request, or nullptr.
    [[nodiscard]] RequestRecord *find(RequestId request);

    /// Removes a request that stands in no queue.
    void remove(RequestRecord *record);

    [[nodiscard]] std::size_t size() const { return m_byId.size(); }

private:
    std::deque<RequestRecord> m_records;
    std::vector<RequestRecord *> m_freeRecords;
    boost::unordered_flat_map<std::uint64_t, RequestRecord *> m_byId;
};

} // namespace acaciafork::routing
