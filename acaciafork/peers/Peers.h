#pragma once

/// Public header of the peers library: links between entries and control members.

#include "acaciafork/peers/CallTable.h"
#include "acaciafork/peers/LeaderTracker.h"
