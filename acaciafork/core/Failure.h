#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/leaf.hpp>

namespace acaciafork {

namespace leaf = boost::leaf;

/// Value or failure. Failures are typed objects: a Failure, or a type of the library's own.
template <typename T>
using Result = leaf::result<T>;

/// Kind of a failure, shared by every library; it decides HTTP status and exit code.
enum class FailureKind : std::uint8_t {
    InvalidArgument, ///< the input is malformed or out of range
    Unauthorized, ///< no token, or a wrong one
    NotFound, ///< the thing named does not exist
    Conflict, ///< another change won; the detail shows the winner
    TooLarge, ///< over a size bound
    NotReady, ///< starting, draining, stale, or without a quorum; nothing was done
    Overloaded, ///< refused at a limit; nothing was done
    Timeout, ///< no answer in time; the effect is unknown
    Unreachable, ///< the peer could not be reached; nothing was done
    Protocol, ///< the peer broke the protocol
    Storage, ///< a write, sync, rename or read failed
    Corrupt, ///< stored data does not match its checksum
    Full, ///< the disk has no room
    Internal, ///< an error of our own
};

/// A failure with its kind and what an operator should read about it.
struct Failure
{
    FailureKind kind = FailureKind::Internal;
    std::string detail;
};

/// Stable lower-case name of a kind, as used in JSON answers and logs, such as "not-ready".
std::string_view failureKindName(FailureKind kind);

/// HTTP status that answers a failure of this kind.
int httpStatus(FailureKind kind);

/// Process exit code for a failure of this kind; 0 is never returned.
int exitCode(FailureKind kind);

/// New LEAF error that carries a Failure.
inline leaf::error_id fail(FailureKind kind, std::string detail)
{
    return leaf::new_error(Failure { .kind = kind, .detail = std::move(detail) });
}

} // namespace acaciafork
