#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "acaciafork/core/Ids.h"

namespace acaciafork::consensus {

/// Position in the replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;
/// Election number; a term has at most one leader.
using Term = std::uint64_t;

/// Type of an entry.
enum class EntryKind : std::uint8_t {
    Command, ///< bytes for the state machine
    NoOperation, ///< appended by a new leader
    Membership, ///< encodeMembership() bytes
};

/// One entry of the replicated log. The log and the messages that carry the entry share its
/// payload.
struct Entry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Command;
    std::shared_ptr<const std::string> payload;

    /// Size of the payload in bytes.
    [[nodiscard]] std::size_t size() const { return payload ? payload->size() : 0; }
};

/// State that a member must have synced to disk before it sends messages in a term.
struct HardState
{
    Term term = 0;
    /// Candidate that this member voted for in the term; 0 when it has not voted.
    ProcessId vote;

    bool operator==(const HardState &) const = default;
};

} // namespace acaciafork::consensus
