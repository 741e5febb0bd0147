#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "acaciafork/core/Ids.h"

namespace acaciafork::consensus {

/// Position in the replicated log; the first entry has 1.
using LogIndex = std::uint64_t;
/// Number of an election.
using Term = std::uint64_t;

/// What an entry carries.
enum class EntryKind : std::uint8_t {
    Command, ///< bytes for the state machine
    NoOperation, ///< first entry of a leader
    Membership, ///< encodeMembership() bytes
};

/// One entry of the replicated log. Its payload is shared by the log and the messages made of it.
struct Entry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Command;
    std::shared_ptr<const std::string> payload;

    /// Size of the payload in bytes.
    [[nodiscard]] std::size_t size() const { return payload ? payload->size() : 0; }
};

/// What a member must have synced before it answers in a term.
struct HardState
{
    Term term = 0;
    /// Candidate that has this member's vote in the term; none when 0.
    ProcessId vote;

    bool operator==(const HardState &) const = default;
};

} // namespace acaciafork::consensus
