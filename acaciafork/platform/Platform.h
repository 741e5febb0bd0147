#pragma once

/// Public header of the platform library: reports from workers, and commands to them.

#include "acaciafork/platform/WorkerClient.h"
#include "acaciafork/platform/WorkerCommand.h"
#include "acaciafork/platform/WorkerReport.h"
