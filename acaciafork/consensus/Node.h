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

/// Place of a proposal in the log. It is committed when an entry of that term is applied there, and
/// lost when an entry of another term is.
struct LogPosition
{
    LogIndex index = 0;
    Term term = 0;

    auto operator<=>(const LogPosition &) const = default;
};

/// Pieces of a snapshot that a member had fetched before it restarted.
struct PartialSnapshot
{
    SnapshotMeta meta;
    std::uint64_t received = 0;
};

/// What a member found in its data folder.
struct RecoveredState
{
    FolderId folder;
    HardState hardState;
    /// Description of the stored snapshot; index 0 when there is none.
    SnapshotMeta snapshot;
    /// Entry before the first one in `entries`.
    LogIndex baseIndex = 0;
    Term baseTerm = 0;
    std::vector<Entry> entries;
    std::optional<PartialSnapshot> partial;
};

/// Who a node is and whom it knows at first.
struct NodeIdentity
{
    ProcessId self;
    ZoneName zone;
    /// Members of a new group, the same list in the same order on each; also whom a spare greets.
    std::vector<Member> initialMembers;
};

/// One member of a quorum group, without I/O, clock or thread: calls feed it, takeOutput() says
/// what to do. See docs/design/agreement.md.
class Node
{
public:
    /// @param[in] seed of the election timeouts
    Node(NodeSettings settings, NodeIdentity identity, RecoveredState recovered, Timestamp now,
         std::uint64_t seed);

    /// Runs what has come due.
    void tick(Timestamp now);
    /// Takes in a message from another member.
    void receive(Timestamp now, Message message);
    /// Appends a command. Fails with NotReady on any member but the leader, with Overloaded when
    /// too much is uncommitted, with Full when the disk has no room.
    Result<LogPosition> propose(Timestamp now, std::string command);
    /// Asks for leave to read the applied state; the answer comes in NodeOutput::reads. Fails with
    /// NotReady on any member but a leader that has committed in its term.
    Result<ReadTicket> readBarrier(Timestamp now);
    /// True when the lease allows reading the applied state right now.
    [[nodiscard]] bool canReadNow(Timestamp now) const;

    /// Adds a spare that has said hello; it votes once caught up, and then `replaces` leaves.
    Result<LogPosition> addLearner(Timestamp now, ProcessId id, ProcessId replaces = {});
    /// Takes a member out of the group for good; the leader may remove itself.
    Result<LogPosition> removeMember(Timestamp now, ProcessId id);
    /// Hands the leadership to a voter.
    Result<void> transferLeadership(Timestamp now, ProcessId to);
    /// Names processes that may know the group; greeted while this one has no place in it.
    void addContacts(std::span<const ProcessId> contacts);

    /// What is to be done since the last call.
    NodeOutput takeOutput(Timestamp now);
    /// The writes of the last output are synced.
    void synced(Timestamp now);
    /// The writes of the last output failed and left nothing behind; they will be handed out again.
    void writeFailed(Timestamp now, bool full);
    /// A fetched snapshot is complete, synced and loaded.
    void snapshotInstalled(Timestamp now, const SnapshotMeta &meta);
    /// A fetched snapshot turned out broken; it is fetched from the start.
    void snapshotRejected(Timestamp now);
    /// The driver has stored a snapshot of the state applied so far.
    void snapshotStored(const SnapshotMeta &meta);

    /// True when the log holds everything that the snapshot covers, so that the log may stay.
    [[nodiscard]] bool covers(const SnapshotMeta &meta) const;
    /// Last entry that is applied and synced here: how far a snapshot may reach.
    [[nodiscard]] LogIndex appliedIndex() const { return m_applied; }
    [[nodiscard]] LogIndex durableIndex() const { return m_durable; }

    /// Description of a snapshot of the state applied so far; size and checksum are the driver's.
    [[nodiscard]] SnapshotMeta describeSnapshot() const;
    /// True while a member that answers needs a snapshot: the log must not be compacted further.
    [[nodiscard]] bool hasSnapshotReceiver(Timestamp now) const;
    /// Last entry that compaction keeps out of memory and disk.
    [[nodiscard]] LogIndex baseIndex() const { return m_log.baseIndex(); }
    /// Identity of the data folder.
    [[nodiscard]] FolderId folder() const { return m_folder; }
    [[nodiscard]] Role role() const { return m_role; }
    /// Leader of the current term, none while unknown.
    [[nodiscard]] ProcessId leader() const { return m_leader; }
    [[nodiscard]] Term term() const { return m_hardState.term; }
    [[nodiscard]] LogIndex commitIndex() const { return m_commit; }
    [[nodiscard]] LogIndex lastIndex() const { return m_log.lastIndex(); }
    [[nodiscard]] const EntryLog &log() const { return m_log; }
    /// Members by the latest entry of the log, committed or not.
    [[nodiscard]] const Membership &membership() const { return m_memberships.back().membership; }
    [[nodiscard]] NodeStatus status(Timestamp now) const;

private:
    /// Membership set by one entry.
    struct MembershipAt
    {
        LogIndex index = 0;
        Membership membership;
    };
    /// Snapshot being fetched.
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
    /// Read that waits for its barrier.
    struct PendingRead
    {
        ReadTicket ticket;
        Timestamp requestedAt;
    };

    void send(ProcessId to, Term term, Message::Body body);
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
    /// Term and vote changed since they were last synced: messages wait in m_messagesAwaitingSync.
    bool m_hardStateDirty = false;
    EntryLog m_log;
    std::vector<MembershipAt> m_memberships;
    LogIndex m_commit = 0;
    LogIndex m_applied = 0;
    /// Last entry handed out to be written, and last one synced.
    LogIndex m_lastSubmitted = 0;
    LogIndex m_durable = 0;
    LogIndex m_snapshotIndex = 0;
    bool m_diskFull = false;
    /// When the disk ran out of room, and when it is tried again.
    Timestamp m_diskFullSince = distantPast;
    Timestamp m_diskFullRetryAt = distantPast;

    Role m_role = Role::Follower;
    ProcessId m_leader;
    Timestamp m_heardLeaderAt;
    Timestamp m_electionDeadline;
    bool m_forced = false;
    std::set<ProcessId> m_votes;
    /// The group does not know this member's folder.
    bool m_folderRejected = false;
    /// Another process has shown a group: none may be formed here.
    bool m_groupExists = false;
    /// Members of the group that a process without a place in it greets.
    std::vector<ProcessId> m_contacts;

    /// As a follower: last entry known to equal the leader's, and what to answer.
    LogIndex m_matched = 0;
    bool m_replyPending = false;
    Timestamp m_leaderSentAt = distantPast;
    std::optional<Fetch> m_fetch;
    std::optional<PartialSnapshot> m_partial;

    /// As the leader.
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

    std::vector<Message> m_messagesAwaitingSync;
    NodeOutput m_output;
};

} // namespace acaciafork::consensus
