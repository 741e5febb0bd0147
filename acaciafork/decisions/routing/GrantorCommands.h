#pragma once

#include <variant>
#include <vector>

#include "acaciafork/decisions/routing/EntryCommands.h"
#include "acaciafork/decisions/routing/Messages.h"

namespace acaciafork::routing {

/// Send the grant to its entry.
struct SendGrant
{
    CreditGrant grant;
};

/// One action that the control leader must carry out.
using GrantorCommand = std::variant<SendGrant, RecordEvent>;
/// Commands in the order in which they must be carried out.
using GrantorCommands = std::vector<GrantorCommand>;

} // namespace acaciafork::routing
