#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "acaciafork/core/Failure.h"

namespace acaciafork::consensus {

/// Type of the data in a record on disk.
enum class RecordKind : std::uint32_t {
    SegmentHeader = 1,
    HardState = 2,
    Entry = 3,
    SnapshotMeta = 4,
    Format = 5,
};

/// Location of damaged data; attached to an error in addition to its Failure.
struct CorruptFile
{
    std::string file;
    std::uint64_t offset = 0;
};

/// Creates a LEAF error with a Failure of kind Corrupt and a CorruptFile.
leaf::error_id failCorrupt(const std::string &file, std::uint64_t offset, std::string_view what);

/// Size of the header before a record's body: length, kind, start of the group, checksum.
inline constexpr std::size_t recordHeaderBytes = 24;
/// Maximum size of a record's body.
inline constexpr std::uint32_t recordBodyLimit = 64 * 1024 * 1024;

/// One record read from a file.
struct Record
{
    RecordKind kind = RecordKind::Entry;
    /// Offset in the file of the group of records that was written and synced together with this
    /// one.
    std::uint64_t groupStart = 0;
    std::string_view body;
    /// Offset of the first byte after the record.
    std::uint64_t end = 0;
};

/// Appends a record to `buf`.
/// @param[in] seed seed of the checksum: the sequence number of a log segment, 0 for other files. A
///            record from another segment thus fails the check.
void appendRecord(RecordKind kind, std::uint64_t groupStart, std::uint64_t seed,
                  std::string_view body, std::string *buf);

/// Reads the record at `offset` in the contents of a file; returns false if there is no complete,
/// valid record.
bool readRecord(std::string_view bytes, std::uint64_t offset, std::uint64_t seed, Record *record);

/// Returns true if a valid record after `offset` belongs to a later group, which proves that the
/// data at `offset` had been synced. An invalid record at `offset` is then corruption and not an
/// incomplete last write.
bool wasSyncedAt(std::string_view bytes, std::uint64_t offset, std::uint64_t seed);

} // namespace acaciafork::consensus
