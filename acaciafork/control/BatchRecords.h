#pragma once

#include <string>
#include <vector>

#include "acaciafork/core/Core.h"
#include "acaciafork/decisions/batch/Batch.h"
#include "acaciafork/state/State.h"

namespace acaciafork::control {

/// @name Records of the replicated state as the batch scheduler takes them.
/// Sizes that exceed what the scheduler counts in are cut to its bounds.
/// @{
batch::Resources toBatch(const wire::Resources &resources);
batch::RackRecord toBatch(const wire::Rack &rack);
batch::PlacementRecord toBatch(const wire::Placement &placement);
batch::TeamRecord toBatch(const wire::Team &team);
/// The state's steps are one drain and one retirement for each rack; the scheduler's are the racks.
batch::MoveRecord toBatch(const wire::Move &move, Moment at);
batch::TaskRecord toBatch(const std::string &name, const state::Task &task);
batch::JobRecord toBatch(const wire::SubmitTask &task);
/// @}

/// Everything that a new leader's scheduler starts from.
batch::RestoredState restoredState(const state::StateMachine &machine, Moment at);

/// The commands that carry out a durable change, in order; they go into the log as one batch.
std::vector<wire::Command> toCommands(const batch::DurableChange &change,
                                      const state::StateMachine &machine);

} // namespace acaciafork::control
