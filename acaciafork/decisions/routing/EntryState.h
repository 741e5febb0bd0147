#pragma once

#include "acaciafork/core/Random.h"
#include "acaciafork/decisions/routing/AttemptTable.h"
#include "acaciafork/decisions/routing/EndpointTable.h"
#include "acaciafork/decisions/routing/RequestTable.h"
#include "acaciafork/decisions/routing/ServiceTable.h"
#include "acaciafork/decisions/routing/TombstoneTable.h"

namespace acaciafork::routing {

/// Identity and settings of an entry.
struct EntryOptions
{
    ProcessId process;
    /// Increases with each start of the process.
    Incarnation incarnation;
    ZoneName zone;
    CreditSettings credit;
    /// Seed of the random generator that routing uses.
    std::uint64_t seed = 1;
};

/// The tables of one entry, shared by the classes that make its decisions.
struct EntryState
{
    /// @param[in] options identity and settings of the entry
    explicit EntryState(const EntryOptions &options);

    EntryState(const EntryState &) = delete;
    EntryState &operator=(const EntryState &) = delete;

    EntryOptions options;
    RandomGenerator generator;
    /// Declared before `services`, so that it is destroyed after them: their queues link its
    /// records.
    RequestTable requests;
    ServiceTable services;
    EndpointTable endpoints;
    AttemptTable attempts;
    TombstoneTable tombstones;
    bool draining = false;
};

} // namespace acaciafork::routing
