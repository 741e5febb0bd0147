#include "acaciafork/decisions/routing/EntryState.h"

namespace acaciafork::routing {

EntryState::EntryState(const EntryOptions &entryOptions)
    : options(entryOptions)
    , generator(entryOptions.seed)
    , endpoints(&services)
    , attempts(entryOptions.process, entryOptions.incarnation)
    , tombstones(entryOptions.credit.tombstoneTime)
{ }

} // namespace acaciafork::routing
