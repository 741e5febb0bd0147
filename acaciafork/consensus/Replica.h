#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "acaciafork/consensus/LogFolder.h"
#include "acaciafork/consensus/Node.h"
#include "acaciafork/consensus/ReplacementPolicy.h"
#include "acaciafork/consensus/ReplicaCounters.h"

namespace acaciafork::consensus {

/// What a replica asks of the process around it. Called from Replica::flush() only, and from
/// Replica::open() for loadSnapshot().
class ReplicaHandler
{
public:
    virtual ~ReplicaHandler() = default;

    /// Sends bytes to a member; they may be lost, repeated or overtaken, but not changed.
    virtual void send(ProcessId to, std::string bytes) = 0;
    /// Applies a committed command, in order, the same on every member. On the leader this is the
    /// moment to answer who proposed it: Replica::propose() returned the same position.
    virtual void apply(const LogPosition &position, std::string_view command) = 0;
    /// Bytes of the whole applied state.
    virtual std::string makeSnapshot() = 0;
    /// Replaces the whole applied state. Returns false when the bytes are not a state.
    virtual bool loadSnapshot(std::string_view bytes) = 0;
    /// The role or the known leader changed. Proposals made before it stepped down may or may not
    /// be committed later.
    virtual void roleChanged(Role role, ProcessId leader) = 0;
    /// A read barrier asked for by Replica::readBarrier() has passed, or can't pass any more.
    virtual void readReady(ReadTicket ticket, bool ready) = 0;
};

/// How a replica is set up.
struct ReplicaSettings
{
    /// Name of the cluster; a data folder of another one is refused.
    std::string cluster;
    NodeIdentity identity;
    NodeSettings node;
    LogFolderSettings folder;
    ReplacementSettings replacement;
    /// Seed of election timeouts and of a new folder's identity; different on each start.
    std::uint64_t seed = 0;
    /// Where the replica counts; must outlive it. Null counts for itself.
    CounterRegistry *counters = nullptr;
};

/// State of a replica for operators.
struct ReplicaStatus
{
    NodeStatus node;
    Redundancy redundancy;
    /// The disk has no room: nothing is accepted, reads go on.
    bool full = false;
    /// A write failed in a way that only a restart resolves: the member keeps silent.
    bool broken = false;
    std::uint64_t logBytes = 0;
    std::uint64_t snapshotBytes = 0;
};

/// One member of the group: the pure node, its data folder, and the handler around it, on one loop.
///
/// In each turn of the loop the process calls tick(), receive() for each message, propose() for
/// each command, then flush() once: all of the turn's writes are synced together.
class Replica
{
public:
    /// Opens the data folder and recovers. Fails as LogFolder::open() does.
    /// @param[in] files the data folder; must outlive the replica
    /// @param[in] handler must outlive the replica
    static Result<std::unique_ptr<Replica>> open(Timestamp now, ReplicaSettings settings,
                                                 StorageFolder *files, ReplicaHandler *handler);

    /// Runs what has come due; every few milliseconds.
    void tick(Timestamp now);
    /// Takes in bytes that another member's handler sent. Fails with Protocol when malformed.
    Result<void> receive(Timestamp now, std::string_view bytes);
    /// Proposes a command. See Node::propose().
    Result<LogPosition> propose(Timestamp now, std::string command);
    /// Asks for leave to read the applied state; readReady() answers. See Node::readBarrier().
    Result<ReadTicket> readBarrier(Timestamp now);
    /// True when the applied state may be read right now, without waiting.
    [[nodiscard]] bool canReadNow(Timestamp now) const { return m_node.canReadNow(now); }
    /// Syncs, sends, applies: everything since the last call.
    void flush(Timestamp now);

    [[nodiscard]] bool isLeader() const { return m_node.role() == Role::Leader; }
    /// Leader of the current term, none while unknown.
    [[nodiscard]] ProcessId leader() const { return m_node.leader(); }
    [[nodiscard]] ReplicaStatus status(Timestamp now) const;

    /// Adds a spare as a learner, which votes once it is caught up and synced.
    Result<LogPosition> addLearner(Timestamp now, ProcessId id);
    /// Adds a spare that takes the place of a member as soon as it votes.
    Result<LogPosition> replaceMember(Timestamp now, ProcessId old, ProcessId spare);
    /// Takes a member out for good.
    Result<LogPosition> removeMember(Timestamp now, ProcessId id);
    /// Hands the leadership to a voter.
    Result<void> transferLeadership(Timestamp now, ProcessId to);

    /// A process has spoken outside the agreement. See ReplacementPolicy::heard().
    void noteAlive(ProcessId process) { m_replacement.markAlive(process); }
    /// Names processes that may know the group. See Node::addContacts().
    void addContacts(std::span<const ProcessId> contacts) { m_node.addContacts(contacts); }

    /// The node inside, for tests and measurements.
    [[nodiscard]] const Node &node() const { return m_node; }

private:
    Replica(ReplicaSettings settings, std::unique_ptr<LogFolder> folder, RecoveredState recovered,
            ReplicaHandler *handler, Timestamp now);

    bool write(Timestamp now, const NodeOutput &output);
    void sendMessage(const Message &message);
    void sendMessages(const std::vector<Message> &messages);
    void answerFetches(Timestamp now, const std::vector<Message> &fetches);
    void writeChunks(Timestamp now, const std::vector<SnapshotChunk> &snapshotChunks);
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
    bool m_diskFull = false;
    /// When a piece of the stored snapshot was last asked for.
    Timestamp m_lastFetchAt = distantPast;
    Role m_role = Role::Follower;
    ProcessId m_leader;
};

} // namespace acaciafork::consensus
