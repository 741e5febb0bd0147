#pragma once

#include <cstdint>

namespace acaciafork::batch::fakes {

/// Bytes that were allocated and not freed while `insideScheduler` was set.
extern std::int64_t heldBytes;
/// Set around the calls whose memory is counted.
extern bool insideScheduler;

} // namespace acaciafork::batch::fakes
