#include <algorithm>

#include "acaciafork/consensus/LogFolder.h"
#include "acaciafork/consensus/MessageCodec.h"
#include "acaciafork/consensus/RecordCodec.h"
#include "wire/consensus.pb.h"

// Reads a data folder when a process starts.

namespace acaciafork::consensus {

namespace {

constexpr std::uint32_t formatVersion = 1;
constexpr const char *formatName = "format";
constexpr std::string_view segmentPrefix = "log-";

/// Parses the body of a record; returns false if it is malformed.
template <typename M>
bool parseBody(std::string_view body, M *message)
{
    return message->ParseFromArray(body.data(), static_cast<int>(body.size()));
}

/// Reads the record that names the owner of the folder.
Result<wire::consensus::Format> readFormatRecord(StorageFolder *files)
{
    BOOST_LEAF_AUTO(length, files->size(formatName));
    BOOST_LEAF_AUTO(bytes, files->read(formatName, 0, length));
    Record record;
    wire::consensus::Format format;
    if (!readRecord(bytes, 0, 0, &record) || record.kind != RecordKind::Format
        || !parseBody(record.body, &format))
        return failCorrupt(formatName, 0, "expected a valid format record");
    return format;
}

} // namespace

Result<std::unique_ptr<LogFolder>> LogFolder::open(StorageFolder *files, const FolderOwner &owner,
                                                   const LogFolderSettings &settings)
{
    BOOST_LEAF_CHECK(files->lock());
    std::unique_ptr<LogFolder> folder(new LogFolder(files, settings));
    BOOST_LEAF_AUTO(names, files->list());
    BOOST_LEAF_CHECK(folder->readFormat(names, owner));
    BOOST_LEAF_CHECK(folder->recoverSnapshot(names));
    BOOST_LEAF_CHECK(folder->recoverPartial(names));
    BOOST_LEAF_CHECK(folder->recoverLog(names));
    return folder;
}

Result<std::optional<ProcessId>> LogFolder::readMember(StorageFolder *files)
{
    BOOST_LEAF_AUTO(names, files->list());
    if (std::ranges::find(names, formatName) == names.end())
        return std::optional<ProcessId>();
    BOOST_LEAF_AUTO(format, readFormatRecord(files));
    return std::optional<ProcessId>(ProcessId { format.member() });
}

Result<void> LogFolder::readFormat(const std::vector<std::string> &names, const FolderOwner &owner)
{
    wire::consensus::Format format;
    if (std::ranges::find(names, formatName) == names.end()) {
        // A new folder. Log files without a format file mean that something else changed the
        // folder.
        const bool hasLog = std::ranges::any_of(
                names, [](const std::string &it) { return it.starts_with(segmentPrefix); });
        if (hasLog)
            return failCorrupt(formatName, 0, "format file is missing although the log exists");
        format.set_version(formatVersion);
        format.set_cluster(owner.cluster);
        format.set_member(owner.member.value);
        format.set_folder(owner.newFolder.value);
        std::string head;
        appendRecord(RecordKind::Format, 0, 0, format.SerializeAsString(), &head);
        BOOST_LEAF_CHECK(replaceFile(formatName, head, {}));
    } else {
        BOOST_LEAF_ASSIGN(format, readFormatRecord(m_files));
        if (format.version() != formatVersion)
            return fail(FailureKind::Conflict,
                        "data folder has unsupported format version "
                                + std::to_string(format.version()));
        if (format.cluster() != owner.cluster || format.member() != owner.member.value)
            return fail(FailureKind::Conflict,
                        "data folder belongs to another owner: member "
                                + std::to_string(format.member()) + " of cluster "
                                + format.cluster());
    }
    m_folder = FolderId { format.folder() };
    m_recovered.folder = m_folder;
    return {};
}

Result<void> LogFolder::recoverLog(const std::vector<std::string> &names)
{
    std::vector<std::uint64_t> sequences;
    for (const std::string &it : names) {
        if (!it.starts_with(segmentPrefix))
            continue;
        const std::uint64_t sequence =
                std::strtoull(it.c_str() + segmentPrefix.size(), nullptr, 16);
        if (segmentName(sequence) != it)
            return failCorrupt(it, 0, "expected a log segment name");
        sequences.push_back(sequence);
    }
    std::ranges::sort(sequences);

    if (sequences.empty() && m_snapshot.index != 0)
        return failCorrupt(segmentName(1), 0,
                           "log segments are missing although a snapshot exists");

    Replay replay;
    for (std::size_t it = 0; it < sequences.size(); ++it) {
        if (it > 0 && sequences[it] != sequences[it - 1] + 1)
            return failCorrupt(segmentName(sequences[it - 1] + 1), 0,
                               "log segment is missing although a later one exists");
        BOOST_LEAF_CHECK(recoverSegment(sequences[it], it + 1 == sequences.size(), &replay));
    }
    BOOST_LEAF_CHECK(reconcileWithSnapshot(&replay));

    m_recovered.hardState = m_hardState;
    m_recovered.snapshot = m_snapshot;
    m_recovered.baseIndex = replay.baseIndex;
    m_recovered.baseTerm = replay.baseTerm;
    m_lastIndex = replay.entries.empty() ? replay.baseIndex : replay.entries.back().index;
    m_lastTerm = replay.entries.empty() ? replay.baseTerm : replay.entries.back().term;
    if (m_lastTerm > m_hardState.term)
        return failCorrupt(m_segments.empty() ? segmentName(1)
                                              : segmentName(m_segments.back().sequence),
                           0, "term of the hard state is lower than that of the last log entry");
    m_recovered.entries = std::move(replay.entries);
    return {};
}

Result<void> LogFolder::recoverSegment(std::uint64_t sequence, bool last, Replay *replay)
{
    const std::string name = segmentName(sequence);
    BOOST_LEAF_AUTO(length, m_files->size(name));
    BOOST_LEAF_AUTO(bytes, m_files->read(name, 0, length));

    Segment segment { .sequence = sequence, .bytes = 0, .maxIndex = 0 };
    Record record;
    std::uint64_t offset = 0;
    while (offset < bytes.size() && readRecord(bytes, offset, sequence, &record)) {
        BOOST_LEAF_CHECK(replayRecord(record, name, offset, &segment, replay));
        offset = record.end;
    }
    segment.bytes = offset;

    // A killed process may have left data that was written but not synced. Recovered data is
    // treated as durable from here on, so sync it first.
    if (last && offset == bytes.size() && offset > 0) {
        BOOST_LEAF_AUTO(file, m_files->openFile(name));
        BOOST_LEAF_CHECK(file->sync());
        BOOST_LEAF_CHECK(m_files->sync());
    }
    if (offset < bytes.size() || offset == 0) {
        // Only the last write before a crash can be incomplete; it was never acknowledged.
        if (!last || wasSyncedAt(bytes, offset, sequence))
            return failCorrupt(name, offset,
                               "synced record is incomplete, malformed or fails its checksum");
        if (offset == 0)
            return m_files->remove(name);
        BOOST_LEAF_AUTO(file, m_files->openFile(name));
        BOOST_LEAF_CHECK(file->truncate(offset));
        BOOST_LEAF_CHECK(file->sync());
    }
    m_segments.push_back(segment);
    return {};
}

Result<void> LogFolder::replayRecord(const Record &record, const std::string &file,
                                     std::uint64_t offset, Segment *segment, Replay *replay)
{
    const LogIndex last =
            replay->entries.empty() ? replay->baseIndex : replay->entries.back().index;
    if (record.kind == RecordKind::SegmentHeader) {
        wire::consensus::SegmentHeader header;
        if (!parseBody(record.body, &header) || header.sequence() != segment->sequence)
            return failCorrupt(
                    file, offset,
                    "segment header is malformed or has another sequence number than its file");
        if (header.reset() || !replay->started) {
            replay->entries.clear();
            replay->baseIndex = header.base_index();
            replay->baseTerm = header.base_term();
            replay->started = true;
        } else if (header.base_index() != last) {
            return failCorrupt(file, offset,
                               "segment does not start at the last index of the segment before it");
        }
        return {};
    }
    if (record.kind == RecordKind::HardState) {
        wire::consensus::HardState state;
        if (!parseBody(record.body, &state) || state.term() < m_hardState.term)
            return failCorrupt(
                    file, offset,
                    "hard state is malformed or has a lower term than the one before it");
        m_hardState = { .term = state.term(), .vote = ProcessId { state.vote() } };
        return {};
    }

    wire::consensus::Entry body;
    if (record.kind != RecordKind::Entry || !replay->started || !parseBody(record.body, &body)
        || body.index() == 0 || body.index() > last + 1)
        return failCorrupt(
                file, offset,
                "expected a valid log entry whose index is at most one above the last one");
    BOOST_LEAF_AUTO(entry, fromWire(std::move(body)));
    segment->maxIndex = std::max(segment->maxIndex, entry.index);

    // An entry replaces all entries with the same or a higher index. An entry at or before the base
    // replaces one from a segment that has been removed. Its index must be committed, so the entry
    // becomes the base.
    auto &entries = replay->entries;
    while (!entries.empty() && entries.back().index >= entry.index)
        entries.pop_back();
    if (entries.empty() && entry.index <= replay->baseIndex) {
        replay->baseIndex = entry.index;
        replay->baseTerm = entry.term;
        return {};
    }
    if (entry.term < (entries.empty() ? replay->baseTerm : entries.back().term))
        return failCorrupt(file, offset, "log entry has a lower term than the entry before it");
    entries.push_back(std::move(entry));
    return {};
}

Result<void> LogFolder::reconcileWithSnapshot(Replay *replay)
{
    const auto &entries = replay->entries;
    const LogIndex last = entries.empty() ? replay->baseIndex : entries.back().index;
    if (replay->baseIndex > m_snapshot.index)
        return failCorrupt(segmentName(m_segments.front().sequence), 0,
                           "log entries before this segment are not covered by a snapshot");

    Term termAtSnapshot = replay->baseTerm;
    if (m_snapshot.index > replay->baseIndex && m_snapshot.index <= last)
        termAtSnapshot = entries[m_snapshot.index - replay->baseIndex - 1].term;
    const bool matchesSnapshot = last >= m_snapshot.index && termAtSnapshot == m_snapshot.term;
    if (matchesSnapshot || m_snapshot.index == 0)
        return {};

    // The process stopped after it had stored a fetched snapshot and before it restarted the log
    // after it. Restart the log now.
    *replay = {
        .entries = {}, .baseIndex = m_snapshot.index, .baseTerm = m_snapshot.term, .started = true
    };
    m_resetNext = true;
    return {};
}

} // namespace acaciafork::consensus
