#pragma once

/// Public header of the batch library: placement of batch jobs and service tasks, and the move of
/// racks between buildings.

#include "acaciafork/decisions/batch/Commands.h"
#include "acaciafork/decisions/batch/Events.h"
#include "acaciafork/decisions/batch/MovePlanner.h"
#include "acaciafork/decisions/batch/MoveView.h"
#include "acaciafork/decisions/batch/Records.h"
#include "acaciafork/decisions/batch/Scheduler.h"
#include "acaciafork/decisions/batch/SchedulerCounters.h"
#include "acaciafork/decisions/batch/Settings.h"
#include "acaciafork/decisions/batch/Types.h"
