#include "acaciafork/core/HybridClock.h"

namespace acaciafork {

HybridTime HybridClock::next(std::int64_t wallMicroseconds)
{
    if (wallMicroseconds > m_last.wallMicroseconds)
        m_last = { .wallMicroseconds = wallMicroseconds, .logical = 0 };
    else
        ++m_last.logical;
    return m_last;
}

void HybridClock::observe(HybridTime remote, std::int64_t wallMicroseconds)
{
    if (remote > m_last)
        m_last = remote;
    next(wallMicroseconds);
}

} // namespace acaciafork
