#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "acaciafork/core/Failure.h"
#include "wire/state.pb.h"

namespace acaciafork::state {

/// Version of the snapshot format that this program writes and reads.
inline constexpr std::uint32_t snapshotFormat = 1;

/// Builds a snapshot: length-delimited records, followed by a checksum over all of them. Records
/// are encoded one at a time, so that little memory is needed beyond the resulting bytes.
class SnapshotWriter
{
public:
    /// Appends the previous record, if it was filled, and returns an empty one to fill.
    wire::SnapshotRecord &record();

    /// Appends the last record and the checksum, and returns the bytes.
    std::string finish();

private:
    void flush();

    std::string m_bytes;
    wire::SnapshotRecord m_record;
};

/// Reads a snapshot record by record.
class SnapshotReader
{
public:
    /// Verifies the checksum and returns a reader. Fails with Failure of kind Corrupt.
    static Result<SnapshotReader> open(std::span<const std::byte> bytes);

    /// Reads the next record; returns false at the end.
    /// Fails with Failure of kind Corrupt when the bytes can't be decoded.
    /// @param[out] record the record read
    Result<bool> next(wire::SnapshotRecord *record);

private:
    explicit SnapshotReader(std::span<const std::byte> records)
        : m_remaining(records)
    { }

    std::span<const std::byte> m_remaining;
};

} // namespace acaciafork::state
