#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "acaciafork/core/Ids.h"
#include "acaciafork/state/Teams.h"

namespace acaciafork::operators {

/// SHA-256 digest of a bearer token, 32 bytes.
std::string tokenDigest(std::string_view token);

/// Compares two digests in a time that does not depend on where they differ.
bool equalDigests(std::string_view a, std::string_view b);

/// Team whose token has that digest. Every team is compared with, so that the time does not tell
/// which one matched.
std::optional<TeamName> teamOf(const state::Teams &teams, std::string_view digest);

/// Digest written as 64 hexadecimal digits, or nothing when the text is not that.
std::optional<std::string> digestFromHex(std::string_view hex);

/// Digest as hexadecimal digits.
std::string hexFromDigest(std::string_view digest);

} // namespace acaciafork::operators
