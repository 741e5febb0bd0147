#include "acaciafork/decisions/batch/Types.h"

#include <array>

namespace acaciafork::batch {

std::string_view describe(UnschedulableReason reason)
{
    constexpr std::array<std::string_view, 8> sentences {
        "can run",
        "requests more cores than any worker has",
        "requests more memory than any worker has",
        "requests more accelerators than any worker has",
        "requests a combination of cores, memory and accelerators that no single worker has",
        "requests more than the total quota of its team",
        "requests a negative amount, or no cores",
        "failed on several workers where other jobs succeed",
    };
    return sentences[static_cast<std::size_t>(reason)];
}

std::string_view taskPhaseName(TaskPhase phase)
{
    constexpr std::array<std::string_view, 8> names {
        "queued",   "leasing", "leased",    "running",
        "finished", "failed",  "cancelled", "unschedulable",
    };
    return names[static_cast<std::size_t>(phase)];
}

} // namespace acaciafork::batch
