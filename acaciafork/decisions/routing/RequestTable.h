#pragma once

#include <deque>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "acaciafork/decisions/routing/RequestRecord.h"

namespace acaciafork::routing {

/// The requests of one entry. The address of a record is stable until the record is removed; its
/// memory is then reused.
class RequestTable
{
public:
    /// Adds a request.
    /// @return its empty record, or nullptr when the table has a request with that id already
    RequestRecord *add(RequestId request);

    /// Record of a request, or nullptr.
    [[nodiscard]] RequestRecord *find(RequestId request);

    /// Removes a request that is not queued.
    void remove(RequestRecord *record);

    [[nodiscard]] std::size_t size() const { return m_byId.size(); }

private:
    std::deque<RequestRecord> m_records;
    std::vector<RequestRecord *> m_freeRecords;
    boost::unordered_flat_map<std::uint64_t, RequestRecord *> m_byId;
};

} // namespace acaciafork::routing
