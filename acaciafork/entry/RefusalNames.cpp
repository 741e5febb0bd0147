#include "acaciafork/entry/RefusalNames.h"

#include <array>

namespace acaciafork::entry {

std::string_view refusalReasonName(routing::RefusalReason reason)
{
    /// By routing::RefusalReason.
    static constexpr std::array<std::string_view, 10> names {
        "no-credit",    "queue-full",      "deadline-too-close", "unknown-service",
        "draining",     "attempts-failed", "ledger-unavailable", "ledger-running",
        "ledger-ended", "key-reused",
    };
    static_assert(names.size() == static_cast<std::size_t>(routing::RefusalReason::KeyReused) + 1);
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace acaciafork::entry
