#pragma once

#include <cstdint>
#include <string_view>

namespace acaciafork::entry {

/// Hash of method and path shape: segments that name one thing (with digits in them) count alike,
/// and the query does not count.
std::uint64_t routeHash(std::string_view method, std::string_view path);

/// Digest of an idempotency key; 0 exactly for an empty one.
std::uint64_t keyDigest(std::string_view key);

/// Digest of what a key was used for: method, path and body.
std::uint64_t bodyDigest(std::string_view method, std::string_view path, std::string_view body);

} // namespace acaciafork::entry
