#pragma once

#include <vector>

#include "acaciafork/decisions/batch/MoveProjection.h"
#include "acaciafork/decisions/batch/Records.h"

namespace acaciafork::batch {

/// Why a task is still on a rack that the move drains.
enum class BlockerKind : std::uint8_t {
    RunsOut, ///< will end sooner than it could be moved
    Checkpointing, ///< is saving a checkpoint
    WaitsForRoom, ///< no worker outside the racks of the move has room for it
    WaitsForReplacement, ///< its replacement is not warm yet
    EndpointBusy, ///< its endpoint has requests in progress
    WorkerSilent, ///< its worker does not report; the lease must expire first
};

/// Stable lower-case name of a kind, such as "waits-for-room".
std::string_view blockerKindName(BlockerKind kind);

/// One task that blocks the move.
struct MoveBlocker
{
    TaskName task;
    RackName rack;
    BlockerKind kind = BlockerKind::Checkpointing;
    /// How long the rack has been draining.
    Duration since {};
};

/// State of the move as shown to operators.
struct MoveView
{
    MoveRecord record;
    std::uint32_t racksLeft = 0;
    std::uint32_t tasksLeft = 0;
    ProjectedFinish finish;
    /// The late bound of the projected end is past the deadline.
    bool mayMissDeadline = false;
    /// Tasks that block the move on the racks being drained now, at most MoveView::maxBlockers.
    std::vector<MoveBlocker> blockers;
    /// Racks whose drain has not started, in the order of the move.
    std::vector<RackName> racksWaiting;

    static constexpr std::size_t maxBlockers = 20;
};

} // namespace acaciafork::batch
