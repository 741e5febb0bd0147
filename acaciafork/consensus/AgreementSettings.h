#pragma once

#include <span>

#include "acaciafork/consensus/NodeSettings.h"
#include "acaciafork/consensus/ReplacementPolicy.h"
#include "acaciafork/core/Settings.h"

namespace acaciafork::consensus {

/// Keys of NodeSettings in an INI file, section `agreement`.
std::span<const SettingField<NodeSettings>> nodeSettingFields();

/// Keys of ReplacementSettings in an INI file, section `replacement`.
std::span<const SettingField<ReplacementSettings>> replacementSettingFields();

/// Checks the constraints between settings. Fails with InvalidArgument when timeouts contradict
/// each other.
Result<void> checkNodeSettings(const NodeSettings &settings);

} // namespace acaciafork::consensus
