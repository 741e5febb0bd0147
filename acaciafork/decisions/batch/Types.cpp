#include "acaciafork/decisions/batch/Types.h"

#include <array>

namespace acaciafork::batch {

std::string_view describe(UnschedulableReason reason)
{
    constexpr std::array<std::string_view, 8> sentences {
        "can run",
        "asks for more cores than any worker has",
        "asks for more memory than any worker has",
        "asks for more accelerators than any worker has",
        "asks for cores, memory and accelerators that no single worker has together",
        "asks for more than the whole quota of its team",
        "asks for an amount that makes no sense",
        "failed on several workers on which other jobs succeed",
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
