#pragma once

/// Public header of the operators library: the JSON interface under /acaciafork/v1/ of operators
/// and teams, free of any transport.

#include "acaciafork/operators/ApiCall.h"
#include "acaciafork/operators/Bearer.h"
#include "acaciafork/operators/LiveJson.h"
#include "acaciafork/operators/LiveViews.h"
#include "acaciafork/operators/OperatorApi.h"
#include "acaciafork/operators/Replies.h"
#include "acaciafork/operators/Tokens.h"
