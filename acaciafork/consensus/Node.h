#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "acaciafork/consensus/EntryLog.h"
#include "acaciafork/consensus/Message.h"
#include "acaciafork/consensus/NodeOutput.h"
#include "acaciafork/consensus/NodeSettings.h"
#include "acaciafork/consensus/NodeStatus.h"
#include "acaciafork/consensus/Progress.h"
#include "acaciafork/core/Core.h"

namespace acaciafork::consensus {

/// Position of a proposal in the log. The proposal is committed when an entry of the same term is
/// applied at this index, and lost when an entry of another term is applied there.
struct LogPosition
{
    LogIndex index = 0;
    Term term = 0;

    auto operator<=>(const LogPosition &) const = default;
};

/// Part of a snapshot that a member had fetched before it restarted.
struct PartialSnapshot
{
    SnapshotMeta meta;
    std::uint64_t received = 0;
};

/// State that a member recovered from its data folder.
struct RecoveredState
{
    FolderId folder;
    HardState hardState;
    /// Stored snapshot; its index is 0 when there is none.
    SnapshotMeta snapshot;
    /// Index of the entry before the first one in `entries`.
    LogIndex baseIndex = 0;
    Term baseTerm = 0;
    std::vector<Entry> entries;
    std::optional<PartialSnapshot> partial;
};

/// Identity of a node and the members that it knows initially.
struct NodeIdentity
{
    ProcessId self;
    ZoneName zone;
    /// Members of a new group, in the same order on each of them. A spare sends its Hello to them.
    std::vector<Member> initialMembers;
};

/// Consensus algorithm of one member of a quorum group, without I/O, clock or threads. Calls pass
/// in time and messages; takeOutput() returns the work to be done. See docs/design/agreement.md.
class Node
{
public:
    /// @param[in] seed for the random election timeouts
    Node(NodeSettings settings, NodeIdentity identity, RecoveredState recovered, Timestamp now,
         std::uint64_t seed);

    /// Handles expired timers.
    void tick(Timestamp now);
    /// Handles a message from another member.
    void receive(Timestamp now, Message message);
    /// Appends a command. Fails with NotReady on any member but the leader, with Overloaded when
    /// too much is uncommitted, with Full when the disk is full.
    Result<LogPosition> propose(Timestamp now, std::string command);
    /// Starts a linearizable read of the applied state; the result comes in NodeOutput::reads.
    /// Fails with NotReady unless this member leads and has committed an entry in its term.
    Result<ReadTicket> readBarrier(Timestamp now);
    /// True when the lease allows the applied state to be read now.
    [[nodiscard]] bool canReadNow(Timestamp now) const;

    /// Adds a spare that has sent a Hello as a learner. It becomes a voter once it has caught up;
    /// then the member `replaces` is removed.
    Result<LogPosition> addLearner(Timestamp now, ProcessId id, ProcessId replaces = {});
    /// Removes a member permanently; the leader may remove itself.
    Result<LogPosition> removeMember(Timestamp now, ProcessId id);
    /// Starts to transfer the leadership to a voter.
    Result<void> transferLeadership(Timestamp now, ProcessId to);
    /// Adds processes that may know the group; they get a Hello while this one is not in it.
    void addContacts(std::span<const ProcessId> contacts);

    /// Takes the work that has accumulated since the last call. An output has writes only while
    /// none are in progress: those of an output are until synced() or writeFailed().
    /// @param[in] durableOnly entries that this member has not synced are not applied yet, so that
    /// a
    ///     snapshot can be taken
    NodeOutput takeOutput(Timestamp now, bool durableOnly = false);
    /// Reports that the writes in progress are synced.
    void synced(Timestamp now);
    /// Reports that the writes in progress failed and stored nothing; a later output repeats them.
    void writeFailed(Timestamp now, bool full);
    /// True when no change of the term or the vote is still to be synced.
    [[nodiscard]] bool isHardStateSynced() const { return !m_hardStateDirty; }
    /// Reports that a fetched snapshot is complete, synced and loaded.
    void snapshotInstalled(Timestamp now, const SnapshotMeta &meta);
    /// Reports that a fetched snapshot can't be used; it is fetched again from the start.
    void snapshotRejected(Timestamp now);
    /// Reports that the driver has stored a snapshot of the applied state.
    void snapshotStored(const SnapshotMeta &meta);

    /// True when the synced log matches the snapshot's last entry, so that the log can be kept.
    [[nodiscard]] bool covers(const SnapshotMeta &meta) const;
    /// Last applied entry. A snapshot may be taken only while it does not exceed durableIndex().
    [[nodiscard]] LogIndex appliedIndex() const { return m_applied; }
    /// Last entry synced to this member's disk.
    [[nodiscard]] LogIndex durableIndex() const { return m_durable; }

    /// Describes a snapshot of the applied state; the driver fills in size and checksum.
    [[nodiscard]] SnapshotMeta describeSnapshot() const;
    /// True while a responsive member needs a snapshot: the log must not be compacted further.
    [[nodiscard]] bool hasSnapshotReceiver(Timestamp now) const;
    /// Index of the last entry removed from the log by compaction.
    [[nodiscard]] LogIndex baseIndex() const { return m_log.baseIndex(); }
    /// Memory of the entries that this member keeps, and of those applied since the last snapshot.
    [[nodiscard]] std::uint64_t logBytes() const { return m_log.bytesUpTo(m_log.lastIndex()); }
    [[nodiscard]] std::uint64_t bytesSinceSnapshot() const;
    /// Identity of this member's data folder.
    [[nodiscard]] FolderId folder() const { return m_folder; }
    [[nodiscard]] Role role() const { return m_role; }
    /// Leader of the current term; 0 while unknown.
    [[nodiscard]] ProcessId leader() const { return m_leader; }
    [[nodiscard]] Term term() const { return m_hardState.term; }
    [[nodiscard]] LogIndex commitIndex() const { return m_commit; }
    [[nodiscard]] LogIndex lastIndex() const { return m_log.lastIndex(); }
    [[nodiscard]] const EntryLog &log() const { return m_log; }
    /// Membership of the latest log entry that sets one, committed or not.
    [[nodiscard]] const Membership &membership() const { return m_memberships.back().membership; }
    [[nodiscard]] NodeStatus status(Timestamp now) const;
    /// Place of this process in the group.
    [[nodiscard]] Standing standing() const;

private:
    /// Membership set by the entry at `index`.
    struct MembershipAt
    {
        LogIndex index = 0;
        Membership membership;
    };
    /// Snapshot that is being fetched.
    struct Fetch
    {
        ProcessId source;
        SnapshotMeta meta;
        std::uint64_t received = 0;
        Timestamp requestedAt;
    };
    /// Leadership transfer in progress.
    struct Transfer
    {
        ProcessId to;
        Timestamp deadline;
        Timestamp retryAt;
    };
    /// Read that waits until it is known to be linearizable.
    struct PendingRead
    {
        ReadTicket ticket;
        Timestamp requestedAt;
    };

    void send(ProcessId to, Term term, Message::Body body);
    void takeWrites();
    void resetElectionDeadline(Timestamp now);
    void adoptTerm(Term term);
    void becomeFollower(Timestamp now, Term term, ProcessId leader);
    void becomePreCandidate(Timestamp now);
    void becomeCandidate(Timestamp now, bool force);
    void becomeLeader(Timestamp now);
    void countVotes(Timestamp now);
    [[nodiscard]] bool hasActiveLeader(Timestamp now) const;
    [[nodiscard]] bool isUpToDate(const VoteRequest &request) const;
    [[nodiscard]] bool hasWrongFolder(const Message &message) const;
    bool acceptTerm(Timestamp now, const Message &message);

    void onVoteRequest(Timestamp now, const Message &message, const VoteRequest &request);
    void onVoteReply(Timestamp now, const Message &message, const VoteReply &reply);
    void onAppendRequest(Timestamp now, const Message &message, AppendRequest &request);
    void onAppendReply(Timestamp now, const Message &message, const AppendReply &reply);
    void onSnapshotOffer(Timestamp now, const Message &message, const SnapshotOffer &offer);
    void onSnapshotChunk(Timestamp now, const Message &message, SnapshotChunk &chunk);
    void onHello(Timestamp now, const Message &message, const Hello &hello);

    void followLeader(Timestamp now, const Message &message);
    LogIndex storeEntries(LogIndex prevIndex, std::vector<Entry> &entries);
    [[nodiscard]] LogIndex matchHint(LogIndex prevIndex) const;
    void sendAcknowledgement();
    void refuseAppend(Timestamp sentAt, ProcessId to, LogIndex prevIndex);
    void sendMembership(ProcessId to);
    void noteCommitted(const Membership &committed);
    [[nodiscard]] bool mayBeOutside(Timestamp now) const;
    void requestSnapshot(Timestamp now);

    LogPosition appendAsLeader(EntryKind kind, std::string payload);
    void replicate(Timestamp now);
    void replicateTo(Timestamp now, ProcessId id, Progress &progress, bool heartbeat);
    void offerSnapshot(Timestamp now, ProcessId id, Progress &progress);
    [[nodiscard]] ProcessId snapshotSource(ProcessId learner, const Progress &progress,
                                           Timestamp now) const;
    void sendAppend(Timestamp now, ProcessId id, Progress &progress, std::vector<Entry> entries);
    void advanceCommit(Timestamp now);
    void commitTo(LogIndex index);
    void tickLeader(Timestamp now);
    [[nodiscard]] Timestamp quorumAckedAt(Timestamp now) const;
    [[nodiscard]] bool leaseValid(Timestamp now) const;
    [[nodiscard]] bool committedInTerm() const;
    void resolveReads(Timestamp now);
    void failReads();

    [[nodiscard]] const Membership &membershipAt(LogIndex index) const;
    void pushMembership(const Entry &entry);
    void truncateFrom(LogIndex index);
    /// Drops the entries that the last snapshot covers, but for those kept for followers.
    void compactLog();
    Result<LogPosition> proposeMembership(Timestamp now, const Membership &changed);
    void updateTrackedMembers(Timestamp now);
    void advanceMembership(Timestamp now);
    void stepDownIfRemoved(Timestamp now);
    [[nodiscard]] ProcessId mostAdvancedVoter() const;
    void transferIfDiskFull(Timestamp now);
    void sendHellos(Timestamp now);
    void formGroup(Timestamp now);

    NodeSettings m_settings;
    NodeIdentity m_identity;
    FolderId m_folder;
    RandomGenerator m_random;

    HardState m_hardState;
    /// Term or vote changed since the last sync; messages wait in m_messagesAwaitingSync.
    bool m_hardStateDirty = false;
    /// The writes of an output are in progress, with this hard state among them if it is set.
    bool m_isWriting = false;
    std::optional<HardState> m_submittedState;
    EntryLog m_log;
    std::vector<MembershipAt> m_memberships;
    LogIndex m_commit = 0;
    LogIndex m_applied = 0;
    /// Last entry passed to the driver to be written, and last one synced.
    LogIndex m_lastSubmitted = 0;
    LogIndex m_durable = 0;
    LogIndex m_snapshotIndex = 0;
    bool m_diskFull = false;
    /// When the disk became full, and when a write is tried again.
    Timestamp m_diskFullSince = distantPast;
    Timestamp m_diskFullRetryAt = distantPast;

    Role m_role = Role::Follower;
    ProcessId m_leader;
    Timestamp m_heardLeaderAt;
    Timestamp m_electionDeadline;
    bool m_forced = false;
    std::set<ProcessId> m_votes;
    /// A committed membership has retired this member's id or gives it to another folder.
    bool m_displaced = false;
    /// Another process has reported an existing group, so this one must not form a new group.
    bool m_groupExists = false;
    /// Processes that get a Hello while this one is not in the group, and the members that the last
    /// answer named.
    std::vector<ProcessId> m_contacts;
    std::vector<ProcessId> m_answeredMembers;

    /// Follower state: last entry known to match the leader's log, and the pending reply.
    LogIndex m_matched = 0;
    bool m_replyPending = false;
    /// When the pending reply is sent even if entries are still to be synced: the leader's lease
    /// depends on replies, not on the disk.
    Timestamp m_replyBy = distantPast;
    Timestamp m_leaderSentAt = distantPast;
    std::optional<Fetch> m_fetch;
    std::optional<PartialSnapshot> m_partial;

    /// Leader state.
    std::map<ProcessId, Progress> m_progress;
    Timestamp m_leaderSince;
    Timestamp m_nextHeartbeat;
    LogIndex m_termStart = 0;
    std::size_t m_uncommittedBytes = 0;
    std::optional<Transfer> m_transfer;
    bool m_leaseRevoked = false;
    std::vector<PendingRead> m_reads;
    std::uint64_t m_lastTicket = 0;

    std::map<ProcessId, Spare> m_helloSenders;
    Timestamp m_nextHello;

    /// Messages that wait for the writes in progress, and for those of a later output.
    std::vector<Message> m_messagesOfWrite;
    std::vector<Message> m_messagesAwaitingSync;
    NodeOutput m_output;
};

} // namespace acaciafork::consensus
