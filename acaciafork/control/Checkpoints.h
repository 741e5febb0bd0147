#pragma once

#include <string>
#include <string_view>

#include "acaciafork/decisions/batch/Batch.h"

namespace acaciafork::control {

/// Checkpoint of a text, as the state and the platform write it; none for an empty one.
batch::CheckpointId toCheckpoint(std::string_view text);

/// Text of a checkpoint; empty for none.
std::string toText(batch::CheckpointId checkpoint);

} // namespace acaciafork::control
