#pragma once

#include <cstdint>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/decisions/routing/RequestInfo.h"

namespace acaciafork::routing {

/// Where in the dense tables of one entry something stands.
using TableIndex = std::uint32_t;
/// Index of nothing.
inline constexpr TableIndex noIndex = UINT32_MAX;

/// Which work a request waits beside; each lane has its own share of the slots.
enum class Lane : std::uint8_t { Short, Long, Batch, Stream };
/// Number of values of Lane.
inline constexpr std::size_t laneCount = 4;

/// How far the entry has come with a request.
enum class RequestState : std::uint8_t {
    Waiting, ///< in the queue
    AwaitingLedger, ///< has a slot, the ledger has been asked
    Started, ///< an attempt is under way
    Forwarded, ///< with a peer entry
};

/// One request that this entry has not yet given its final answer.
struct RequestRecord
{
    using QueueHook = boost::intrusive::set_member_hook<>;
    using ListHook = boost::intrusive::list_member_hook<>;

    RequestId request;
    TableIndex service = noIndex;
    Lane lane = Lane::Short;
    RequestState state = RequestState::Waiting;
    bool idempotent = true;
    /// True when some attempt may have begun the work.
    bool mayHaveRun = false;
    /// True once part of an answer has gone to the caller.
    bool answerStarted = false;
    /// True when it came from a peer entry, or has been at one.
    bool forwarded = false;
    /// True when the ledger holds it.
    bool inLedger = false;
    /// True when the caller has gone away while the ledger was asked.
    bool callerGone = false;
    /// True when its next attempt has been taken from the retry budget.
    bool retryReserved = false;
    std::uint32_t attempts = 0;
    std::uint64_t routeHash = 0;
    std::uint64_t keyDigest = 0;
    std::uint64_t bodyDigest = 0;
    Timestamp arrival;
    Timestamp deadline;
    /// Service time expected from what was learned.
    Duration expected {};
    /// Attempt under way.
    AttemptId attempt;
    /// Endpoint at which it has a slot.
    TableIndex endpoint = noIndex;
    /// Endpoint of the last attempt, which a retry avoids together with its rack.
    TableIndex lastEndpoint = noIndex;

    /// Order in its lane: smaller is served first.
    std::int64_t orderKey = 0;
    /// Latest moment at which starting it is of use.
    Timestamp latestStart;
    QueueHook orderHook;
    QueueHook startHook;
    ListHook arrivalHook;
};

} // namespace acaciafork::routing
