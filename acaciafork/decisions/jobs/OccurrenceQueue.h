#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// Jobs that have occurrences to open: by the time at which the next one is due, and from then on
/// in turns. A job whose next occurrence is due, too, goes behind all that wait. Holds one entry a
/// job, however many occurrences it has.
class OccurrenceQueue
{
public:
    /// The next occurrence of a job is due at that time of the wall clock, in microseconds.
    void add(JobId job, std::int64_t dueUs);
    /// Moves the jobs to those that wait whose time has come.
    void advance(std::int64_t wallUs);
    /// Takes the job whose turn it is; none when no other waits in this round.
    std::optional<JobId> next();
    /// The job that was taken keeps its place: there is no memory for its next occurrence now.
    void defer(JobId job) { m_deferred.push_back(job); }
    /// Ends a round of next().
    /// @param[in] isCutShort jobs that were not reached may find memory
    void endRound(bool isCutShort);
    /// Memory was released, or is shared out otherwise.
    void retry() { m_mayOpen = true; }
    /// True when a round may open something.
    [[nodiscard]] bool mayOpen() const { return m_mayOpen && !m_due.empty(); }
    /// Number of jobs that have a due occurrence that is not open.
    [[nodiscard]] std::size_t dueJobs() const { return m_due.size() + m_deferred.size(); }
    void clear() { *this = {}; }

private:
    std::multimap<std::int64_t, JobId> m_upcoming;
    std::int64_t m_wallUs = INT64_MIN;
    std::deque<JobId> m_due;
    /// Those that were deferred in this round.
    std::deque<JobId> m_deferred;
    bool m_mayOpen = false;
};

} // namespace acaciafork::jobs
