#pragma once

#include <vector>

#include "acaciafork/decisions/batch/MoveProjection.h"
#include "acaciafork/decisions/batch/Records.h"

namespace acaciafork::batch {

/// Why a task still stands on a rack that the move empties.
enum class BlockerKind : std::uint8_t {
    RunsOut, ///< ends sooner than it could be moved
    Checkpointing, ///< saves its progress
    WaitsForRoom, ///< no worker that stays has room for it
    WaitsForReplacement, ///< its replacement is not warm yet
    EndpointBusy, ///< its endpoint has requests in progress
    WorkerSilent, ///< its worker does not report; its lease has to expire
};

/// Stable lower-case name of a kind, such as "waits-for-room".
std::string_view blockerKindName(BlockerKind kind);

/// One task in the way of the move.
struct MoveBlocker
{
    TaskName task;
    RackName rack;
    BlockerKind kind = BlockerKind::Checkpointing;
    /// For how long the rack has been emptied.
    Duration since {};
};

/// The move as operators see it.
struct MoveView
{
    MoveRecord record;
    std::uint32_t racksLeft = 0;
    std::uint32_t tasksLeft = 0;
    ProjectedFinish finish;
    /// The late bound of the projection is past the deadline.
    bool mayMissDeadline = false;
    /// Tasks in the way on the racks that are emptied now, at most MoveView::maxBlockers.
    std::vector<MoveBlocker> blockers;
    /// Racks that are not emptied yet, in order.
    std::vector<RackName> racksWaiting;

    static constexpr std::size_t maxBlockers = 20;
};

} // namespace acaciafork::batch
