#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "acaciafork/consensus/Node.h"
#include "acaciafork/consensus/RecordCodec.h"
#include "acaciafork/consensus/StorageFolder.h"

namespace acaciafork::consensus {

/// Sizes of the files of a data folder.
struct LogFolderSettings
{
    /// A segment of the log that reaches this size is followed by a new one.
    std::int64_t segmentBytes = 8LL * 1024 * 1024;
};

/// Whom a data folder belongs to; a folder of another cluster or member is refused.
struct FolderOwner
{
    std::string cluster;
    ProcessId member;
    /// Identity of the folder, used when it is empty and has to be formatted.
    FolderId newFolder;
};

/// Log, hard state and snapshot of one member in its data folder.
///
/// The log is a row of segments of checksummed records. A write is one group of records, followed
/// by one sync; an entry supersedes every entry stored before it from its index on. The folder
/// layout is described in docs/design/agreement.md.
class LogFolder
{
public:
    /// Locks the folder, formats it when it is empty, and recovers what it holds.
    /// Fails with Conflict when it is in use or another's, with Corrupt (and CorruptFile) when
    /// something that had been synced is broken, with Storage or Full.
    static Result<std::unique_ptr<LogFolder>> open(StorageFolder *files, const FolderOwner &owner,
                                                   const LogFolderSettings &settings = {});

    /// Member that a folder was formatted for; none when it is empty.
    /// Fails with Corrupt when its format record is broken, with Storage.
    static Result<std::optional<ProcessId>> readMember(StorageFolder *files);

    /// What was found, to be handed to the node; only once.
    RecoveredState takeRecovered() { return std::move(m_recovered); }

    /// Writes one group and syncs it. After Full nothing of it is stored and it may be tried again;
    /// after any other failure the folder accepts no more writes.
    Result<void> write(const std::optional<HardState> &hardState, std::span<const Entry> entries);

    /// Stores a snapshot of the state machine; `meta` gets its size and checksum.
    Result<void> storeSnapshot(SnapshotMeta *meta, std::string_view bytes);
    /// Drops segments whose entries all lie at or before `base`.
    Result<void> compactTo(LogIndex base);
    /// Description of the stored snapshot; index 0 when there is none.
    [[nodiscard]] const SnapshotMeta &snapshot() const { return m_snapshot; }
    /// Bytes of the stored snapshot's state machine from `offset` on, at most `length`.
    Result<std::string> readSnapshot(std::uint64_t offset, std::uint64_t length);
    /// All bytes of the stored snapshot's state machine, checked.
    Result<std::string> loadSnapshot();

    /// Adds a fetched piece to the partial snapshot; the piece at offset 0 starts it anew.
    Result<void> writeChunk(const SnapshotChunk &chunk);
    /// Makes the complete partial snapshot the stored one.
    /// @param[in] resetLog the log restarts behind the snapshot
    /// Fails with Corrupt when its bytes don't match its checksum; the pieces are then dropped.
    Result<void> finishPartial(bool resetLog);

    /// True after a failure that leaves the state of the disk unknown.
    [[nodiscard]] bool broken() const { return m_broken; }
    /// Bytes in the log's segments.
    [[nodiscard]] std::uint64_t logBytes() const;

private:
    /// One file of the log.
    struct Segment
    {
        std::uint64_t sequence = 0;
        std::uint64_t bytes = 0;
        /// Highest index of an entry in it; 0 when it has none.
        LogIndex maxIndex = 0;
    };
    /// Entries found while the segments are read.
    struct Replay
    {
        std::vector<Entry> entries;
        LogIndex baseIndex = 0;
        Term baseTerm = 0;
        bool started = false;
    };

    LogFolder(StorageFolder *files, const LogFolderSettings &settings);

    Result<void> readFormat(const std::vector<std::string> &names, const FolderOwner &owner);
    Result<void> recoverSnapshot(const std::vector<std::string> &names);
    Result<void> recoverPartial(const std::vector<std::string> &names);
    Result<void> recoverLog(const std::vector<std::string> &names);
    Result<void> recoverSegment(std::uint64_t sequence, bool last, Replay *replay);
    Result<void> replayRecord(const Record &record, const std::string &file, std::uint64_t offset,
                              Segment *segment, Replay *replay);
    Result<void> reconcileWithSnapshot(Replay *replay);
    Result<void> startSegment();
    Result<void> writeGroup(std::string_view group);
    Result<void> replaceFile(const std::string &name, std::string_view head,
                             std::string_view bytes);
    Result<void> adoptSnapshot(const SnapshotMeta &meta, std::uint64_t head);
    [[nodiscard]] static std::string segmentName(std::uint64_t sequence);
    [[nodiscard]] static std::string snapshotName(const SnapshotMeta &meta);

    StorageFolder *m_files;
    LogFolderSettings m_settings;
    FolderId m_folder;
    RecoveredState m_recovered;

    std::deque<Segment> m_segments;
    std::unique_ptr<StorageFile> m_activeFile;
    HardState m_hardState;
    /// Last entry written, and its term.
    LogIndex m_lastIndex = 0;
    Term m_lastTerm = 0;
    /// The next segment supersedes all before it.
    bool m_resetNext = false;
    bool m_broken = false;

    SnapshotMeta m_snapshot;
    std::uint64_t m_snapshotHeadBytes = 0;
    SnapshotMeta m_partialMeta;
    std::uint64_t m_partialHeadBytes = 0;
    std::uint64_t m_partialBytes = 0;
    std::unique_ptr<StorageFile> m_partialFile;
};

} // namespace acaciafork::consensus
