#include "acaciafork/decisions/jobs/OccurrenceQueue.h"

namespace acaciafork::jobs {

void OccurrenceQueue::add(JobId job, std::int64_t dueUs)
{
    if (dueUs <= m_wallUs) {
        m_due.push_back(job);
        m_mayOpen = true;
    } else {
        m_upcoming.emplace(dueUs, job);
    }
}

void OccurrenceQueue::advance(std::int64_t wallUs)
{
    m_wallUs = wallUs;
    const auto end = m_upcoming.upper_bound(wallUs);
    for (auto it = m_upcoming.begin(); it != end; ++it) {
        m_due.push_back(it->second);
        m_mayOpen = true;
    }
    m_upcoming.erase(m_upcoming.begin(), end);
}

std::optional<JobId> OccurrenceQueue::next()
{
    if (m_due.empty())
        return std::nullopt;
    const JobId job = m_due.front();
    m_due.pop_front();
    return job;
}

void OccurrenceQueue::endRound(bool isCutShort)
{
    m_due.insert(m_due.begin(), m_deferred.begin(), m_deferred.end());
    m_deferred.clear();
    m_mayOpen = isCutShort;
}

} // namespace acaciafork::jobs
