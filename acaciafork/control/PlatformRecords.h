#pragma once

#include <vector>

#include "acaciafork/decisions/batch/Batch.h"
#include "acaciafork/platform/Platform.h"
#include "acaciafork/state/State.h"

namespace acaciafork::control {

/// A worker's report as the batch scheduler takes it.
batch::WorkerReport toBatch(const platform::WorkerReport &report);

/// A usage report as the batch scheduler takes it.
batch::UsageReport toBatch(const platform::UsageReport &report);

/// The commands to a worker that carry out one worker call; a renewal has one for each task.
std::vector<platform::WorkerCommand> toWorkerCommands(const batch::Command &call,
                                                      const state::StateMachine &machine);

/// Number of a worker call; none for other commands.
batch::CallId callOf(const batch::Command &command);

/// What a worker's answer means to the scheduler.
batch::CallAnswer toBatch(platform::CommandOutcome outcome);

} // namespace acaciafork::control
