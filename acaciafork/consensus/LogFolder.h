#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "acaciafork/consensus/GroupWriter.h"
#include "acaciafork/consensus/Node.h"
#include "acaciafork/consensus/RecordCodec.h"
#include "acaciafork/consensus/StorageFolder.h"

namespace acaciafork::consensus {

/// Settings of the files in a data folder.
struct LogFolderSettings
{
    /// Size at which the current log segment is closed and a new one is started.
    std::int64_t segmentBytes = 8LL * 1024 * 1024;
};

/// Cluster and member that a data folder belongs to; opening a folder of another owner fails.
struct FolderOwner
{
    std::string cluster;
    ProcessId member;
    /// Identity to give the folder if it is empty and has to be formatted.
    FolderId newFolder;
};

/// Stores the log, hard state and snapshot of one member in its data folder.
///
/// The log is a sequence of segment files that contain checksummed records. Each write appends one
/// group of records, followed by one sync. A new entry replaces all earlier entries with the same
/// or a higher index. The folder layout is described in docs/design/agreement.md.
class LogFolder
{
public:
    /// Locks the folder, formats it if it is empty, and recovers its contents.
    /// Fails with Conflict if the folder is in use or has another owner, with Corrupt (and
    /// CorruptFile) if synced data is damaged, and with Storage or Full on a disk failure.
    static Result<std::unique_ptr<LogFolder>> open(StorageFolder *files, const FolderOwner &owner,
                                                   const LogFolderSettings &settings = {});

    /// Returns the member that the folder was formatted for, or nullopt if it is not formatted.
    /// Fails with Corrupt if the format record is damaged, and with Storage on a disk failure.
    static Result<std::optional<ProcessId>> readMember(StorageFolder *files);

    /// Moves out the recovered state for the node. May be called only once.
    RecoveredState takeRecovered() { return std::move(m_recovered); }

    /// A group of records, ready to be written by a GroupWriter.
    struct Group
    {
        std::shared_ptr<StorageFile> file;
        std::string bytes;
    };
    /// Prepares the records to be written as one group. Until endWrite() the folder takes no other
    /// call that writes. Fails like endWrite(); then there is nothing to end.
    Result<Group> beginWrite(const std::optional<HardState> &hardState,
                             std::span<const Entry> entries);
    /// Ends the write of the group. If this fails with Full, nothing is stored and the write can be
    /// retried; after any other failure of the append or the sync the folder accepts no more
    /// writes.
    Result<void> endWrite(GroupOutcome outcome);
    /// Both with the write between them.
    Result<void> write(const std::optional<HardState> &hardState, std::span<const Entry> entries);

    /// Stores a snapshot of the state machine and sets the size and checksum in `meta`.
    Result<void> storeSnapshot(SnapshotMeta *meta, std::string_view bytes);
    /// Removes the oldest segments whose entries all have an index of at most `base`.
    Result<void> compactTo(LogIndex base);
    /// Metadata of the stored snapshot; the index is 0 if there is none.
    [[nodiscard]] const SnapshotMeta &snapshot() const { return m_snapshot; }
    /// Reads at most `length` bytes of the snapshot's state machine data, starting at `offset`.
    Result<std::string> readSnapshot(std::uint64_t offset, std::uint64_t length);
    /// Reads all state machine data of the stored snapshot and verifies its size and checksum.
    Result<std::string> loadSnapshot();

    /// Appends a fetched chunk to the partial snapshot; a chunk at offset 0 starts a new one.
    Result<void> writeChunk(const SnapshotChunk &chunk);
    /// Makes the completely fetched partial snapshot the stored snapshot.
    /// @param[in] resetLog discard the log and restart it after the snapshot's index
    /// Fails with Corrupt if the data does not match its size or checksum; the partial snapshot is
    /// then deleted.
    Result<void> finishPartial(bool resetLog);

    /// True after a failure that leaves the contents of the disk unknown; writes then fail.
    [[nodiscard]] bool broken() const { return m_broken; }
    /// Total size of all log segments in bytes.
    [[nodiscard]] std::uint64_t logBytes() const;

private:
    /// One log file.
    struct Segment
    {
        std::uint64_t sequence = 0;
        std::uint64_t bytes = 0;
        /// Highest entry index in the segment; 0 if it has no entries.
        LogIndex maxIndex = 0;
    };
    /// Log contents collected while the segments are read in order.
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
    [[nodiscard]] std::uint64_t nextSequence() const;
    /// Removes what a failed write left; returns false if the disk refuses it.
    bool removeLeftovers();
    [[nodiscard]] leaf::error_id failLeftovers() const;
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
    std::shared_ptr<StorageFile> m_activeFile;
    HardState m_hardState;
    /// What the write in progress stores.
    struct Pending
    {
        std::uint64_t bytes = 0;
        std::optional<HardState> hardState;
        /// Index and term of its last entry; 0 for none.
        LogIndex lastIndex = 0;
        Term lastTerm = 0;
    };
    Pending m_pending;
    /// Index and term of the last log entry; those of the log's base if it has no entries.
    LogIndex m_lastIndex = 0;
    Term m_lastTerm = 0;
    /// The next segment replaces the contents of all earlier ones.
    bool m_resetNext = false;
    bool m_broken = false;
    /// What a failed write left at the end of the last segment or in the next one. A full disk may
    /// refuse to remove it, then the next write does so first.
    bool m_hasTornTail = false;
    bool m_hasTornSegment = false;

    SnapshotMeta m_snapshot;
    std::uint64_t m_snapshotHeadBytes = 0;
    SnapshotMeta m_partialMeta;
    std::uint64_t m_partialHeadBytes = 0;
    std::uint64_t m_partialBytes = 0;
    std::unique_ptr<StorageFile> m_partialFile;
};

} // namespace acaciafork::consensus
