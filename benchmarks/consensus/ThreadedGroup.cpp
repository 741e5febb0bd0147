#include "ThreadedGroup.h"

#include <cstring>
#include <deque>

namespace acaciafork::consensus {

namespace {

constexpr Duration idleWait = std::chrono::milliseconds(1);

/// Steady clock as the loop's clock.
Timestamp steadyNow()
{
    return Timestamp(std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace

/// How a disk syncs.
struct SyncSettings
{
    /// Added to each sync.
    Duration delay;
    /// False where members share one disk and this one's writes shall not hold up the others'.
    bool real = true;
};

/// File whose syncs take longer.
class SlowFile : public StorageFile
{
public:
    SlowFile(std::unique_ptr<StorageFile> file, SyncSettings sync)
        : m_file(std::move(file))
        , m_sync(sync)
    { }

    Result<void> append(std::string_view bytes) override { return m_file->append(bytes); }
    Result<void> truncate(std::uint64_t size) override { return m_file->truncate(size); }
    Result<void> sync() override
    {
        std::this_thread::sleep_for(m_sync.delay);
        return m_sync.real ? m_file->sync() : Result<void>();
    }

private:
    std::unique_ptr<StorageFile> m_file;
    SyncSettings m_sync;
};

/// Folder whose files' syncs take longer.
class SlowFolder : public StorageFolder
{
public:
    SlowFolder(StorageFolder *folder, SyncSettings sync)
        : m_folder(folder)
        , m_sync(sync)
    { }

    Result<void> lock() override { return m_folder->lock(); }
    Result<std::vector<std::string>> list() override { return m_folder->list(); }
    Result<std::unique_ptr<StorageFile>> openFile(const std::string &name) override
    {
        BOOST_LEAF_AUTO(file, m_folder->openFile(name));
        return std::make_unique<SlowFile>(std::move(file), m_sync);
    }
    Result<std::uint64_t> size(const std::string &name) override { return m_folder->size(name); }
    Result<std::string> read(const std::string &name, std::uint64_t offset,
                             std::uint64_t length) override
    {
        return m_folder->read(name, offset, length);
    }
    Result<void> rename(const std::string &from, const std::string &to) override
    {
        return m_folder->rename(from, to);
    }
    Result<void> remove(const std::string &name) override { return m_folder->remove(name); }
    Result<void> sync() override { return m_folder->sync(); }

private:
    StorageFolder *m_folder;
    SyncSettings m_sync;
};

/// One member: a replica, its queue of messages and its thread.
class ThreadedMember : public ReplicaHandler
{
public:
    ThreadedMember(ThreadedGroup *group, ProcessId id)
        : m_group(group)
        , m_id(id)
    { }

    void send(ProcessId to, std::string bytes) override
    {
        if (m_replica && m_replica->isLeader()) {
            m_sent.bytesToFollowers += bytes.size();
            ++m_sent.messagesToFollowers;
        }
        const auto found = m_group->m_members.find(to);
        if (found == m_group->m_members.end())
            return;
        ThreadedMember &member = *found->second;
        const std::lock_guard lock(member.m_mutex);
        member.m_queue.push_back(std::move(bytes));
        member.m_wake.notify_one();
    }

    void apply(const LogPosition &position, std::string_view /*command*/) override
    {
        ++m_applied;
        if (const auto found = m_proposed.find(position.index); found != m_proposed.end()) {
            m_sent.latenciesUs.push_back((steadyNow() - found->second).count());
            m_proposed.erase(found);
        }
    }

    std::string makeSnapshot() override
    {
        const std::uint64_t applied = m_applied;
        std::string bytes(sizeof(applied) + m_group->m_settings.stateBytes, 's');
        std::memcpy(bytes.data(), &applied, sizeof(applied));
        return bytes;
    }

    bool loadSnapshot(std::string_view bytes) override
    {
        std::uint64_t applied = 0;
        std::memcpy(&applied, bytes.data(), sizeof(applied));
        m_applied = applied;
        ++m_group->m_snapshotsLoaded;
        return true;
    }

    void roleChanged(Role role, ProcessId /*leader*/) override
    {
        m_proposed.clear();
        if (role == Role::Leader)
            m_group->m_leader = m_id.value;
    }

    void readReady(ReadTicket /*ticket*/, bool /*ready*/) override { }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }
    void join()
    {
        if (m_thread.joinable())
            m_thread.join();
    }
    [[nodiscard]] std::uint64_t applied() const { return m_applied; }

private:
    void run()
    {
        auto files = PosixFolder::open(m_group->m_settings.path + "/" + std::to_string(m_id.value));
        ACACIAFORK_ASSERT(files.has_value());
        const ReplicaSettings settings { .cluster = "measure",
                                         .identity = { .self = m_id,
                                                       .zone = ZoneName { "z" },
                                                       .initialMembers = m_group->m_initial },
                                         .node = m_group->m_settings.node,
                                         .replacement = { .automatic = false },
                                         .seed = m_id.value };
        const bool shared = m_id.value <= m_group->m_settings.members;
        SlowFolder slow(files->get(), { .delay = m_group->m_settings.syncDelay, .real = shared });
        auto replica = Replica::open(steadyNow(), settings, &slow, this);
        ACACIAFORK_ASSERT(replica.has_value());
        m_replica = std::move(*replica);
        while (!m_group->m_stopping)
            turn();
        m_replica.reset();
    }

    void turn()
    {
        std::deque<std::string> received;
        {
            std::unique_lock lock(m_mutex);
            const bool busy = !m_proposed.empty() || m_replica->isLeader();
            if (m_queue.empty())
                m_wake.wait_for(lock, busy ? Duration(200) : idleWait);
            received.swap(m_queue);
        }
        const Timestamp now = steadyNow();
        m_replica->tick(now);
        for (const std::string &it : received)
            (void)m_replica->receive(now, it);
        if (m_replica->isLeader())
            generate(now);
        m_replica->flush(steadyNow());
    }

    void generate(Timestamp now)
    {
        LoadSettings load;
        {
            const std::lock_guard lock(m_group->m_mutex);
            load = m_group->m_load;
            auto &to = m_group->m_result;
            to.latenciesUs.insert(to.latenciesUs.end(), m_sent.latenciesUs.begin(),
                                  m_sent.latenciesUs.end());
            to.bytesToFollowers += m_sent.bytesToFollowers;
            to.messagesToFollowers += m_sent.messagesToFollowers;
            m_sent = {};
        }
        if (const std::uint32_t learner = m_group->m_learner;
            learner != 0 && m_replica->addLearner(now, ProcessId { learner }))
            m_group->m_learner = 0;
        if (load.rate == 0) {
            while (m_proposed.size() < load.window && propose(now, load.commandBytes)) { }
            m_nextCommand = now;
            return;
        }
        // Latency counts from the moment the command was due, also when the loop was late.
        const Duration pause(1'000'000 / load.rate);
        for (; m_nextCommand <= now; m_nextCommand += pause)
            (void)propose(m_nextCommand, load.commandBytes);
    }

    bool propose(Timestamp due, std::size_t bytes)
    {
        auto position = m_replica->propose(steadyNow(), std::string(bytes, 'c'));
        if (position)
            m_proposed.emplace(position->index, due);
        return position.has_value();
    }

    ThreadedGroup *m_group;
    ProcessId m_id;
    std::unique_ptr<Replica> m_replica;
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::string> m_queue;
    std::unordered_map<LogIndex, Timestamp> m_proposed;
    std::atomic<std::uint64_t> m_applied = 0;
    Timestamp m_nextCommand;
    LoadResult m_sent;
};

ThreadedGroup::ThreadedGroup(const ThreadedGroupSettings &settings)
    : m_settings(settings)
{
    for (std::uint32_t it = 1; it <= m_settings.members; ++it)
        m_initial.push_back({ .id = ProcessId { it },
                              .zone = ZoneName { "z" },
                              .voter = true,
                              .folder = {},
                              .replaces = {} });
    for (std::uint32_t it = 1; it <= m_settings.members + m_settings.spares; ++it)
        m_members.emplace(ProcessId { it },
                          std::make_unique<ThreadedMember>(this, ProcessId { it }));
    for (std::uint32_t it = 1; it <= m_settings.members; ++it)
        start(it);
}

ThreadedGroup::~ThreadedGroup()
{
    m_stopping = true;
    for (auto &[id, member] : m_members)
        member->join();
}

void ThreadedGroup::start(std::uint32_t id)
{
    m_members.at(ProcessId { id })->start();
}

void ThreadedGroup::load(const LoadSettings &load)
{
    const std::lock_guard lock(m_mutex);
    m_load = load;
}

LoadResult ThreadedGroup::take()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_result, {});
}

std::uint64_t ThreadedGroup::applied(std::uint32_t id) const
{
    return m_members.at(ProcessId { id })->applied();
}

} // namespace acaciafork::consensus
