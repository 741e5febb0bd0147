#pragma once

/// Public header of the consensus library: the node (the algorithm without I/O), its storage, and
/// the replica that combines both.

#include "acaciafork/consensus/AgreementSettings.h"
#include "acaciafork/consensus/FolderDiscard.h"
#include "acaciafork/consensus/GroupWriterThread.h"
#include "acaciafork/consensus/LogFolder.h"
#include "acaciafork/consensus/Membership.h"
#include "acaciafork/consensus/Message.h"
#include "acaciafork/consensus/MessageCodec.h"
#include "acaciafork/consensus/Node.h"
#include "acaciafork/consensus/NodeSettings.h"
#include "acaciafork/consensus/PosixFolder.h"
#include "acaciafork/consensus/ReplacementPolicy.h"
#include "acaciafork/consensus/Replica.h"
#include "acaciafork/consensus/StorageFolder.h"
