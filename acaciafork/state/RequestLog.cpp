#include "acaciafork/state/RequestLog.h"

#include "acaciafork/state/Snapshot.h"

namespace acaciafork::state {

const ApplyResult *RequestLog::find(std::string_view requestId, std::uint64_t contentHash) const
{
    const auto it = m_records.find(requestId);
    if (it == m_records.end())
        return nullptr;
    return it->second.content_hash() == contentHash ? &it->second.result() : &m_idReusedResult;
}

void RequestLog::add(const std::string &requestId, std::uint64_t contentHash,
                     const ApplyResult &result, std::int64_t nowMicroseconds)
{
    wire::RequestRecord &record = m_records[requestId];
    record.set_request_id(requestId);
    record.set_content_hash(contentHash);
    record.set_time_us(nowMicroseconds);
    *record.mutable_result() = result;
    m_byTime.emplace(nowMicroseconds, requestId);
}

void RequestLog::expire(std::int64_t nowMicroseconds)
{
    const std::int64_t cutoff = nowMicroseconds - m_limits.requestWindow.count();
    while (!m_byTime.empty() && m_byTime.begin()->first < cutoff) {
        m_records.erase(m_byTime.begin()->second);
        m_byTime.erase(m_byTime.begin());
    }
}

void RequestLog::save(SnapshotWriter *writer) const
{
    for (const auto &[id, record] : m_records)
        *writer->record().mutable_request() = record;
}

bool RequestLog::load(const wire::RequestRecord &record)
{
    if (!isName(record.request_id()) || !wire::Outcome_IsValid(record.result().outcome()))
        return false;
    if (!m_records.try_emplace(record.request_id(), record).second)
        return false;
    m_byTime.emplace(record.time_us(), record.request_id());
    return true;
}

} // namespace acaciafork::state
