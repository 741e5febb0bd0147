#pragma once

#include <cstdint>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/decisions/routing/RequestInfo.h"

namespace acaciafork::routing {

/// Index of a row in one of the tables of an entry.
using TableIndex = std::uint32_t;
/// Index that refers to no row.
inline constexpr TableIndex noIndex = UINT32_MAX;

/// Queue of a service for one kind of work. Each lane has its own limit on the slots it may use.
enum class Lane : std::uint8_t { Short, Long, Batch, Stream };
/// Number of values of Lane.
inline constexpr std::size_t laneCount = 4;

/// State of a request at this entry.
enum class RequestState : std::uint8_t {
    Waiting, ///< in the queue
    AwaitingLedger, ///< has a slot and waits for the answer of the ledger
    Started, ///< an attempt is in progress
    Forwarded, ///< forwarded to a peer entry
};

/// One request without a final answer yet.
struct RequestRecord
{
    using QueueHook = boost::intrusive::set_member_hook<>;
    using ListHook = boost::intrusive::list_member_hook<>;

    RequestId request;
    TableIndex service = noIndex;
    Lane lane = Lane::Short;
    RequestState state = RequestState::Waiting;
    bool idempotent = true;
    /// True when an attempt may have begun the work.
    bool mayHaveRun = false;
    /// True once the answer of an attempt is being passed on to the caller.
    bool answerStarted = false;
    /// True when it came from a peer entry or was forwarded to one; it is not forwarded again.
    bool forwarded = false;
    /// True when it is recorded in the ledger.
    bool inLedger = false;
    /// True when the caller disconnected while the answer of the ledger was outstanding.
    bool callerGone = false;
    /// True when the retry of a failed attempt is already charged to the retry budget.
    bool retryReserved = false;
    std::uint32_t attempts = 0;
    std::uint64_t routeHash = 0;
    std::uint64_t keyDigest = 0;
    std::uint64_t bodyDigest = 0;
    Timestamp arrival;
    Timestamp deadline;
    /// Expected service time, learned from earlier requests.
    Duration expected {};
    /// Current attempt.
    AttemptId attempt;
    /// Endpoint at which it has a slot, or noIndex.
    TableIndex endpoint = noIndex;
    /// Endpoint of the last attempt, which a retry avoids together with its rack.
    TableIndex lastEndpoint = noIndex;

    /// Order in the queue: the smallest key is served first.
    std::int64_t orderKey = 0;
    /// Latest start that still meets the deadline, by the expected service time.
    Timestamp latestStart;
    QueueHook orderHook;
    QueueHook startHook;
    ListHook arrivalHook;
};

} // namespace acaciafork::routing
