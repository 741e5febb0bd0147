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

/// What the network does to messages.
struct LinkSettings
{
    double lossRate = 0;
    double repeatRate = 0;
    /// Share of messages that come much later than all others, and how late.
    double lateRate = 0;
    Duration maxLateDelay = std::chrono::seconds(2);
    Duration minDelay = std::chrono::microseconds(200);
    Duration maxDelay = std::chrono::milliseconds(2);
};

/// How a group of members under test is set up.
struct GroupSettings
{
    std::size_t members = 3;
    /// Processes that greet the group and could join it.
    std::size_t spares = 0;
    std::uint64_t seed = 1;
    NodeSettings node;
    LogFolderSettings folder;
    ReplacementSettings replacement { .automatic = false };
    LinkSettings link;
    DiskFaults faults;
    /// Clocks run faster or slower by up to this many parts in a thousand.
    std::int64_t clockRateSpread = 4;
    /// Clock rates of the first members, in place of drawn ones.
    std::vector<double> clockRates;
};

class Group;

/// One member process of a Group, or the disk it left behind while it is down.
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

    /// Starts the process on the disk; false when the folder can't be opened.
    bool start();
    /// Ends the process; what the disk had not synced may be lost.
    void crash();
    [[nodiscard]] bool running() const { return replica != nullptr; }
    /// The member's own clock.
    [[nodiscard]] Timestamp clock() const;

    ProcessId id;
    ZoneName zone;
    MemoryDisk disk;
    CounterRegistry counters;
    std::unique_ptr<MemoryFolder> folder;
    std::unique_ptr<Replica> replica;
    Register state;
    std::uint64_t starts = 0;
    std::vector<ReadResult> reads;

private:
    Group *m_group;
    double m_clockRate;
};

/// Members under virtual time on a network that loses, repeats, delays and splits, with the checks
/// that hold at every moment. A failed check is kept as text.
class Group
{
public:
    explicit Group(GroupSettings settings);

    /// One loop turn of every member, one millisecond after the last.
    void step();
    /// Steps for a length of virtual time.
    void run(Duration length);
    /// Steps until some running member can serve reads; false after `limit`.
    bool awaitLeader(Duration limit = std::chrono::seconds(20));
    /// The running leader of the highest term, or null.
    GroupMember *leader();
    GroupMember &member(std::uint32_t id) { return *m_members.at(ProcessId { id }); }
    std::map<ProcessId, std::unique_ptr<GroupMember>> &members() { return m_members; }
    /// Adds a process with an empty disk that knows the initial members.
    GroupMember &addProcess();

    /// Cuts messages from one member to another.
    void cut(ProcessId from, ProcessId to) { m_cuts.emplace(from, to); }
    /// Cuts a member off both ways from all others.
    void isolate(ProcessId id);
    /// Mends every cut.
    void heal() { m_cuts.clear(); }

    [[nodiscard]] Timestamp now() const { return m_now; }
    RandomGenerator &random() { return m_random; }
    [[nodiscard]] const GroupSettings &settings() const { return m_settings; }
    LinkSettings &link() { return m_settings.link; }
    /// Checks every log against every other; call after a run.
    void checkLogs();
    /// First broken invariant; empty while all hold.
    [[nodiscard]] const std::string &violation() const { return m_violation; }
    void reportViolation(std::string text);
    /// Bytes sent so far.
    [[nodiscard]] std::uint64_t bytesSent() const { return m_bytesSent; }

private:
    friend class GroupMember;

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
    std::map<Term, ProcessId> m_leaders;
    std::map<LogIndex, Applied> m_applied;
    std::uint64_t m_bytesSent = 0;
    std::string m_violation;
};

} // namespace acaciafork::consensus
