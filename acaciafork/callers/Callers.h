#pragma once

/// Public header of the callers library: the HTTP interface towards callers.

#include "acaciafork/callers/CallerExchange.h"
#include "acaciafork/callers/CallerHandler.h"
#include "acaciafork/callers/CallerRequest.h"
#include "acaciafork/callers/CallerServer.h"
