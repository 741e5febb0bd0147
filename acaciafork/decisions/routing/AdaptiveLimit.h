#pragma once

#include <cstdint>

#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// Learned limit on the requests of one endpoint: falls by a quarter when the endpoint refuses
/// work as over its room, rises by one slot at a time afterwards.
class AdaptiveLimit
{
public:
    /// Notes that the endpoint refused work. @param[in] running slots charged at that time
    void recordRefusal(Timestamp now, std::uint32_t running);

    /// Raises the limit if it is time.
    /// @return true when it has changed
    bool recover(Timestamp now, std::uint32_t slots);

    /// Slots that may be used of those announced.
    [[nodiscard]] std::uint32_t apply(std::uint32_t slots) const;

    /// True while the limit is below what the endpoint announces.
    [[nodiscard]] bool limited() const { return m_limit != unlimited; }

private:
    static constexpr std::uint32_t unlimited = UINT32_MAX;

    std::uint32_t m_limit = unlimited;
    Timestamp m_changedAt;
};

} // namespace acaciafork::routing
