#include "acaciafork/decisions/routing/RequestTable.h"

#include "acaciafork/core/Assert.h"

namespace acaciafork::routing {

RequestRecord *RequestTable::add(RequestId request)
{
    const auto [it, inserted] = m_byId.try_emplace(request.value, nullptr);
    if (!inserted)
        return nullptr;

    if (m_freeRecords.empty()) {
        it->second = &m_records.emplace_back();
    } else {
        it->second = m_freeRecords.back();
        m_freeRecords.pop_back();
        *it->second = RequestRecord {};
    }
    it->second->request = request;
    return it->second;
}

RequestRecord *RequestTable::find(RequestId request)
{
    const auto it = m_byId.find(request.value);
    return it == m_byId.end() ? nullptr : it->second;
}

void RequestTable::remove(RequestRecord *record)
{
    ACACIAFORK_ASSERT(!record->orderHook.is_linked());
    m_byId.erase(record->request.value);
    m_freeRecords.push_back(record);
}

} // namespace acaciafork::routing
