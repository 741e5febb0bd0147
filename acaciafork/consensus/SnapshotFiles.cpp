#include <xxhash.h>

#include <algorithm>
#include <cstdio>

#include "acaciafork/consensus/LogFolder.h"
#include "acaciafork/consensus/MessageCodec.h"
#include "acaciafork/consensus/RecordCodec.h"
#include "wire/consensus.pb.h"

// Stores snapshots in a data folder. A snapshot file has one record with the metadata, followed by
// the state machine data.

namespace acaciafork::consensus {

namespace {

constexpr std::string_view snapshotPrefix = "snapshot-";
constexpr const char *partialName = "partial-snapshot";
constexpr const char *temporarySuffix = ".new";
/// Maximum number of bytes read to decode the metadata record at the start of a snapshot file.
constexpr std::uint64_t maxHeadBytes = 64ULL * 1024;

/// Encodes the metadata record at the start of a snapshot file.
std::string encodeSnapshotHead(const SnapshotMeta &meta)
{
    wire::consensus::SnapshotMeta message;
    toWire(meta, &message);
    std::string head;
    appendRecord(RecordKind::SnapshotMeta, 0, 0, message.SerializeAsString(), &head);
    return head;
}

/// Decodes the metadata record at the start of a snapshot file; returns false if it is invalid.
bool decodeSnapshotHead(std::string_view bytes, SnapshotMeta *meta, std::uint64_t *headBytes)
{
    Record record;
    wire::consensus::SnapshotMeta message;
    if (!readRecord(bytes, 0, 0, &record) || record.kind != RecordKind::SnapshotMeta
        || !message.ParseFromArray(record.body.data(), static_cast<int>(record.body.size())))
        return false;
    *meta = fromWire(message);
    *headBytes = record.end;
    return true;
}

} // namespace

std::string LogFolder::snapshotName(const SnapshotMeta &meta)
{
    std::string name(64, '\0');
    const int n = std::snprintf(name.data(), name.size(), "snapshot-%016llx-%016llx",
                                static_cast<unsigned long long>(meta.index),
                                static_cast<unsigned long long>(meta.term));
    name.resize(static_cast<std::size_t>(n));
    return name;
}

Result<void> LogFolder::recoverSnapshot(const std::vector<std::string> &names)
{
    for (const std::string &it : names) {
        if (it.ends_with(temporarySuffix))
            BOOST_LEAF_CHECK(m_files->remove(it));
    }

    // File names sort by index. Older snapshots remain only if the process stopped before it
    // removed them.
    std::string newest;
    for (const std::string &it : names) {
        if (!it.starts_with(snapshotPrefix) || it.ends_with(temporarySuffix))
            continue;
        if (!newest.empty())
            BOOST_LEAF_CHECK(m_files->remove(newest));
        newest = it;
    }
    if (newest.empty())
        return {};
    BOOST_LEAF_AUTO(head, m_files->read(newest, 0, maxHeadBytes));
    if (!decodeSnapshotHead(head, &m_snapshot, &m_snapshotHeadBytes)
        || snapshotName(m_snapshot) != newest)
        return failCorrupt(newest, 0,
                           "snapshot metadata is malformed or does not match the file name");
    BOOST_LEAF_CHECK(loadSnapshot());
    return {};
}

Result<void> LogFolder::recoverPartial(const std::vector<std::string> &names)
{
    if (std::ranges::find(names, partialName) == names.end())
        return {};
    BOOST_LEAF_AUTO(length, m_files->size(partialName));
    BOOST_LEAF_AUTO(head, m_files->read(partialName, 0, maxHeadBytes));
    const bool valid = decodeSnapshotHead(head, &m_partialMeta, &m_partialHeadBytes)
            && m_partialMeta.index > m_snapshot.index
            && length <= m_partialHeadBytes + m_partialMeta.size;
    if (!valid) {
        m_partialMeta = {};
        return m_files->remove(partialName);
    }
    m_partialBytes = length - m_partialHeadBytes;
    m_recovered.partial = PartialSnapshot { .meta = m_partialMeta, .received = m_partialBytes };
    return {};
}

Result<std::string> LogFolder::readSnapshot(std::uint64_t offset, std::uint64_t length)
{
    const std::uint64_t remaining = offset < m_snapshot.size ? m_snapshot.size - offset : 0;
    return m_files->read(snapshotName(m_snapshot), m_snapshotHeadBytes + offset,
                         std::min(length, remaining));
}

Result<std::string> LogFolder::loadSnapshot()
{
    if (m_snapshot.index == 0)
        return std::string();
    BOOST_LEAF_AUTO(bytes, readSnapshot(0, m_snapshot.size));
    if (bytes.size() != m_snapshot.size
        || XXH3_64bits(bytes.data(), bytes.size()) != m_snapshot.checksum)
        return failCorrupt(snapshotName(m_snapshot), m_snapshotHeadBytes,
                           "snapshot does not match its size or checksum");
    return bytes;
}

Result<void> LogFolder::replaceFile(const std::string &name, std::string_view head,
                                    std::string_view bytes)
{
    const std::string temporary = name + temporarySuffix;
    auto write = [&]() -> Result<void> {
        BOOST_LEAF_CHECK(m_files->remove(temporary));
        BOOST_LEAF_AUTO(file, m_files->openFile(temporary));
        BOOST_LEAF_CHECK(file->append(head));
        BOOST_LEAF_CHECK(file->append(bytes));
        BOOST_LEAF_CHECK(file->sync());
        BOOST_LEAF_CHECK(m_files->rename(temporary, name));
        return m_files->sync();
    };
    auto written = write();
    // Remove the temporary file of a failed attempt to free its disk space.
    if (!written)
        (void)m_files->remove(temporary);
    return written;
}

Result<void> LogFolder::adoptSnapshot(const SnapshotMeta &meta, std::uint64_t head)
{
    const SnapshotMeta old = std::exchange(m_snapshot, meta);
    m_snapshotHeadBytes = head;
    if (old.index != 0 && snapshotName(old) != snapshotName(meta))
        return m_files->remove(snapshotName(old));
    return {};
}

Result<void> LogFolder::storeSnapshot(SnapshotMeta *meta, std::string_view bytes)
{
    if (m_broken)
        return fail(FailureKind::Storage,
                    "data folder is disabled after an earlier disk failure; restart the process");
    meta->size = bytes.size();
    meta->checksum = XXH3_64bits(bytes.data(), bytes.size());
    const std::string head = encodeSnapshotHead(*meta);
    BOOST_LEAF_CHECK(replaceFile(snapshotName(*meta), head, bytes));
    return adoptSnapshot(*meta, head.size());
}

Result<void> LogFolder::writeChunk(const SnapshotChunk &chunk)
{
    if (m_broken)
        return fail(FailureKind::Storage,
                    "data folder is disabled after an earlier disk failure; restart the process");
    if (chunk.offset == 0) {
        const std::string head = encodeSnapshotHead(chunk.meta);
        m_partialFile.reset();
        BOOST_LEAF_CHECK(m_files->remove(partialName));
        BOOST_LEAF_ASSIGN(m_partialFile, m_files->openFile(partialName));
        BOOST_LEAF_CHECK(m_partialFile->append(head));
        m_partialMeta = chunk.meta;
        m_partialHeadBytes = head.size();
        m_partialBytes = 0;
    } else if (!m_partialFile) {
        BOOST_LEAF_ASSIGN(m_partialFile, m_files->openFile(partialName));
    }
    if (chunk.offset != m_partialBytes || chunk.meta.checksum != m_partialMeta.checksum)
        return fail(FailureKind::Protocol, "snapshot chunk is out of order or of another snapshot");
    BOOST_LEAF_CHECK(m_partialFile->append(chunk.data));
    m_partialBytes += chunk.data.size();
    return {};
}

Result<void> LogFolder::finishPartial(bool resetLog)
{
    const SnapshotMeta meta = m_partialMeta;
    BOOST_LEAF_CHECK(m_partialFile->sync());
    m_partialFile.reset();
    BOOST_LEAF_AUTO(bytes, m_files->read(partialName, m_partialHeadBytes, meta.size));
    if (bytes.size() != meta.size || XXH3_64bits(bytes.data(), bytes.size()) != meta.checksum) {
        BOOST_LEAF_CHECK(m_files->remove(partialName));
        return failCorrupt(partialName, m_partialHeadBytes,
                           "snapshot does not match its size or checksum");
    }
    BOOST_LEAF_CHECK(m_files->rename(partialName, snapshotName(meta)));
    BOOST_LEAF_CHECK(m_files->sync());
    BOOST_LEAF_CHECK(adoptSnapshot(meta, m_partialHeadBytes));
    if (!resetLog)
        return {};

    const LogIndex lastIndex = std::exchange(m_lastIndex, meta.index);
    const Term lastTerm = std::exchange(m_lastTerm, meta.term);
    const bool resetNext = std::exchange(m_resetNext, true);
    if (auto started = startSegment(); !started) {
        // The log goes on as it was: a later segment must not discard what is written until then.
        m_lastIndex = lastIndex;
        m_lastTerm = lastTerm;
        m_resetNext = resetNext;
        return started;
    }
    // The new segment replaces the contents of all earlier ones.
    while (m_segments.size() > 1) {
        BOOST_LEAF_CHECK(m_files->remove(segmentName(m_segments.front().sequence)));
        m_segments.pop_front();
    }
    return {};
}

} // namespace acaciafork::consensus
