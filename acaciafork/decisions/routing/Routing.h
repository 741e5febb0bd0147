#pragma once

/// Public header of the routing library, which holds the request routing policy and does no I/O.
/// `EntryScheduler` runs in each entry and `CreditGrantor` on the control leader; the messages
/// between them are plain structs.

#include "acaciafork/decisions/routing/CreditGrantor.h"
#include "acaciafork/decisions/routing/EntryCommands.h"
#include "acaciafork/decisions/routing/EntryScheduler.h"
#include "acaciafork/decisions/routing/GrantorCommands.h"
#include "acaciafork/decisions/routing/Messages.h"
#include "acaciafork/decisions/routing/RequestInfo.h"
#include "acaciafork/decisions/routing/RetryPolicy.h"
#include "acaciafork/decisions/routing/RoutingSettings.h"
