#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Group.h"

namespace acaciafork::consensus {

/// What one schedule goes through.
struct ScheduleSettings
{
    std::uint64_t seed = 1;
    std::size_t members = 3;
    /// Length of the part with faults.
    Duration faultDuration = std::chrono::seconds(6);
    DiskFaults faults;
    /// Clocks run faster or slower by up to this many parts in a thousand.
    std::int64_t clockRateSpread = 4;
    /// Writes what happens to standard error.
    bool trace = false;
};

/// Outcome of one schedule.
struct ScheduleResult
{
    /// First broken invariant; empty when all held.
    std::string violation;
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t crashes = 0;
    std::size_t membershipChanges = 0;
};

/// Clients that write, compare-and-set and read a register, on a group whose members crash, lose
/// their folders, are cut off, run out of disk and change, drawn from one seed. Checks besides
/// those of Group: linearizability through the register's versions, and that no acknowledged change
/// is lost.
class Schedule
{
public:
    explicit Schedule(const ScheduleSettings &settings);

    /// Runs the schedule to its end.
    ScheduleResult run();

private:
    /// One operation of a client.
    struct Operation
    {
        std::uint64_t id = 0;
        ProcessId member;
        std::uint64_t start = 0;
        ReadTicket ticket;
        std::string command;
        /// Highest version that any client had seen when the operation began.
        std::uint64_t minVersion = 0;
        Timestamp startedAt;
    };

    void stepAll();
    void injectFault();
    void crash(GroupMember *member);
    void loseFolder();
    void changeMembers();
    void cutRandomLinks();
    void advanceClient(std::optional<Operation> *client);
    std::optional<Operation> begin();
    void resend(Operation *operation);
    bool finish(const Operation &operation);
    void checkObserved(const Operation &operation, std::uint64_t version, std::uint64_t value,
                       bool changed);
    GroupMember *anyLeader();
    GroupMember *anyMember();
    void recoverAndCheck();
    void checkAcknowledged(const GroupMember &leader);
    std::uint64_t randomBelow(std::uint64_t most);
    void trace(const std::string &text);

    ScheduleSettings m_settings;
    Group m_group;
    ScheduleResult m_result;
    std::vector<std::optional<Operation>> m_clients;
    std::map<std::uint64_t, RegisterOutcome> m_acknowledged;
    std::map<std::uint64_t, std::uint64_t> m_values;
    std::map<ProcessId, Timestamp> m_down;
    std::set<ProcessId> m_lostFolders;
    Timestamp m_clientsEnd = Timestamp::max();
    std::uint64_t m_lastOperation = 0;
    std::uint64_t m_seenVersion = 0;
    std::uint64_t m_lastValue = 0;
};

} // namespace acaciafork::consensus
