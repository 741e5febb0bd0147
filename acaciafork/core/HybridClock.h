#pragma once

#include <compare>
#include <cstdint>

namespace acaciafork {

/// Time of an event that orders cause before effect over all processes: wall-clock microseconds,
/// then a logical count for events of the same microsecond.
struct HybridTime
{
    std::int64_t wallMicroseconds = 0;
    std::uint32_t logical = 0;

    auto operator<=>(const HybridTime &) const = default;
};

/// Hybrid logical clock of one process. Its times only grow, also when the wall clock steps back.
class HybridClock
{
public:
    /// Time of a local event or of a message about to be sent.
    HybridTime next(std::int64_t wallMicroseconds);

    /// Takes in the time that a received message carried, so that what follows is later than it.
    void observe(HybridTime remote, std::int64_t wallMicroseconds);

private:
    HybridTime m_last;
};

} // namespace acaciafork
