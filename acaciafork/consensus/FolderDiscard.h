#pragma once

#include "acaciafork/consensus/StorageFolder.h"

namespace acaciafork::consensus {

/// Empties the data folder of a displaced process, which then joins as a new member. A folder that
/// was emptied in part can't be opened, so that an emptying that was cut off is finished at the
/// next start.

/// Marks the folder as one to be emptied. Fails like StorageFolder, with Full while the disk has no
/// room for the new member's files either; the folder can still be used then.
Result<void> beginDiscard(StorageFolder *files);

/// Empties the folder if it is marked. Fails like StorageFolder.
Result<void> finishDiscard(StorageFolder *files);

/// True when the folder was emptied by its own process, which must not found a cluster. Fails like
/// StorageFolder.
Result<bool> wasDiscarded(StorageFolder *files);

} // namespace acaciafork::consensus
