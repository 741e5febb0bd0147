#pragma once

/// Public header of the control library: the control daemon's parts.

#include "acaciafork/control/ControlNode.h"
#include "acaciafork/control/ControlProcess.h"
#include "acaciafork/control/ControlSettings.h"
#include "acaciafork/control/OrderCodec.h"
#include "acaciafork/control/OrderRelay.h"
#include "acaciafork/control/OrderRouter.h"
