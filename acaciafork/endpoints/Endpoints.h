#pragma once

/// Public header of the endpoints library: announcements from endpoints, attempts at them, streams.

#include "acaciafork/endpoints/Announcement.h"
#include "acaciafork/endpoints/Attempt.h"
#include "acaciafork/endpoints/EndpointClient.h"
#include "acaciafork/endpoints/StreamTunnel.h"
