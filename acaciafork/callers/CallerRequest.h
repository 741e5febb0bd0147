#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/net/Net.h"

namespace acaciafork::callers {

/// How a caller's request is to be scheduled.
enum class RequestClass : std::uint8_t {
    Interactive, ///< someone waits for the answer
    Batch, ///< throughput counts more than delay
    Stream, ///< long-lived, in both directions
};

/// One request of a caller. Its views are valid while its exchange is open.
struct CallerRequest
{
    RequestId id;
    std::string_view service;
    /// Path below the service, with the query; begins with a slash.
    std::string_view path;
    std::string_view method;
    /// Empty when the caller gave none.
    std::string_view idempotencyKey;
    bool isIdempotent = true;
    Duration timeout = Duration::zero();
    RequestClass requestClass = RequestClass::Interactive;
    /// Protocol that the caller wants to switch to; empty for an ordinary request.
    std::string_view upgradeProtocol;
    std::span<const net::Header> headers;
    std::string_view body;
    /// When the whole request was there.
    Timestamp arrivedAt;
};

/// Bounds and defaults of the callers' interface.
struct CallerSettings
{
    net::HttpServerSettings server;
    /// Time that a request gets when the caller names none.
    Duration defaultTimeout = std::chrono::seconds(30);
    /// Most that a caller may ask for.
    Duration mostTimeout = std::chrono::hours(1);
    /// Longest idempotency key, in bytes.
    std::int64_t mostKeyBytes = 256;
    /// Longest service name, in bytes.
    std::int64_t mostServiceBytes = 128;
};

/// Reads the request out of the exchange.
/// Fails with Failure InvalidArgument that names the header or path at fault.
Result<CallerRequest> parseCallerRequest(const net::HttpExchange &exchange,
                                         const CallerSettings &settings);

} // namespace acaciafork::callers
