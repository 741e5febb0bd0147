#pragma once

#include "acaciafork/decisions/routing/Routing.h"

namespace acaciafork::peers {

/// Settings of the credit protocol, the same in every process of a cluster: part of the protocol,
/// not of the settings files. The lease outlasts a change of leader; a new leader waits for it
/// before it grants what a silent entry may still hold.
inline routing::CreditSettings creditTiming()
{
    return { .lease = std::chrono::milliseconds(2500),
             .heartbeatInterval = std::chrono::milliseconds(500) };
}

} // namespace acaciafork::peers
