#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

#include "acaciafork/core/IndexSet.h"

namespace acaciafork {

/// Which tasks of a job are done. Its memory follows the occurrences that have begun and have not
/// ended: those to come take none, however many they are.
class TaskResults
{
public:
    TaskResults() = default;
    /// @param[in] tasks number of tasks in one occurrence
    TaskResults(std::uint32_t occurrences, std::uint32_t tasks)
        : m_occurrences(occurrences)
        , m_tasks(tasks)
    { }
    /// Results from one byte per task, ordered by occurrence: not 0 when the task is done. Bytes
    /// that are missing count as 0.
    static TaskResults fromFlags(std::uint32_t occurrences, std::uint32_t tasks,
                                 std::string_view flags);

    /// True when the job has that task.
    /// @param[in] task position within the occurrence, over all steps
    [[nodiscard]] bool isTask(std::uint32_t occurrence, std::uint32_t task) const
    {
        return occurrence < m_occurrences && task < m_tasks;
    }
    [[nodiscard]] bool isDone(std::uint32_t occurrence, std::uint32_t task) const;
    /// Returns false if the task was done before.
    bool markDone(std::uint32_t occurrence, std::uint32_t task);
    [[nodiscard]] std::uint64_t doneCount() const;
    [[nodiscard]] std::uint64_t taskCount() const
    {
        return std::uint64_t { m_occurrences } * m_tasks;
    }
    [[nodiscard]] bool isComplete() const { return m_ended.size() == m_occurrences; }

    /// Occurrences of which all tasks are done.
    [[nodiscard]] const IndexSet &ended() const { return m_ended; }
    /// Done tasks of the occurrences of which some are done.
    [[nodiscard]] const std::map<std::uint32_t, IndexSet> &open() const { return m_open; }
    /// Restores the results from ended() and open(); returns false if they are of another job.
    bool restore(IndexSet ended, std::map<std::uint32_t, IndexSet> open);

    /// Allocated memory.
    [[nodiscard]] std::size_t bytes() const;

private:
    std::uint32_t m_occurrences = 0;
    std::uint32_t m_tasks = 0;
    IndexSet m_ended;
    std::map<std::uint32_t, IndexSet> m_open;
};

} // namespace acaciafork
