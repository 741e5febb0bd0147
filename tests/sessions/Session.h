#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "acaciafork/control/ControlNode.h"
#include "acaciafork/entry/EntryNode.h"

namespace acaciafork::sessions {

/// Entries and control members on one loop in virtual time, with small fakes around them: an
/// agreement that commits at once, endpoints that answer after a fixed time, callers. Everything
/// that is seen goes into one log, which is the golden file of the session.
class Session
{
public:
    /// Control members are 1 and 2, entries 11 and 12.
    Session();
    ~Session();

    /// Calls `fn` at a virtual time, in milliseconds.
    void at(std::int64_t ms, std::function<void()> fn);
    /// Runs until a virtual time, in milliseconds.
    void runUntil(std::int64_t ms);

    /// Makes a member the leader, and the other one a follower.
    void elect(std::uint32_t member);
    /// Proposes a command at the leader and notes its outcome.
    void propose(const std::string &what, wire::Command command);
    /// Adds an endpoint of the service "loopdraw" that announces itself each second.
    void addEndpoint(const std::string &name, std::uint32_t slots);
    /// Takes an endpoint away without a word, or brings it back.
    void setEndpointAlive(const std::string &name, bool isAlive);
    /// Lets an endpoint announce that it leaves.
    void leaveEndpoint(const std::string &name);
    /// Takes a process away without a word.
    void kill(std::uint32_t process) { m_dead.insert(process); }
    /// Sends one request; its outcome is noted under `name`.
    void request(const std::string &name, std::uint32_t entry, const routing::RequestInfo &info);

    /// Notes one line with the virtual time.
    void note(const std::string &line);
    /// All lines so far, then every process's time line merged in order of cause.
    [[nodiscard]] std::string log() const;
    /// Most requests that any endpoint worked on beyond its slots; 0 when all kept their room.
    [[nodiscard]] std::uint32_t overshoot() const { return m_overshoot; }

private:
    class Member;
    class Entry;
    struct Endpoint;

    [[nodiscard]] Moment now() const;
    void deliver(std::uint32_t from, ProcessId to, std::span<const std::byte> bytes);
    void commit(std::string command, const consensus::LogPosition &position);
    void tickAll();
    void announceAll();

    std::int64_t m_nowUs = 0;
    std::multimap<std::int64_t, std::function<void()>> m_events;
    std::set<std::uint32_t> m_dead;
    std::uint32_t m_leader = 0;
    std::uint64_t m_term = 0;
    std::uint64_t m_lastIndex = 0;
    std::map<std::uint32_t, std::unique_ptr<Member>> m_members;
    std::map<std::uint32_t, std::unique_ptr<Entry>> m_entries;
    std::map<std::string, Endpoint> m_endpoints;
    std::uint32_t m_overshoot = 0;
    std::string m_log;
};

} // namespace acaciafork::sessions
