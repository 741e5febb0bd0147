#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/core/Failure.h"

namespace acaciafork::net {

/// One header; names compare without regard to case.
struct Header
{
    std::string_view name;
    std::string_view value;
};

/// True when two header names are the same.
bool sameHeaderName(std::string_view one, std::string_view other);

/// Value of the first header of that name, or an empty view.
std::string_view findHeader(std::span<const Header> headers, std::string_view name);

/// True for headers that belong to one connection and are never passed on.
bool isHopHeader(std::string_view name);

/// Typed failure as JSON, the shape of every error answer: `{"error":{"kind":...,"detail":...}}`.
std::string failureJson(FailureKind kind, std::string_view detail);

} // namespace acaciafork::net
