#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "acaciafork/consensus/Consensus.h"

namespace acaciafork::consensus {

/// Faults of a disk that silently break a guarantee that consensus relies on.
struct DiskFaults
{
    /// sync() of a log segment reports success without making anything durable.
    bool skipSync = false;
    /// Votes are left out of written hard states; terms are written.
    bool dropVote = false;
};

/// What a full disk refuses besides appends.
struct FullDisk
{
    /// Truncations.
    bool truncate = false;
    /// Syncs of files and of the folder. What an append stored before stays in the file.
    bool sync = false;
    /// Creations, renames and removals of files.
    bool names = false;
};

/// Simulated disk of one member that persists across restarts of its process. A crash may lose
/// unsynced data: each file keeps a random part of its unsynced tail, and of the unsynced
/// creations, renames and removals a random number of the oldest ones take effect.
class MemoryDisk
{
public:
    explicit MemoryDisk(std::uint64_t seed, DiskFaults faults = {})
        : m_faults(faults)
        , m_random(seed)
    { }

    /// Makes the n-th call from now fail with `kind`; 0 disables the failure.
    void failCall(std::uint64_t call, FailureKind kind);
    /// Simulates a power loss at the n-th sync from now; all later calls fail. 0 disables
    /// the power loss.
    void crashAtSync(std::uint64_t syncs) { m_crashAtSync = syncs; }
    /// While set, appends and the `refused` calls fail with Full.
    void setFull(bool full, FullDisk refused = {})
    {
        m_full = full;
        m_refused = refused;
        m_fullAfter = 0;
    }
    /// Lets the disk get full at the n-th call from now.
    void fullAfter(std::uint64_t call, FullDisk refused = {})
    {
        m_refused = refused;
        m_fullAfter = m_calls + call;
    }
    /// True after a simulated power loss: the test has to end the process that uses the disk.
    [[nodiscard]] bool poweredOff() const { return m_poweredOff; }
    /// Simulates a power loss and a restart: durable data is kept, unsynced data may be lost.
    void restart();
    /// Removes all files, to simulate the loss of the data folder.
    void wipe();

    [[nodiscard]] std::uint64_t calls() const { return m_calls; }
    /// Contents of a file, for a test to read or damage.
    std::string &bytes(const std::string &name) { return m_names.at(name)->data; }
    [[nodiscard]] std::vector<std::string> names() const;

private:
    friend class MemoryFolder;
    friend class MemoryFile;

    struct Inode
    {
        std::string data;
        std::string durable;
    };
    using Names = std::map<std::string, std::shared_ptr<Inode>>;

    Result<void> call(bool write);
    Result<void> syncCall(bool skip, const std::function<void()> &makeDurable);
    void changeName(std::function<void(Names *)> change);
    static leaf::error_id failPoweredOff();

    DiskFaults m_faults;
    RandomGenerator m_random;
    Names m_names;
    Names m_durableNames;
    std::vector<std::function<void(Names *)>> m_pendingNames;
    std::uint64_t m_calls = 0;
    std::uint64_t m_failCall = 0;
    FailureKind m_failKind = FailureKind::Storage;
    std::uint64_t m_crashAtSync = 0;
    bool m_full = false;
    FullDisk m_refused;
    std::uint64_t m_fullAfter = 0;
    bool m_poweredOff = false;
    bool m_locked = false;
};

/// Data folder on a MemoryDisk as used by one process; destroying it releases the lock.
class MemoryFolder : public StorageFolder
{
public:
    explicit MemoryFolder(MemoryDisk *disk)
        : m_disk(disk)
    { }
    MemoryFolder(const MemoryFolder &) = delete;
    MemoryFolder &operator=(const MemoryFolder &) = delete;
    ~MemoryFolder() override;

    Result<void> lock() override;
    Result<std::vector<std::string>> list() override;
    Result<std::unique_ptr<StorageFile>> openFile(const std::string &name) override;
    Result<std::uint64_t> size(const std::string &name) override;
    Result<std::string> read(const std::string &name, std::uint64_t offset,
                             std::uint64_t length) override;
    Result<void> rename(const std::string &from, const std::string &to) override;
    Result<void> remove(const std::string &name) override;
    Result<void> sync() override;

private:
    MemoryDisk *m_disk;
    bool m_holdsLock = false;
};

} // namespace acaciafork::consensus
