#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/net/Net.h"

namespace acaciafork::endpoints {

/// Header with the attempt's id, which an endpoint repeats in its answer.
inline constexpr std::string_view attemptHeader = "acaciafork-attempt";

/// What is sent to an endpoint; all of it is copied at the start.
struct AttemptRequest
{
    AttemptId attempt;
    net::Address address;
    std::string_view method = "GET";
    /// Path below the service, with the query.
    std::string_view path = "/";
    /// The caller's headers; those of its connection are left out.
    std::span<const net::Header> headers;
    std::string_view body;
    /// Protocol to switch to; empty for an ordinary request.
    std::string_view upgradeProtocol;
    /// Longest time to the head of the answer, or to the begin of a stream. Zero is none.
    Duration timeout = Duration::zero();
    /// Longest time without a byte of the body while the attempt is not paused. Zero is none.
    Duration stallTimeout = std::chrono::seconds(30);
};

/// Why an attempt did not give a whole answer.
enum class AttemptFailure : std::uint8_t {
    NotConnected, ///< no byte has left: the endpoint cannot have begun
    Timeout, ///< no whole answer in time
    Lost, ///< the connection ended before the answer was whole
    Mismatched, ///< the answer belongs to another attempt, or to none
    Malformed, ///< the answer is no HTTP, or tells no length
    NotUpgraded, ///< a stream was asked for and refused
};

/// Stable lower-case name of a failure, such as "not-connected".
std::string_view attemptFailureName(AttemptFailure failure);

/// How an attempt ended.
struct AttemptEnd
{
    AttemptId attempt;
    /// How far it came. Before Sent the endpoint cannot have begun the work.
    net::CallPhase phase = net::CallPhase::NotConnected;
    /// Absent exactly when the answer arrived whole.
    std::optional<AttemptFailure> failure;
    int status = 0;
    std::uint64_t bodyBytes = 0;
};

/// What an attempt shows its owner, who outlives it or cancels it.
class AttemptSink
{
public:
    virtual ~AttemptSink() = default;

    /// The request leaves now: from here on the endpoint may begin the work. It may come before
    /// startAttempt() returns, and must not cancel the attempt.
    virtual void onSent() { }
    /// The head of the answer that belongs to this attempt.
    virtual void onHead(const net::HttpHead &head) = 0;
    /// The next bytes of the body.
    virtual void onBody(std::string_view bytes) = 0;
    /// The endpoint has switched protocols; its connection, in place of body and end.
    virtual void onUpgraded(std::unique_ptr<net::TcpStream> stream);
    /// The end; nothing follows it.
    virtual void onEnd(const AttemptEnd &end) = 0;
};

} // namespace acaciafork::endpoints
