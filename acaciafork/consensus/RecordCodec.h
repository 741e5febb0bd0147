#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "acaciafork/core/Failure.h"

namespace acaciafork::consensus {

/// What a record on disk holds.
enum class RecordKind : std::uint32_t {
    SegmentHeader = 1,
    HardState = 2,
    Entry = 3,
    SnapshotMeta = 4,
    Format = 5,
};

/// Failure type beside Failure: where stored data is broken.
struct CorruptFile
{
    std::string file;
    std::uint64_t offset = 0;
};

/// New LEAF error with a Failure of kind Corrupt and a CorruptFile.
leaf::error_id failCorrupt(const std::string &file, std::uint64_t offset, std::string_view what);

/// Size of what stands before a record's body: length, kind, start of its group, checksum.
inline constexpr std::size_t recordHeaderBytes = 24;
/// Largest body of a record.
inline constexpr std::uint32_t recordBodyLimit = 64 * 1024 * 1024;

/// One record found in a file.
struct Record
{
    RecordKind kind = RecordKind::Entry;
    /// Offset at which the group of records that was written and synced with this one began.
    std::uint64_t groupStart = 0;
    std::string_view body;
    /// Offset behind the record.
    std::uint64_t end = 0;
};

/// Adds a record to `buf`.
/// @param[in] seed of the checksum, so that a record of another file does not pass
void appendRecord(RecordKind kind, std::uint64_t groupStart, std::uint64_t seed,
                  std::string_view body, std::string *buf);

/// Reads the record at `offset` of a file's bytes; false when there is no whole, valid one.
bool readRecord(std::string_view bytes, std::uint64_t offset, std::uint64_t seed, Record *record);

/// True when a record behind `offset` shows that what stands at `offset` had been synced: then a
/// broken record there is corruption, not the torn end of the last write.
bool wasSyncedAt(std::string_view bytes, std::uint64_t offset, std::uint64_t seed);

} // namespace acaciafork::consensus
