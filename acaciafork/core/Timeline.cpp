#include "acaciafork/core/Timeline.h"

#include <array>

#include "acaciafork/core/Assert.h"

namespace acaciafork {
namespace {

constexpr std::array<std::string_view, 40> kindNames {
    "process-started",    "process-draining", "process-stopped",   "leader-elected",
    "leader-lost",        "member-added",     "member-removed",    "config-accepted",
    "config-in-force",    "entry-joined",     "entry-lost",        "endpoint-joined",
    "endpoint-leaving",   "endpoint-ejected", "endpoint-restored", "endpoint-forgotten",
    "credit-quarantined", "credit-released",  "worker-joined",     "worker-lost",
    "worker-quarantined", "job-queued",       "job-leased",        "job-started",
    "job-checkpointed",   "job-evicted",      "job-resumed",       "job-finished",
    "job-failed",         "job-cancelled",    "job-unschedulable", "rack-draining",
    "rack-drained",       "rack-retired",     "rack-restored",     "move-started",
    "move-paused",        "move-finished",    "zone-closed",       "zone-opened",
};
static_assert(kindNames.size() == static_cast<std::size_t>(EventKind::ZoneOpened) + 1);

} // namespace

std::string_view eventKindName(EventKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

Timeline::Timeline(ProcessId process, std::size_t capacity)
    : m_process(process)
    , m_capacity(capacity)
{
    ACACIAFORK_ASSERT(capacity > 0);
}

void Timeline::record(std::int64_t wallMicroseconds, EventKind kind, std::string subject,
                      std::string detail)
{
    Event event { .time = m_clock.next(wallMicroseconds),
                  .process = m_process,
                  .kind = kind,
                  .subject = std::move(subject),
                  .detail = std::move(detail) };
    if (m_ring.size() < m_capacity) {
        m_ring.push_back(std::move(event));
        return;
    }

    // The ring is full: the oldest event gives way.
    m_ring[m_first] = std::move(event);
    m_first = (m_first + 1) % m_capacity;
    ++m_dropped;
}

std::vector<Event> Timeline::events() const
{
    std::vector<Event> ordered;
    ordered.reserve(m_ring.size());
    for (std::size_t i = 0; i < m_ring.size(); ++i)
        ordered.push_back(m_ring[(m_first + i) % m_ring.size()]);
    return ordered;
}

} // namespace acaciafork
