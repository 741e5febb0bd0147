#pragma once

/// Public header of the core library: ids, time, typed failures, counters, time line, settings.

#include "acaciafork/core/Assert.h"
#include "acaciafork/core/Counters.h"
#include "acaciafork/core/Failure.h"
#include "acaciafork/core/HybridClock.h"
#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Logging.h"
#include "acaciafork/core/Random.h"
#include "acaciafork/core/Settings.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/core/Timeline.h"
