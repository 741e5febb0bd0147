#pragma once

#include <deque>
#include <map>
#include <vector>

#include "acaciafork/decisions/batch/TaskTable.h"

namespace acaciafork::batch {

/// How soon a waiting task is placed; lower first.
enum class QueueClass : std::uint8_t {
    Service, ///< tasks of services
    Urgent, ///< urgent jobs
    Evicted, ///< work that was running and has to move
    Normal,
};
/// How many classes there are.
inline constexpr std::size_t queueClassCount = 4;

/// Tasks that wait for a place: by class, by team, then by size, each in order of arrival. A size
/// that finds no room holds up only what is of its size.
class WaitingQueue
{
public:
    /// Tasks of one team and class, of roughly one size.
    struct SizeQueue
    {
        /// Task and its ticket; entries whose ticket is not the task's are dead.
        std::deque<std::pair<Index, std::uint64_t>> tasks;
        /// Round in which its head found no place.
        std::uint64_t blockedInRound = 0;
    };
    using SizeQueues = std::map<std::uint32_t, SizeQueue>;

    explicit WaitingQueue(const TaskTable *tasks);

    /// Adds a task at the end of its line, or at the front.
    void add(Index task, Index team, QueueClass queueClass, const Resources &size, bool atFront);
    /// Takes a task out, wherever it waits.
    void remove(Index task);
    /// True while the task waits.
    [[nodiscard]] bool contains(Index task) const;

    /// Lines of one class and team; their heads are live after pruneHead().
    SizeQueues &sizeQueues(QueueClass queueClass, Index team);
    /// Drops dead entries from the head of a line; false when the line is empty then.
    bool pruneHead(SizeQueue *sizeQueue) const;
    /// How many teams may have lines.
    [[nodiscard]] Index teamCount() const { return static_cast<Index>(m_sizeQueues[0].size()); }
    /// How many tasks wait.
    [[nodiscard]] std::size_t size() const { return m_size; }
    /// How many tasks of one class wait.
    [[nodiscard]] std::size_t size(QueueClass queueClass) const
    {
        return m_classSizes[static_cast<std::size_t>(queueClass)];
    }

    /// Sizes of the tasks of one class that wait, all together.
    [[nodiscard]] const Resources &total(QueueClass queueClass) const
    {
        return m_classTotals[static_cast<std::size_t>(queueClass)];
    }

private:
    const TaskTable *m_tasks;
    /// Lines by class and team.
    std::vector<SizeQueues> m_sizeQueues[queueClassCount];
    /// Where a task waits; ticket 0 when it does not.
    struct Ticket
    {
        std::uint64_t number = 0;
        Resources size;
        QueueClass queueClass = QueueClass::Normal;
    };

    /// Tickets by task.
    std::vector<Ticket> m_tickets;
    Resources m_classTotals[queueClassCount];
    std::size_t m_classSizes[queueClassCount] {};
    std::uint64_t m_lastTicket = 0;
    std::size_t m_size = 0;
};

} // namespace acaciafork::batch
