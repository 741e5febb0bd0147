#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "acaciafork/core/Failure.h"
#include "wire/state.pb.h"

namespace acaciafork::state {

/// Format number that this program writes and reads.
inline constexpr std::uint32_t snapshotFormat = 1;

/// Builds a snapshot: length-delimited records, then a checksum over all of them. Records are
/// encoded one at a time, so that memory stays at the size of the result.
class SnapshotWriter
{
public:
    /// Appends the record filled before, and hands out the empty next one.
    wire::SnapshotRecord &record();

    /// Appends the last record and the checksum, and gives the bytes.
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
    /// Checks the checksum. Fails with Failure of kind Corrupt.
    static Result<SnapshotReader> open(std::span<const std::byte> bytes);

    /// Reads the next record; false at the end.
    /// @param[out] record the record read
    /// Fails with Failure of kind Corrupt when the bytes are no record.
    Result<bool> next(wire::SnapshotRecord *record);

private:
    explicit SnapshotReader(std::span<const std::byte> records)
        : m_remaining(records)
    { }

    std::span<const std::byte> m_remaining;
};

} // namespace acaciafork::state
