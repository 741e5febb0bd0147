#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "MemoryDisk.h"
#include "Register.h"
#include "acaciafork/consensus/Consensus.h"

namespace acaciafork::consensus {

/// Faults and delays of the simulated network.
struct LinkSettings
{
    double lossRate = 0;
    double repeatRate = 0;
    /// Share of messages with a much longer delay than others, and the maximum of that delay.
    double lateRate = 0;
    Duration maxLateDelay = std::chrono::seconds(2);
    Duration minDelay = std::chrono::microseconds(200);
    Duration maxDelay = std::chrono::milliseconds(2);
};

/// Settings of a group under test.
struct GroupSettings
{
    std::size_t members = 3;
    /// Number of processes outside the group that send a Hello and could join it.
    std::size_t spares = 0;
    std::uint64_t seed = 1;
    NodeSettings node;
    LogFolderSettings folder;
    ReplacementSettings replacement { .automatic = false };
    LinkSettings link;
    DiskFaults faults;
    /// Longest time that a write of the log takes; zero writes within the iteration.
    Duration maxWriteDelay {};
    /// Maximum deviation of a clock's rate from real time, in parts per thousand.
    std::int64_t clockRateSpread = 4;
    /// A displaced process comes back under a new id with an empty folder.
    bool rejoins = false;
    /// Clock rates of the first members, used instead of random ones.
    std::vector<double> clockRates;
};

class Group;

/// Writes a group at once or late, and syncs it after a random time; what a crash leaves of it is
/// up to the disk.
class DelayedGroupWriter : public GroupWriter
{
public:
    explicit DelayedGroupWriter(Group *group)
        : m_group(group)
    { }

    void write(std::shared_ptr<StorageFile> file, std::string group) override;
    std::optional<GroupOutcome> takeOutcome() override;
    /// Lets no write end before `until`.
    void stall(Timestamp until) { m_stalledUntil = until; }

private:
    Group *m_group;
    Timestamp m_stalledUntil;
    std::shared_ptr<StorageFile> m_file;
    std::string m_bytes;
    Timestamp m_dueAt;
    /// Outcome of an append that was made at once; none while it is still to be made.
    std::optional<GroupOutcome> m_appended;
};

/// One member process of a Group; only its disk remains while it is down.
class GroupMember : public ReplicaHandler
{
public:
    GroupMember(Group *group, ProcessId id, ZoneName zone, std::uint64_t seed, double clockRate);

    void send(ProcessId to, std::string bytes) override;
    void apply(const LogPosition &position, std::string_view command) override;
    std::string makeSnapshot() override { return state.snapshot(); }
    bool loadSnapshot(std::string_view bytes) override;
    void roleChanged(Role role, ProcessId leader) override;
    void readReady(ReadTicket ticket, bool ready) override;

    /// Starts the process on its disk; returns false when the folder can't be opened.
    bool start();
    /// Ends the process; data that was not synced may be lost.
    void crash();
    [[nodiscard]] bool running() const { return replica != nullptr; }
    /// The member's own clock.
    [[nodiscard]] Timestamp clock() const;

    ProcessId id;
    ZoneName zone;
    MemoryDisk disk;
    CounterRegistry counters;
    std::unique_ptr<MemoryFolder> folder;
    std::unique_ptr<DelayedGroupWriter> writer;
    std::unique_ptr<Replica> replica;
    Register state;
    std::uint64_t starts = 0;
    std::vector<ReadResult> reads;

private:
    Group *m_group;
    double m_clockRate;
};

/// Runs members under virtual time on a network that loses, duplicates and delays messages and
/// can be partitioned. Checks invariants throughout and keeps the first violation as text.
class Group
{
public:
    explicit Group(GroupSettings settings);

    /// Advances time by one millisecond and runs one loop iteration of every member.
    void step();
    /// Steps for the given virtual time.
    void run(Duration length);
    /// Steps until a running member can serve reads; returns false after `limit`.
    bool awaitLeader(Duration limit = std::chrono::seconds(20));
    /// Running leader with the highest term, or null.
    GroupMember *leader();
    GroupMember &member(std::uint32_t id) { return *m_members.at(ProcessId { id }); }
    std::map<ProcessId, std::unique_ptr<GroupMember>> &members() { return m_members; }
    /// Adds a process with an empty disk; it knows the initial members.
    GroupMember &addProcess();

    /// Lets a process stand still; what is sent to it arrives when it goes on.
    void freeze(ProcessId id, Duration length) { m_frozenUntil[id] = m_now + length; }

    /// Drops all messages from one member to another.
    void cut(ProcessId from, ProcessId to) { m_cuts.emplace(from, to); }
    /// Drops all messages between a member and all others.
    void isolate(ProcessId id);
    /// Restores all links.
    void heal() { m_cuts.clear(); }

    [[nodiscard]] Timestamp now() const { return m_now; }
    RandomGenerator &random() { return m_random; }
    [[nodiscard]] const GroupSettings &settings() const { return m_settings; }
    LinkSettings &link() { return m_settings.link; }
    /// Compares the logs of all running members.
    void checkLogs();
    /// Text of the first violated invariant; empty when there is none.
    [[nodiscard]] const std::string &violation() const { return m_violation; }
    void reportViolation(std::string text);
    /// How often a leader that could serve reads lost that by the messages of one iteration alone.
    [[nodiscard]] std::size_t interruptedReads() const { return m_interruptedReads; }
    /// Bytes sent so far.
    [[nodiscard]] std::uint64_t bytesSent() const { return m_bytesSent; }

private:
    friend class GroupMember;

    [[nodiscard]] std::set<ProcessId> readers() const;

    struct Packet
    {
        ProcessId to;
        std::string bytes;
    };
    struct Applied
    {
        Term term = 0;
        std::string command;
    };

    void post(ProcessId from, ProcessId to, std::string bytes);
    [[nodiscard]] bool isFrozen(ProcessId id) const;
    void rejoinDisplaced();
    void checkLeases();
    void checkLeader(GroupMember &member);
    void checkApplied(const GroupMember &member, const LogPosition &position,
                      std::string_view command);

    GroupSettings m_settings;
    RandomGenerator m_random;
    Timestamp m_now;
    std::vector<Member> m_initial;
    std::map<ProcessId, std::unique_ptr<GroupMember>> m_members;
    std::multimap<Timestamp, Packet> m_packets;
    std::set<std::pair<ProcessId, ProcessId>> m_cuts;
    std::map<ProcessId, Timestamp> m_frozenUntil;
    std::map<Term, ProcessId> m_leaders;
    std::map<LogIndex, Applied> m_applied;
    std::uint64_t m_bytesSent = 0;
    std::size_t m_interruptedReads = 0;
    std::string m_violation;
};

} // namespace acaciafork::consensus
