#include "acaciafork/consensus/RecordCodec.h"

#include <array>
#include <cstring>

#include <xxhash.h>

#include "acaciafork/core/Assert.h"

namespace acaciafork::consensus {

namespace {

constexpr std::size_t lengthOffset = 0;
constexpr std::size_t kindOffset = 4;
constexpr std::size_t groupOffset = 8;
constexpr std::size_t checksumOffset = 16;

/// Stores an integer in little-endian byte order.
template <typename T>
void storeLittleEndian(T number, char *to)
{
    for (std::size_t it = 0; it < sizeof(T); ++it)
        to[it] = static_cast<char>(number >> (8 * it));
}

/// Loads an integer stored in little-endian byte order.
template <typename T>
T loadLittleEndian(const char *from)
{
    T number = 0;
    for (std::size_t it = 0; it < sizeof(T); ++it)
        number |= static_cast<T>(static_cast<unsigned char>(from[it])) << (8 * it);
    return number;
}

/// Computes the checksum over the header fields before the checksum and over the body.
std::uint64_t checksumOf(const char *header, std::string_view body, std::uint64_t seed)
{
    const std::uint64_t start = XXH3_64bits_withSeed(header, checksumOffset, seed);
    return XXH3_64bits_withSeed(body.data(), body.size(), start);
}

} // namespace

leaf::error_id failCorrupt(const std::string &file, std::uint64_t offset, std::string_view what)
{
    return leaf::new_error(Failure { .kind = FailureKind::Corrupt,
                                     .detail = "file " + file + " at offset "
                                             + std::to_string(offset) + ": " + std::string(what) },
                           CorruptFile { .file = file, .offset = offset });
}

void appendRecord(RecordKind kind, std::uint64_t groupStart, std::uint64_t seed,
                  std::string_view body, std::string *buf)
{
    ACACIAFORK_ASSERT(body.size() <= recordBodyLimit);
    std::array<char, recordHeaderBytes> header {};
    storeLittleEndian(static_cast<std::uint32_t>(body.size()), header.data() + lengthOffset);
    storeLittleEndian(static_cast<std::uint32_t>(kind), header.data() + kindOffset);
    storeLittleEndian(groupStart, header.data() + groupOffset);
    storeLittleEndian(checksumOf(header.data(), body, seed), header.data() + checksumOffset);
    buf->append(header.data(), header.size());
    buf->append(body);
}

bool readRecord(std::string_view bytes, std::uint64_t offset, std::uint64_t seed, Record *record)
{
    if (offset > bytes.size() || bytes.size() - offset < recordHeaderBytes)
        return false;
    const char *header = bytes.data() + offset;
    const auto length = loadLittleEndian<std::uint32_t>(header + lengthOffset);
    if (length > recordBodyLimit || bytes.size() - offset - recordHeaderBytes < length)
        return false;
    const auto kind = loadLittleEndian<std::uint32_t>(header + kindOffset);
    if (kind < static_cast<std::uint32_t>(RecordKind::SegmentHeader)
        || kind > static_cast<std::uint32_t>(RecordKind::Format))
        return false;
    const std::string_view body = bytes.substr(offset + recordHeaderBytes, length);
    if (loadLittleEndian<std::uint64_t>(header + checksumOffset) != checksumOf(header, body, seed))
        return false;
    record->kind = static_cast<RecordKind>(kind);
    record->groupStart = loadLittleEndian<std::uint64_t>(header + groupOffset);
    record->body = body;
    record->end = offset + recordHeaderBytes + length;
    return true;
}

bool wasSyncedAt(std::string_view bytes, std::uint64_t offset, std::uint64_t seed)
{
    // A group is written only after all data before it has been synced.
    Record record;
    for (std::uint64_t it = offset + 1; it + recordHeaderBytes <= bytes.size(); ++it) {
        if (readRecord(bytes, it, seed, &record) && record.groupStart > offset)
            return true;
    }
    return false;
}

} // namespace acaciafork::consensus
