#pragma once

/// Public header of the platform library: reports from workers, and commands to them.

#include "acaciafork/workers/WorkerClient.h"
#include "acaciafork/workers/WorkerCommand.h"
#include "acaciafork/workers/WorkerReport.h"
