#pragma once

#include <string>
#include <string_view>

#include "acaciafork/consensus/Message.h"

namespace acaciafork::wire::consensus {
class Entry;
class SnapshotMeta;
} // namespace acaciafork::wire::consensus

namespace acaciafork::consensus {

/// Schema version that is written, and the only one that is accepted.
inline constexpr std::uint32_t messageSchema = 1;

/// Serializes a message.
std::string encodeMessage(const Message &message);

/// Parses a message from the network. Fails with FailureKind::Protocol when it is malformed.
Result<Message> decodeMessage(std::string_view bytes);

/// Converts an entry to its protobuf message.
void toWire(const Entry &entry, wire::consensus::Entry *to);

/// Converts an entry from its protobuf message. Fails with FailureKind::Corrupt for an
/// unknown kind or a malformed membership.
Result<Entry> fromWire(wire::consensus::Entry &&entry);

/// Converts a snapshot's description to its protobuf message.
void toWire(const SnapshotMeta &meta, wire::consensus::SnapshotMeta *to);

/// Converts a snapshot's description from its protobuf message.
SnapshotMeta fromWire(const wire::consensus::SnapshotMeta &meta);

} // namespace acaciafork::consensus
