#pragma once

#include <string>
#include <string_view>

#include "acaciafork/consensus/Message.h"

namespace acaciafork::wire::consensus {
class Entry;
class SnapshotMeta;
} // namespace acaciafork::wire::consensus

namespace acaciafork::consensus {

/// Schema that this version writes and the only one it reads.
inline constexpr std::uint32_t messageSchema = 1;

/// Bytes of a message.
std::string encodeMessage(const Message &message);

/// Parses a message from the network. Fails with FailureKind::Protocol.
Result<Message> decodeMessage(std::string_view bytes);

/// Copies an entry into its wire form.
void toWire(const Entry &entry, wire::consensus::Entry *to);

/// Copies an entry from its wire form. Fails with FailureKind::Corrupt for an unknown kind.
Result<Entry> fromWire(wire::consensus::Entry &&entry);

/// Copies a snapshot's description into its wire form.
void toWire(const SnapshotMeta &meta, wire::consensus::SnapshotMeta *to);

/// Copies a snapshot's description from its wire form.
SnapshotMeta fromWire(const wire::consensus::SnapshotMeta &meta);

} // namespace acaciafork::consensus
