#pragma once

#include "acaciafork/core/Random.h"
#include "acaciafork/decisions/routing/AttemptTable.h"
#include "acaciafork/decisions/routing/EndpointTable.h"
#include "acaciafork/decisions/routing/RequestTable.h"
#include "acaciafork/decisions/routing/ServiceTable.h"
#include "acaciafork/decisions/routing/TombstoneTable.h"

namespace acaciafork::routing {

/// Who an entry is and what it works with.
struct EntryOptions
{
    ProcessId process;
    /// Grows with each start of the process.
    Incarnation incarnation;
    ZoneName zone;
    CreditSettings credit;
    /// Seed of the generator that routing draws from.
    std::uint64_t seed = 1;
};

/// The tables of one entry, shared by the classes that decide for it.
struct EntryState
{
    /// @param[in] options who the entry is
    explicit EntryState(const EntryOptions &options);

    EntryState(const EntryState &) = delete;
    EntryState &operator=(const EntryState &) = delete;

    EntryOptions options;
    RandomGenerator generator;
    /// Declared before the services, whose queues link its records.
    RequestTable requests;
    ServiceTable services;
    EndpointTable endpoints;
    AttemptTable attempts;
    TombstoneTable tombstones;
    bool draining = false;
};

} // namespace acaciafork::routing
