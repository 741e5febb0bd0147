#pragma once

/// Public header of the entry library: the entry daemon's parts.

#include "acaciafork/entry/EntryNode.h"
#include "acaciafork/entry/EntryProcess.h"
#include "acaciafork/entry/EntrySettings.h"
