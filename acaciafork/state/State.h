#pragma once

/// Public header of the state library: the replicated state machine and the tables it holds.

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/ClosedZones.h"
#include "acaciafork/state/CommandCodec.h"
#include "acaciafork/state/Configuration.h"
#include "acaciafork/state/Jobs.h"
#include "acaciafork/state/Ledger.h"
#include "acaciafork/state/Moves.h"
#include "acaciafork/state/Placements.h"
#include "acaciafork/state/Queues.h"
#include "acaciafork/state/Racks.h"
#include "acaciafork/state/RequestLog.h"
#include "acaciafork/state/StateLimits.h"
#include "acaciafork/state/StateMachine.h"
#include "acaciafork/state/Tasks.h"
#include "acaciafork/state/Teams.h"
#include "acaciafork/state/WorkerRecords.h"
