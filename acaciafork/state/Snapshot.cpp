#include "acaciafork/state/Snapshot.h"

#include <array>

#include <xxhash.h>

namespace acaciafork::state {
namespace {

constexpr std::size_t checksumBytes = 8;
constexpr std::size_t lengthBytes = 4;
constexpr unsigned bitsPerByte = 8;

/// Appends a number, least significant byte first.
void appendNumber(std::uint64_t number, std::size_t bytes, std::string *text)
{
    for (std::size_t i = 0; i < bytes; ++i)
        text->push_back(static_cast<char>(number >> (bitsPerByte * i)));
}

/// Reads a number, least significant byte first.
std::uint64_t readNumber(std::span<const std::byte> bytes)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i)
        number |= std::to_integer<std::uint64_t>(bytes[i]) << (bitsPerByte * i);
    return number;
}

} // namespace

wire::SnapshotRecord &SnapshotWriter::record()
{
    flush();
    return m_record;
}

std::string SnapshotWriter::finish()
{
    flush();
    appendNumber(XXH3_64bits(m_bytes.data(), m_bytes.size()), checksumBytes, &m_bytes);
    return std::move(m_bytes);
}

void SnapshotWriter::flush()
{
    if (m_record.body_case() == wire::SnapshotRecord::BODY_NOT_SET)
        return;
    appendNumber(m_record.ByteSizeLong(), lengthBytes, &m_bytes);
    m_record.AppendToString(&m_bytes);
    m_record.Clear();
}

Result<SnapshotReader> SnapshotReader::open(std::span<const std::byte> bytes)
{
    if (bytes.size() < checksumBytes)
        return fail(FailureKind::Corrupt, "snapshot of " + std::to_string(bytes.size()) + " bytes");
    const auto records = bytes.first(bytes.size() - checksumBytes);
    if (XXH3_64bits(records.data(), records.size()) != readNumber(bytes.last(checksumBytes)))
        return fail(FailureKind::Corrupt, "checksum of the snapshot differs");
    return SnapshotReader(records);
}

Result<bool> SnapshotReader::next(wire::SnapshotRecord *record)
{
    if (m_remaining.empty())
        return false;
    if (m_remaining.size() < lengthBytes)
        return fail(FailureKind::Corrupt, "snapshot ends inside a record");
    const std::uint64_t n = readNumber(m_remaining.first(lengthBytes));
    m_remaining = m_remaining.subspan(lengthBytes);
    if (n > m_remaining.size())
        return fail(FailureKind::Corrupt, "snapshot ends inside a record");
    if (!record->ParseFromArray(m_remaining.data(), static_cast<int>(n)))
        return fail(FailureKind::Corrupt, "a record of the snapshot can't be decoded");
    m_remaining = m_remaining.subspan(n);
    return true;
}

} // namespace acaciafork::state
