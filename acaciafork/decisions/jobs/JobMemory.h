#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "acaciafork/core/Core.h"

namespace acaciafork::jobs {

struct JobSpec;

/// Settings of JobMemory.
struct JobMemorySettings
{
    /// Memory for jobs on the leader, in bytes. Runs come on top of it: they follow the capacity of
    /// the workers.
    std::size_t budget = std::size_t { 64 } << 20U;
    /// Part of the budget that the definitions of jobs may take, in percent. The rest is left for
    /// occurrences.
    std::size_t maxDefinitionPercent = 50;
    /// Memory of records of tasks above which tasks that have had a run come before those that have
    /// had none, in percent of the budget.
    std::size_t maxRecordPercent = 12;
};

/// Accounts for the memory of jobs and decides which occurrences may be opened within the budget.
///
/// Dynamic thresholds, as for shared buffers: a queue may use as much as it leaves free, so one
/// queue gets at most half of the budget and two get a third each. The same holds for the jobs of a
/// queue beyond their first open occurrence. A backlog that does not drain leaves room for other
/// queues and jobs.
class JobMemory
{
public:
    explicit JobMemory(const JobMemorySettings &settings = {})
        : m_settings(settings)
    { }

    /// @name Cost, in bytes
    /// @{
    /// Memory that a job takes whether any of its occurrences is open or not.
    /// @param[in] storedBytes size of its definition in the replicated state
    [[nodiscard]] static std::size_t definitionBytes(const JobSpec &spec, std::size_t storedBytes);
    /// Memory of one open occurrence without its runs.
    [[nodiscard]] static std::size_t occurrenceBytes(const JobSpec &spec);
    /// @}

    /// @name Accounting
    /// @{
    void jobAdded(std::size_t definition);
    void jobRemoved(std::size_t definition);
    void opened(const std::string &queue, std::size_t cost);
    void closed(const std::string &queue, std::size_t cost);
    /// A job with open occurrences belongs to another queue from now on.
    void moved(const std::string &from, const std::string &to, std::size_t cost);
    void recordAdded(std::size_t cost) { m_records += cost; }
    void recordRemoved(std::size_t cost) { m_records -= cost; }
    /// Memory that was released counts as used until the ends that allowed it are recorded: the
    /// next leader may have to open the same occurrences again.
    void held(std::size_t bytes) { m_held += bytes; }
    void heldReleased(std::size_t bytes);
    /// Memory of what the replicated state keeps of the jobs that have ended.
    void setRetained(std::size_t bytes);
    /// A submission is being recorded, or its outcome is known.
    void submissionBegan(const std::string &queue, std::size_t cost);
    void submissionEnded(const std::string &queue, std::size_t cost);
    /// Forgets all jobs and submissions of a tenure.
    void clear();
    /// @}

    /// True when an occurrence may be opened now.
    /// @param[in] jobBytes memory of the open occurrences of its job
    [[nodiscard]] bool mayOpen(const std::string &queue, std::size_t jobBytes,
                               std::size_t cost) const;
    /// Memory that has to be released before a new job may be accepted; 0 if it may be now.
    /// @param[in] occurrence cost of the occurrence that is due at once, if it is to run
    ///     immediately; 0 for a scheduled job, whose occurrences wait until there is room
    [[nodiscard]] std::size_t shortage(const std::string &queue, std::size_t definition,
                                       std::size_t occurrence) const;
    [[nodiscard]] bool mayAccept(const std::string &queue, std::size_t definition,
                                 std::size_t occurrence) const
    {
        return shortage(queue, definition, occurrence) == 0;
    }
    /// True when a step has to finish the tasks that it has begun before it starts others. The
    /// records of failed tasks would follow the width of its steps otherwise.
    [[nodiscard]] bool mustFinishBegun() const
    {
        return m_records > m_settings.budget * m_settings.maxRecordPercent / 100;
    }
    /// Expected time until so much memory is released, by the rate of the last seconds.
    [[nodiscard]] Duration drainTime(std::size_t bytes) const;
    /// Updates the rate at which memory is released; called at least every second.
    void advance(Timestamp now);

    /// @name Views, in bytes
    /// @{
    [[nodiscard]] std::size_t definitions() const { return m_definitions; }
    [[nodiscard]] std::size_t occurrences() const { return m_occurrences; }
    [[nodiscard]] std::size_t records() const { return m_records; }
    /// What the budget bounds: definitions and open occurrences.
    [[nodiscard]] std::size_t budgeted() const { return m_definitions + m_occurrences + m_held; }
    [[nodiscard]] std::size_t budget() const { return m_settings.budget; }
    /// @}

private:
    /// What is neither used nor reserved for a submission.
    [[nodiscard]] std::size_t available() const;
    void releaseShare(const std::string &queue, std::size_t cost);
    [[nodiscard]] std::size_t usedBy(const std::string &queue) const;

    JobMemorySettings m_settings;
    std::size_t m_definitions = 0;
    std::size_t m_occurrences = 0;
    std::size_t m_records = 0;
    std::size_t m_held = 0;
    std::size_t m_retained = 0;
    std::size_t m_submissions = 0;
    /// Open occurrences and submissions, by queue.
    std::map<std::string, std::size_t> m_queues;
    std::size_t m_released = 0;
    double m_releasedPerSecond = 0;
    Timestamp m_advancedAt;
};

} // namespace acaciafork::jobs
