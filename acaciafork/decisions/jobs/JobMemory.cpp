#include "acaciafork/decisions/jobs/JobMemory.h"

#include <algorithm>

#include "acaciafork/decisions/jobs/JobTable.h"

namespace acaciafork::jobs {
namespace {

/// Bounds of the time after which a rejected client may come back.
constexpr Duration minDrainTime = std::chrono::seconds(1);
constexpr Duration maxDrainTime = std::chrono::seconds(60);
constexpr Duration rateInterval = std::chrono::seconds(1);
/// Weight of the last second in the rate.
constexpr double rateWeight = 0.3;

void subtract(std::size_t *from, std::size_t n)
{
    ACACIAFORK_ASSERT(*from >= n);
    *from -= n;
}

} // namespace

std::size_t JobMemory::definitionBytes(const JobSpec &spec, std::size_t storedBytes)
{
    // Allocation overhead, nodes of tables and the strings of the queue's definition, in the job
    // table and in the replicated state.
    constexpr std::size_t overhead = 1024;
    return overhead + sizeof(Job) + storedBytes + spec.steps.size() * sizeof(StepSpec);
}

std::size_t JobMemory::occurrenceBytes(const JobSpec &spec)
{
    // A deque allocates its first block and the map of blocks when it is constructed.
    constexpr std::size_t dequeBytes = 576;
    constexpr std::size_t nodeBytes = 64;
    std::size_t bytes = sizeof(Occurrence) + nodeBytes;
    for (const StepSpec &it : spec.steps)
        bytes += sizeof(Step) + dequeBytes + it.count * (sizeof(Task) + sizeof(std::uint32_t));
    return bytes;
}

void JobMemory::jobAdded(std::size_t definition)
{
    m_definitions += definition;
}

void JobMemory::jobRemoved(std::size_t definition)
{
    subtract(&m_definitions, definition);
    m_released += definition;
}

void JobMemory::opened(const std::string &queue, std::size_t cost)
{
    m_occurrences += cost;
    m_queues[queue] += cost;
}

void JobMemory::closed(const std::string &queue, std::size_t cost)
{
    subtract(&m_occurrences, cost);
    releaseShare(queue, cost);
    m_released += cost;
}

void JobMemory::moved(const std::string &from, const std::string &to, std::size_t cost)
{
    if (cost == 0 || from == to)
        return;
    releaseShare(from, cost);
    m_queues[to] += cost;
}

void JobMemory::releaseShare(const std::string &queue, std::size_t cost)
{
    const auto it = m_queues.find(queue);
    ACACIAFORK_ASSERT(it != m_queues.end());
    subtract(&it->second, cost);
    if (it->second == 0)
        m_queues.erase(it);
}

void JobMemory::heldReleased(std::size_t bytes)
{
    subtract(&m_held, bytes);
}

void JobMemory::setRetained(std::size_t bytes)
{
    m_released += m_retained - std::min(m_retained, bytes);
    m_retained = bytes;
}

void JobMemory::submissionBegan(const std::string &queue, std::size_t cost)
{
    m_submissions += cost;
    m_queues[queue] += cost;
}

void JobMemory::submissionEnded(const std::string &queue, std::size_t cost)
{
    subtract(&m_submissions, cost);
    releaseShare(queue, cost);
}

void JobMemory::clear()
{
    JobMemory empty(m_settings);
    empty.m_retained = m_retained;
    *this = empty;
}

std::size_t JobMemory::available() const
{
    const std::size_t used = budgeted() + m_retained + m_submissions;
    return m_settings.budget - std::min(m_settings.budget, used);
}

std::size_t JobMemory::usedBy(const std::string &queue) const
{
    const auto it = m_queues.find(queue);
    return it == m_queues.end() ? 0 : it->second;
}

bool JobMemory::mayOpen(const std::string &queue, std::size_t jobBytes, std::size_t cost) const
{
    // One occurrence alone is opened whatever it takes: nothing else would make room for it.
    if (m_occurrences == 0)
        return true;
    const std::size_t free = available();
    const std::size_t used = usedBy(queue);
    if (cost > free || (used > 0 && used + cost > free))
        return false;
    return jobBytes == 0 || jobBytes + cost <= free - std::min(free, used);
}

std::size_t JobMemory::shortage(const std::string &queue, std::size_t definition,
                                std::size_t occurrence) const
{
    const auto excess = [](std::size_t needed, std::size_t limit) {
        return needed - std::min(needed, limit);
    };
    const std::size_t definitions = m_definitions + m_retained + definition;
    const std::size_t cost = definition + occurrence;
    const std::size_t used = budgeted() + m_retained + m_submissions;
    std::size_t bytes =
            std::max(excess(definitions, m_settings.budget * m_settings.maxDefinitionPercent / 100),
                     excess(used + cost, m_settings.budget));
    // What the queue releases counts twice: it uses less, and more is free.
    if (const std::size_t share = usedBy(queue); occurrence > 0 && share > 0)
        bytes = std::max(bytes, (excess(share + cost, available()) + 1) / 2);
    return bytes;
}

Duration JobMemory::drainTime(std::size_t bytes) const
{
    if (m_releasedPerSecond * static_cast<double>(maxDrainTime / rateInterval)
        <= static_cast<double>(bytes))
        return maxDrainTime;
    const double seconds = static_cast<double>(bytes) / m_releasedPerSecond;
    return std::max(minDrainTime,
                    Duration(static_cast<std::int64_t>(
                            seconds * static_cast<double>(rateInterval.count()))));
}

void JobMemory::advance(Timestamp now)
{
    const Duration passed = now - m_advancedAt;
    if (passed < rateInterval)
        return;
    const double seconds =
            static_cast<double>(passed.count()) / static_cast<double>(rateInterval.count());
    m_advancedAt = now;
    m_releasedPerSecond +=
            rateWeight * (static_cast<double>(m_released) / seconds - m_releasedPerSecond);
    m_released = 0;
}

} // namespace acaciafork::jobs
