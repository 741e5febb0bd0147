#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "acaciafork/consensus/Consensus.h"

namespace acaciafork::consensus {

/// Load that the leader of a ThreadedGroup puts on itself.
struct LoadSettings
{
    /// Commands kept uncommitted; each commit is followed by a new command.
    std::size_t window = 1;
    /// Commands a second, in place of a window; 0 for none.
    std::size_t rate = 0;
    std::size_t commandBytes = 200;
};

/// How a ThreadedGroup is set up.
struct ThreadedGroupSettings
{
    std::size_t members = 3;
    /// Processes that may join; their syncs stand for those of a disk of their own.
    std::size_t spares = 0;
    /// Folder below which each member has its data folder.
    std::string path;
    /// Size of every member's snapshot beyond its counters.
    std::size_t stateBytes = 0;
    /// Added to each sync, to stand for a slower disk.
    Duration syncDelay = Duration::zero();
    NodeSettings node;
};

/// What the leader has seen since the last look.
struct LoadResult
{
    std::vector<std::int64_t> latenciesUs;
    std::uint64_t bytesToFollowers = 0;
    std::uint64_t messagesToFollowers = 0;
};

class ThreadedMember;

/// Members with real data folders and real syncs, each with its own loop on its own thread; links
/// are queues in memory.
class ThreadedGroup
{
public:
    explicit ThreadedGroup(const ThreadedGroupSettings &settings);
    ThreadedGroup(const ThreadedGroup &) = delete;
    ThreadedGroup &operator=(const ThreadedGroup &) = delete;
    ~ThreadedGroup();

    /// Starts a member's thread.
    void start(std::uint32_t id);
    /// Sets what the leader does from now on.
    void load(const LoadSettings &load);
    /// Takes what the leader has seen since the last call.
    LoadResult take();
    /// Asks the leader to add a spare.
    void addLearner(std::uint32_t id) { m_learner = id; }
    /// How many commands a member has applied.
    std::uint64_t applied(std::uint32_t id) const;
    /// Number of the current leader; 0 while there is none.
    [[nodiscard]] std::uint32_t leader() const { return m_leader; }
    /// How often any member's snapshot has been loaded from another's.
    [[nodiscard]] std::uint32_t snapshotsLoaded() const { return m_snapshotsLoaded; }

private:
    friend class ThreadedMember;

    ThreadedGroupSettings m_settings;
    std::vector<Member> m_initial;
    std::map<ProcessId, std::unique_ptr<ThreadedMember>> m_members;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::uint32_t> m_leader = 0;
    std::atomic<std::uint32_t> m_learner = 0;
    std::atomic<std::uint32_t> m_snapshotsLoaded = 0;
    std::mutex m_mutex;
    LoadSettings m_load { .window = 0 };
    LoadResult m_result;
};

} // namespace acaciafork::consensus
