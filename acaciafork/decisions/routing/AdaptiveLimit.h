#pragma once

#include <cstdint>

#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// Adaptive concurrency limit of one endpoint: additive increase, multiplicative decrease. Falls by
/// a quarter when the endpoint refuses work for lack of capacity, then rises by one slot at a time.
class AdaptiveLimit
{
public:
    /// Lowers the limit after the endpoint refused work.
    /// @param[in] running slots charged to the endpoint at that time
    void recordRefusal(Timestamp now, std::uint32_t running);

    /// Raises the limit by one slot if enough time has passed since its last change.
    /// @param[in] slots slots that the endpoint announces; at that level the limit is lifted
    /// @return true when the limit has changed
    bool recover(Timestamp now, std::uint32_t slots);

    /// Number of the announced slots that may be used.
    [[nodiscard]] std::uint32_t apply(std::uint32_t slots) const;

    /// True while the limit is below the slots that the endpoint announces.
    [[nodiscard]] bool limited() const { return m_limit != unlimited; }

private:
    static constexpr std::uint32_t unlimited = UINT32_MAX;

    std::uint32_t m_limit = unlimited;
    Timestamp m_changedAt;
};

} // namespace acaciafork::routing
