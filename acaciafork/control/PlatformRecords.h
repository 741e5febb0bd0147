#pragma once

#include <vector>

#include "acaciafork/decisions/batch/Batch.h"
#include "acaciafork/state/State.h"
#include "acaciafork/workers/Workers.h"

namespace acaciafork::control {

/// A worker's report as the batch scheduler takes it.
batch::WorkerReport toBatch(const workers::WorkerReport &report);

/// A usage report as the batch scheduler takes it.
batch::UsageReport toBatch(const workers::UsageReport &report);

/// The commands to a worker that carry out one worker call; a renewal has one for each task.
std::vector<workers::WorkerCommand> toWorkerCommands(const batch::Command &call,
                                                     const state::StateMachine &machine);

/// Number of a worker call; none for other commands.
batch::CallId callOf(const batch::Command &command);

/// What a worker's answer means to the scheduler.
batch::CallAnswer toBatch(workers::CommandOutcome outcome);

} // namespace acaciafork::control
