#pragma once

/// Public header of the jobs library: schedules the tasks of jobs on workers.

#include "acaciafork/decisions/jobs/BackfillThrottle.h"
#include "acaciafork/decisions/jobs/Commands.h"
#include "acaciafork/decisions/jobs/CrashHistory.h"
#include "acaciafork/decisions/jobs/CrashRate.h"
#include "acaciafork/decisions/jobs/DurationModel.h"
#include "acaciafork/decisions/jobs/GapPlanner.h"
#include "acaciafork/decisions/jobs/JobScheduler.h"
#include "acaciafork/decisions/jobs/JobTable.h"
#include "acaciafork/decisions/jobs/LeaseClock.h"
#include "acaciafork/decisions/jobs/PlacementObstacle.h"
#include "acaciafork/decisions/jobs/PlacementRound.h"
#include "acaciafork/decisions/jobs/Placer.h"
#include "acaciafork/decisions/jobs/RelayTable.h"
#include "acaciafork/decisions/jobs/StepOrder.h"
#include "acaciafork/decisions/jobs/TailInterference.h"
#include "acaciafork/decisions/jobs/Types.h"
#include "acaciafork/decisions/jobs/WorkerTable.h"
