#pragma once

#include <deque>
#include <map>
#include <vector>

#include "acaciafork/decisions/batch/TaskTable.h"

namespace acaciafork::batch {

/// Priority class of a waiting task; lower values are placed first.
enum class QueueClass : std::uint8_t {
    Service, ///< tasks of services
    Urgent, ///< urgent jobs
    Evicted, ///< jobs that held a lease before and are queued again
    Normal,
};
inline constexpr std::size_t queueClassCount = 4;

/// Tasks that wait for placement, queued by class, team and size, each in order of arrival. A task
/// that finds no room blocks only tasks of its own size.
class WaitingQueue
{
public:
    /// Waiting tasks of one team and class that have a similar size.
    struct SizeQueue
    {
        /// Tasks with their tickets. An entry is stale when the task now has another ticket.
        std::deque<std::pair<Index, std::uint64_t>> tasks;
        /// Placement round in which the task at the head found no room.
        std::uint64_t blockedInRound = 0;
    };
    using SizeQueues = std::map<std::uint32_t, SizeQueue>;

    explicit WaitingQueue(const TaskTable *tasks);

    /// Adds a task at the end of its size queue, or at the front.
    void add(Index task, Index team, QueueClass queueClass, const Resources &size, bool atFront);
    /// Removes a task when it is waiting.
    void remove(Index task);
    /// Returns true while the task is waiting.
    [[nodiscard]] bool contains(Index task) const;

    /// Size queues of one class and team. Call pruneHead() before reading the head of a queue.
    SizeQueues &sizeQueues(QueueClass queueClass, Index team);
    /// Drops stale entries from the head of a size queue.
    /// @return false when the queue is empty afterwards
    bool pruneHead(SizeQueue *sizeQueue) const;
    /// Number of teams for which size queues exist.
    [[nodiscard]] Index teamCount() const { return static_cast<Index>(m_sizeQueues[0].size()); }
    /// Number of waiting tasks.
    [[nodiscard]] std::size_t size() const { return m_size; }
    /// Number of waiting tasks of one class.
    [[nodiscard]] std::size_t size(QueueClass queueClass) const
    {
        return m_classSizes[static_cast<std::size_t>(queueClass)];
    }

    /// Total size of the waiting tasks of one class.
    [[nodiscard]] const Resources &total(QueueClass queueClass) const
    {
        return m_classTotals[static_cast<std::size_t>(queueClass)];
    }

private:
    const TaskTable *m_tasks;
    /// Size queues by class and team.
    std::vector<SizeQueues> m_sizeQueues[queueClassCount];
    /// Position of a waiting task; `number` is 0 when the task is not waiting.
    struct Ticket
    {
        std::uint64_t number = 0;
        Resources size;
        QueueClass queueClass = QueueClass::Normal;
    };

    /// Tickets by task index.
    std::vector<Ticket> m_tickets;
    Resources m_classTotals[queueClassCount];
    std::size_t m_classSizes[queueClassCount] {};
    std::uint64_t m_lastTicket = 0;
    std::size_t m_size = 0;
};

} // namespace acaciafork::batch
