#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Group.h"

namespace acaciafork::consensus {

/// Settings of one schedule.
struct ScheduleSettings
{
    std::uint64_t seed = 1;
    std::size_t members = 3;
    /// Duration of the phase with faults.
    Duration faultDuration = std::chrono::seconds(6);
    DiskFaults faults;
    /// Maximum deviation of a clock's rate from real time, in parts per thousand.
    std::int64_t clockRateSpread = 4;
    /// Writes each event to standard error.
    bool trace = false;
};

/// Outcome of one schedule.
struct ScheduleResult
{
    /// Text of the first violated invariant; empty when there is none.
    std::string violation;
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t crashes = 0;
    std::size_t membershipChanges = 0;
};

/// Random fault schedule determined by one seed. Clients write, compare-and-set and read a register
/// while members crash, lose their folders, are partitioned, run out of disk space and are
/// replaced. In addition to the checks of Group, it checks linearizability by the register's
/// versions, and that no acknowledged change is lost.
class Schedule
{
public:
    explicit Schedule(const ScheduleSettings &settings);

    /// Runs the whole schedule.
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
        /// Highest version that any client had observed when the operation started.
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
    /// Each process is a member, a spare that the leader hears, or knows that it is displaced.
    bool isEveryProcessPlaced(const GroupMember &leader);
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
