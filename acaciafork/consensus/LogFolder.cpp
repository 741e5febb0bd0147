#include "acaciafork/consensus/LogFolder.h"

#include <algorithm>
#include <cstdio>

#include "acaciafork/consensus/MessageCodec.h"
#include "acaciafork/consensus/RecordCodec.h"
#include "wire/consensus.pb.h"

// Writes the log. LogRecovery.cpp reads a folder at startup; SnapshotFiles.cpp stores snapshots.

namespace acaciafork::consensus {

LogFolder::LogFolder(StorageFolder *files, const LogFolderSettings &settings)
    : m_files(files)
    , m_settings(settings)
{ }

std::string LogFolder::segmentName(std::uint64_t sequence)
{
    std::string name(32, '\0');
    const int n = std::snprintf(name.data(), name.size(), "log-%016llx",
                                static_cast<unsigned long long>(sequence));
    name.resize(static_cast<std::size_t>(n));
    return name;
}

std::uint64_t LogFolder::logBytes() const
{
    std::uint64_t bytes = 0;
    for (const Segment &it : m_segments)
        bytes += it.bytes;
    return bytes;
}

Result<LogFolder::Group> LogFolder::beginWrite(const std::optional<HardState> &hardState,
                                               std::span<const Entry> entries)
{
    if (m_broken)
        return fail(FailureKind::Storage,
                    "data folder is disabled after an earlier disk failure; restart the process");
    if (!removeLeftovers())
        return failLeftovers();
    if (!m_activeFile
        || m_segments.back().bytes >= static_cast<std::uint64_t>(m_settings.segmentBytes))
        BOOST_LEAF_CHECK(startSegment());

    const Segment &segment = m_segments.back();
    std::string group;
    if (hardState) {
        wire::consensus::HardState record;
        record.set_term(hardState->term);
        record.set_vote(hardState->vote.value);
        appendRecord(RecordKind::HardState, segment.bytes, segment.sequence,
                     record.SerializeAsString(), &group);
    }
    for (const Entry &it : entries) {
        wire::consensus::Entry record;
        toWire(it, &record);
        appendRecord(RecordKind::Entry, segment.bytes, segment.sequence, record.SerializeAsString(),
                     &group);
    }
    m_pending = { .bytes = group.size(), .hardState = hardState };
    if (!entries.empty()) {
        m_pending.lastIndex = entries.back().index;
        m_pending.lastTerm = entries.back().term;
    }
    return Group { .file = m_activeFile, .bytes = std::move(group) };
}

Result<void> LogFolder::endWrite(GroupOutcome outcome)
{
    Segment &segment = m_segments.back();
    switch (outcome) {
    case GroupOutcome::Synced:
        segment.bytes += m_pending.bytes;
        if (m_pending.hardState)
            m_hardState = *m_pending.hardState;
        if (m_pending.lastIndex != 0) {
            m_lastIndex = m_pending.lastIndex;
            m_lastTerm = m_pending.lastTerm;
            segment.maxIndex = std::max(segment.maxIndex, m_lastIndex);
        }
        return {};
    case GroupOutcome::SyncFailed:
        // The process has to be restarted to recover the folder from what is on disk.
        m_broken = true;
        return fail(FailureKind::Storage,
                    "sync of log segment " + segmentName(segment.sequence)
                            + " failed; the data folder accepts no more writes");
    case GroupOutcome::DiskFull:
    case GroupOutcome::AppendFailed:
        break;
    }
    // Remove what a write stored before the disk was full, so that the write can be retried.
    m_hasTornTail = true;
    removeLeftovers();
    m_broken = m_broken || outcome != GroupOutcome::DiskFull;
    if (m_broken)
        return fail(FailureKind::Storage,
                    "write to log segment " + segmentName(segment.sequence)
                            + " failed; the data folder accepts no more writes");
    return fail(FailureKind::Full,
                "no space left on the disk to write to log segment "
                        + segmentName(segment.sequence));
}

Result<void> LogFolder::write(const std::optional<HardState> &hardState,
                              std::span<const Entry> entries)
{
    BOOST_LEAF_AUTO(group, beginWrite(hardState, entries));
    return endWrite(writeGroup(group.file.get(), group.bytes));
}

bool LogFolder::removeLeftovers()
{
    const auto removeAll = [&]() -> Result<bool> {
        if (m_hasTornSegment)
            BOOST_LEAF_CHECK(m_files->remove(segmentName(nextSequence())));
        m_hasTornSegment = false;
        if (m_hasTornTail)
            BOOST_LEAF_CHECK(m_activeFile->truncate(m_segments.back().bytes));
        m_hasTornTail = false;
        return true;
    };
    return leaf::try_handle_all(
            removeAll,
            [&](const Failure &failure) {
                m_broken = failure.kind != FailureKind::Full;
                return false;
            },
            [&] {
                m_broken = true;
                return false;
            });
}

leaf::error_id LogFolder::failLeftovers() const
{
    return fail(m_broken ? FailureKind::Storage : FailureKind::Full,
                "what a failed write left in the log can't be removed");
}

std::uint64_t LogFolder::nextSequence() const
{
    return m_segments.empty() ? 1 : m_segments.back().sequence + 1;
}

Result<void> LogFolder::startSegment()
{
    if (!removeLeftovers())
        return failLeftovers();
    const Segment segment { .sequence = nextSequence(), .bytes = 0, .maxIndex = 0 };
    wire::consensus::SegmentHeader header;
    header.set_format(1);
    header.set_sequence(segment.sequence);
    header.set_base_index(m_lastIndex);
    header.set_base_term(m_lastTerm);
    header.set_reset(m_resetNext);
    wire::consensus::HardState state;
    state.set_term(m_hardState.term);
    state.set_vote(m_hardState.vote.value);

    // Every segment repeats the hard state so that older segments can be removed.
    std::string group;
    appendRecord(RecordKind::SegmentHeader, 0, segment.sequence, header.SerializeAsString(),
                 &group);
    appendRecord(RecordKind::HardState, 0, segment.sequence, state.SerializeAsString(), &group);

    const std::string name = segmentName(segment.sequence);
    std::unique_ptr<StorageFile> file;
    auto create = [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(file, m_files->openFile(name));
        BOOST_LEAF_CHECK(file->append(group));
        BOOST_LEAF_CHECK(file->sync());
        return m_files->sync();
    };
    auto created = create();
    if (!created) {
        // Remove the incomplete file so that a retry can create it again.
        file.reset();
        m_hasTornSegment = true;
        removeLeftovers();
        return created;
    }
    m_activeFile = std::move(file);
    m_segments.push_back(segment);
    m_segments.back().bytes = group.size();
    m_resetNext = false;
    return {};
}

Result<void> LogFolder::compactTo(LogIndex base)
{
    bool removed = false;
    while (m_segments.size() > 1 && m_segments.front().maxIndex <= base) {
        BOOST_LEAF_CHECK(m_files->remove(segmentName(m_segments.front().sequence)));
        m_segments.pop_front();
        removed = true;
    }
    if (removed)
        return m_files->sync();
    return {};
}

} // namespace acaciafork::consensus
