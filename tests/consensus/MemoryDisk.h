#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "acaciafork/consensus/Consensus.h"

namespace acaciafork::consensus {

/// Ways in which a disk can betray its owner; each breaks a promise that the product relies on.
struct DiskFaults
{
    /// sync() of a log segment returns at once, and nothing is durable.
    bool skipSync = false;
    /// Votes are not written; terms are.
    bool dropVote = false;
};

/// Disk of one member that outlives its process. What is not synced may be lost in a crash: of each
/// file any part of the unsynced tail survives, of unsynced names any first ones.
class MemoryDisk
{
public:
    explicit MemoryDisk(std::uint64_t seed, DiskFaults faults = {})
        : m_faults(faults)
        , m_random(seed)
    { }

    /// Every call from now on counts; the one of that number fails with `kind` (0: none).
    void failCall(std::uint64_t call, FailureKind kind);
    /// The power goes at the sync of that number from now on (0: never): all later calls fail.
    void crashAtSync(std::uint64_t syncs) { m_crashAtSync = syncs; }
    /// Writes fail with Full while set.
    void setFull(bool full) { m_full = full; }
    /// The power is gone: the process that uses the disk has to be ended.
    [[nodiscard]] bool poweredOff() const { return m_poweredOff; }
    /// Takes the power away and gives it back: only what is durable stands.
    void restart();
    /// Empties the disk, as a lost folder does.
    void wipe();

    [[nodiscard]] std::uint64_t calls() const { return m_calls; }
    /// Bytes of a file, to be read or damaged by a test.
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
    bool m_poweredOff = false;
    bool m_locked = false;
};

/// Data folder on a MemoryDisk, as one process sees it.
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
