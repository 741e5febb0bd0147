#pragma once

/// Public header of the peers library: links between entries and control members.

#include "acaciafork/peers/CallTable.h"
#include "acaciafork/peers/ConfigCodec.h"
#include "acaciafork/peers/CreditCodec.h"
#include "acaciafork/peers/CreditTiming.h"
#include "acaciafork/peers/Directory.h"
#include "acaciafork/peers/LeaderTracker.h"
#include "acaciafork/peers/LinkWatch.h"
#include "acaciafork/peers/MemberFinder.h"
#include "acaciafork/peers/PeerLink.h"
#include "acaciafork/peers/ProcessSettings.h"
