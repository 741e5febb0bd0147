#include "acaciafork/decisions/batch/WaitingQueue.h"

#include <bit>

namespace acaciafork::batch {

namespace {

/// Half powers of two up to `amount`, so that sizes of one line differ by less than half.
std::uint32_t halfPowerStep(std::int32_t amount)
{
    const auto value = static_cast<std::uint32_t>(std::max(amount, 1));
    const auto power = static_cast<std::uint32_t>(std::bit_width(value));
    const bool upperHalf = power >= 2 && (value >> (power - 2) & 1U) != 0;
    return 2 * power + (upperHalf ? 1 : 0);
}

/// Key of the line for a size. Lines with more accelerators come first in the map.
std::uint32_t sizeQueueKey(const Resources &size)
{
    constexpr std::int32_t maxAccelerators = 255;
    const auto accelerators = static_cast<std::uint32_t>(
            maxAccelerators - std::clamp(size.accelerators, 0, maxAccelerators));
    return accelerators << 16U | halfPowerStep(size.millicores) << 8U
            | halfPowerStep(size.memoryMb);
}

} // namespace

WaitingQueue::WaitingQueue(const TaskTable *tasks)
    : m_tasks(tasks)
{ }

void WaitingQueue::add(Index task, Index team, QueueClass queueClass, const Resources &size,
                       bool atFront)
{
    ACACIAFORK_ASSERT(!contains(task));
    if (task >= m_tickets.size())
        m_tickets.resize(m_tasks->indexCount());
    m_tickets[task] = { .number = ++m_lastTicket, .size = size, .queueClass = queueClass };
    auto &sizeQueue = sizeQueues(queueClass, team)[sizeQueueKey(size)].tasks;
    if (atFront)
        sizeQueue.emplace_front(task, m_lastTicket);
    else
        sizeQueue.emplace_back(task, m_lastTicket);
    ++m_size;
    ++m_classSizes[static_cast<std::size_t>(queueClass)];
    m_classTotals[static_cast<std::size_t>(queueClass)] += size;
}

void WaitingQueue::remove(Index task)
{
    if (!contains(task))
        return;
    const auto queueClass = static_cast<std::size_t>(m_tickets[task].queueClass);
    --m_classSizes[queueClass];
    m_classTotals[queueClass] -= m_tickets[task].size;
    m_tickets[task].number = 0;
    --m_size;
}

bool WaitingQueue::contains(Index task) const
{
    return task < m_tickets.size() && m_tickets[task].number != 0;
}

WaitingQueue::SizeQueues &WaitingQueue::sizeQueues(QueueClass queueClass, Index team)
{
    for (auto &it : m_sizeQueues) {
        if (team >= it.size())
            it.resize(team + 1);
    }
    return m_sizeQueues[static_cast<std::size_t>(queueClass)][team];
}

bool WaitingQueue::pruneHead(SizeQueue *sizeQueue) const
{
    auto &tasks = sizeQueue->tasks;
    while (!tasks.empty() && m_tickets[tasks.front().first].number != tasks.front().second)
        tasks.pop_front();
    return !tasks.empty();
}

} // namespace acaciafork::batch
