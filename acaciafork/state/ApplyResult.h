#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wire/state.pb.h"

namespace acaciafork::state {

/// Typed result of one command; it is itself a message, because results of operator commands are
/// part of the replicated state.
using ApplyResult = wire::CommandResult;

/// Result with an outcome, the version (or epoch, or attempt) in force, and a detail.
ApplyResult makeResult(wire::Outcome outcome, std::uint64_t version = 0, std::string detail = {});

/// Result of a compare-and-set that expected another version than the one in force.
ApplyResult versionConflict(std::uint64_t expected, std::uint64_t current);

/// Stable lower-case name of an outcome, such as "version-conflict".
std::string_view outcomeName(wire::Outcome outcome);

/// True when the command changed the state, or the same change stood already.
bool succeeded(const ApplyResult &result);

/// True for a name of 1 to maxNameBytes printable ASCII characters without blanks and slashes.
bool isName(std::string_view text);

/// True for the id of a task: names with slashes between them, such as "team/job".
bool isTaskId(std::string_view text);

/// True when every amount is at most maxResourceAmount.
bool isBounded(const wire::Resources &amounts);

} // namespace acaciafork::state
