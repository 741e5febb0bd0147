#pragma once

#include <random>

namespace acaciafork {

/// Generator handed to decisions; always seeded by the caller, so that a session replays.
using RandomGenerator = std::mt19937_64;

} // namespace acaciafork
