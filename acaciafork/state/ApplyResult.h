#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wire/state.pb.h"

namespace acaciafork::state {

/// Typed result of one command; it is itself a message, because results of operator commands are
/// part of the replicated state.
using ApplyResult = wire::CommandResult;

/// Builds a result from an outcome, the current version (or epoch, or attempt) and a detail text.
ApplyResult makeResult(wire::Outcome outcome, std::uint64_t version = 0, std::string detail = {});

/// Builds the result of a compare-and-set whose expected version is not the current one.
ApplyResult versionConflict(std::uint64_t expected, std::uint64_t current);

/// Stable lower-case name of an outcome, such as "version-conflict".
std::string_view outcomeName(wire::Outcome outcome);

/// True when the command changed the state, or when the same change had been applied before.
bool succeeded(const ApplyResult &result);

/// True for a name of 1 to maxNameBytes printable ASCII characters without blanks and slashes.
bool isName(std::string_view text);

/// True for a valid task id: like a name, but slashes are allowed, as in "team/job".
bool isTaskId(std::string_view text);

/// True when every amount is at most maxResourceAmount.
bool isBounded(const wire::Resources &amounts);

} // namespace acaciafork::state
