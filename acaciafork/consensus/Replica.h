#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "acaciafork/consensus/LogFolder.h"
#include "acaciafork/consensus/Node.h"
#include "acaciafork/consensus/ReplacementPolicy.h"
#include "acaciafork/consensus/ReplicaCounters.h"

namespace acaciafork::consensus {

/// Callbacks from a replica to its process. They are called only from Replica::flush();
/// loadSnapshot() also from Replica::open().
class ReplicaHandler
{
public:
    virtual ~ReplicaHandler() = default;

    /// Sends bytes to a member. They may be lost, duplicated or reordered, but not altered.
    virtual void send(ProcessId to, std::string bytes) = 0;
    /// Applies a committed command, in the same order on every member. The leader can now answer
    /// the proposer of the command, for which Replica::propose() returned the same position.
    virtual void apply(const LogPosition &position, std::string_view command) = 0;
    /// Serializes the whole applied state.
    virtual std::string makeSnapshot() = 0;
    /// Replaces the whole applied state. Returns false when the bytes can't be parsed.
    virtual bool loadSnapshot(std::string_view bytes) = 0;
    /// Called when the role or the known leader has changed. Proposals that a leader made before it
    /// stepped down may or may not be committed later.
    virtual void roleChanged(Role role, ProcessId leader) = 0;
    /// Completes a read started by Replica::readBarrier(). `ready` is false when the state must not
    /// be read because the leadership was lost.
    virtual void readReady(ReadTicket ticket, bool ready) = 0;
};

/// Settings of a replica.
struct ReplicaSettings
{
    /// Name of the cluster; a data folder of another cluster is refused.
    std::string cluster;
    NodeIdentity identity;
    NodeSettings node;
    LogFolderSettings folder;
    ReplacementSettings replacement;
    /// Seed for election timeouts and a new folder's identity; must differ on each start.
    std::uint64_t seed = 0;
    /// Registry for the replica's counters; must outlive it. Null uses a registry of its own.
    CounterRegistry *counters = nullptr;
    /// Reads the steady clock, to measure writes; without one they are not measured.
    std::function<Timestamp()> clock;
    /// Writes the log; must outlive the replica. Null writes within flush().
    GroupWriter *writer = nullptr;
};

/// State of a replica, shown to operators.
struct ReplicaStatus
{
    NodeStatus node;
    Redundancy redundancy;
    /// The disk is full: no entries are accepted, but reads continue.
    bool full = false;
    /// A write failed in a way that needs a restart; the member sends nothing until then.
    bool broken = false;
    std::uint64_t logBytes = 0;
    std::uint64_t snapshotBytes = 0;
};

/// One member of the group. Connects a Node with its data folder and a handler, on one event loop.
///
/// In each loop iteration the process calls tick(), receive() for each message and propose() for
/// each command, then flush() once, which hands all that is to be written to the writer as one
/// group.
class Replica
{
public:
    /// Opens the data folder and recovers the state. Fails like LogFolder::open().
    /// @param[in] files data folder; must outlive the replica
    /// @param[in] handler receives the callbacks; must outlive the replica
    static Result<std::unique_ptr<Replica>> open(Timestamp now, ReplicaSettings settings,
                                                 StorageFolder *files, ReplicaHandler *handler);

    /// Handles expired timers; to be called every few milliseconds.
    void tick(Timestamp now);
    /// Handles bytes sent by another member's handler. Fails with Protocol when they are malformed.
    Result<void> receive(Timestamp now, std::string_view bytes);
    /// Proposes a command. See Node::propose().
    Result<LogPosition> propose(Timestamp now, std::string command);
    /// Starts a linearizable read (Node::readBarrier()), completed by ReplicaHandler::readReady().
    Result<ReadTicket> readBarrier(Timestamp now);
    /// True when the applied state may be read now without waiting.
    [[nodiscard]] bool canReadNow(Timestamp now) const { return m_node.canReadNow(now); }
    /// Sends, writes and applies everything that has accumulated since the last call. What depends
    /// on a write follows in the first call after the writer has its outcome.
    void flush(Timestamp now);

    [[nodiscard]] bool isLeader() const { return m_node.role() == Role::Leader; }
    /// Leader of the current term; 0 while unknown.
    [[nodiscard]] ProcessId leader() const { return m_node.leader(); }
    [[nodiscard]] ReplicaStatus status(Timestamp now) const;

    /// Adds a spare as a learner, which becomes a voter once it has caught up and synced.
    Result<LogPosition> addLearner(Timestamp now, ProcessId id);
    /// Adds a spare that replaces the member `old` once the spare is a voter.
    Result<LogPosition> replaceMember(Timestamp now, ProcessId old, ProcessId spare);
    /// Removes a member permanently.
    Result<LogPosition> removeMember(Timestamp now, ProcessId id);
    /// Starts to transfer the leadership to a voter.
    Result<void> transferLeadership(Timestamp now, ProcessId to);

    /// Records a message from a process outside the consensus protocol. See
    /// ReplacementPolicy::markAlive().
    void noteAlive(ProcessId process) { m_replacement.markAlive(process); }
    /// Adds processes that may know the group. See Node::addContacts().
    void addContacts(std::span<const ProcessId> contacts) { m_node.addContacts(contacts); }

    /// Groups of writes so far that were synced, and the time that all writes took.
    [[nodiscard]] std::int64_t syncs() const { return m_counters.groupCommits.value; }
    [[nodiscard]] Duration syncTime() const { return m_syncTime; }

    /// True while the writer has a group of writes of this replica.
    [[nodiscard]] bool isWriting() const { return m_isWriting; }

    /// The underlying node, for tests and benchmarks.
    [[nodiscard]] const Node &node() const { return m_node; }

private:
    Replica(ReplicaSettings settings, std::unique_ptr<LogFolder> folder, RecoveredState recovered,
            ReplicaHandler *handler, Timestamp now);

    void beginWrite(Timestamp now, const NodeOutput &output);
    void endWrite(Timestamp now);
    void writeEnded(Timestamp now, bool isStored, bool isFull);
    /// True once so many entries were applied since the last snapshot, or so many times the bytes
    /// after which the next one is stored.
    [[nodiscard]] bool hasOutgrownSnapshot(std::int64_t entries, std::uint64_t factor) const;
    [[nodiscard]] bool isSnapshotOverdue(Timestamp now) const;
    void sendMessage(const Message &message);
    void sendMessages(const std::vector<Message> &messages);
    void answerFetches(Timestamp now, const std::vector<Message> &fetches);
    void writeChunks(Timestamp now);
    void installSnapshot(Timestamp now, const SnapshotMeta &meta);
    void applyAll(const std::vector<Entry> &committed);
    void storeSnapshot(Timestamp now);
    void reportRole();
    void updateGauges();
    void replaceLostMember(Timestamp now);

    ReplicaSettings m_settings;
    CounterRegistry m_ownRegistry;
    ReplicaCounters m_counters;
    std::unique_ptr<LogFolder> m_folder;
    Node m_node;
    ReplicaHandler *m_handler;
    ReplacementPolicy m_replacement;
    Timestamp m_nextReplacementCheck = distantPast;
    InlineGroupWriter m_inlineWriter;
    GroupWriter *m_writer;
    /// The outcome of a write is awaited, which began then.
    bool m_isWriting = false;
    Timestamp m_writeBeganAt;
    std::size_t m_entriesInWrite = 0;
    /// Chunks that wait for a write: while one is in progress the folder takes no other.
    std::vector<SnapshotChunk> m_chunks;
    bool m_diskFull = false;
    Duration m_syncTime {};
    /// When a chunk of the stored snapshot was last requested.
    Timestamp m_lastFetchAt = distantPast;
    Role m_role = Role::Follower;
    ProcessId m_leader;
};

} // namespace acaciafork::consensus
