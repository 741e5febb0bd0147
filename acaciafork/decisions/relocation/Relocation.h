#pragma once

/// Public header of the relocation library: moves serving tasks together, so that backfill images
/// which disturb them find workers that bear them.

#include "acaciafork/decisions/relocation/FleetView.h"
#include "acaciafork/decisions/relocation/RelocationPlanner.h"
#include "acaciafork/decisions/relocation/RelocationSettings.h"
