#pragma once

#include <cstdint>

namespace acaciafork::questionnaire {

/// Thousandths of a core in one core.
inline constexpr std::int64_t millicoresPerCore = 1000;
/// MB in one GB; decimal, so that a copy never asks for more than a machine of that size has.
inline constexpr std::int64_t mbPerGb = 1000;

} // namespace acaciafork::questionnaire
