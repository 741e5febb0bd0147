#include "MemoryDisk.h"

#include <algorithm>

#include "acaciafork/consensus/RecordCodec.h"
#include "wire/consensus.pb.h"

namespace acaciafork::consensus {

/// File on a MemoryDisk.
class MemoryFile : public StorageFile
{
public:
    MemoryFile(MemoryDisk *disk, std::string name, std::shared_ptr<MemoryDisk::Inode> inode)
        : m_disk(disk)
        , m_name(std::move(name))
        , m_inode(std::move(inode))
    { }

    Result<void> append(std::string_view bytes) override
    {
        auto called = m_disk->call(true);
        // A failed write may store any part of its bytes.
        if (!called) {
            if (!m_disk->poweredOff())
                m_inode->data.append(bytes.substr(0, m_disk->m_random() % (bytes.size() + 1)));
            return called;
        }
        m_inode->data.append(m_disk->m_faults.dropVote ? withoutVote(bytes) : std::string(bytes));
        return {};
    }

    Result<void> sync() override
    {
        return m_disk->syncCall(m_disk->m_faults.skipSync && m_name.starts_with("log-"),
                                [this] { m_inode->durable = m_inode->data; });
    }

    Result<void> truncate(std::uint64_t size) override
    {
        BOOST_LEAF_CHECK(m_disk->call(m_disk->m_refused.truncate));
        m_inode->data.resize(size);
        return {};
    }

private:
    /// Returns the records of a group with the vote removed from each hard state.
    [[nodiscard]] std::string withoutVote(std::string_view bytes) const
    {
        const std::uint64_t seed = std::strtoull(m_name.c_str() + 4, nullptr, 16);
        std::string kept;
        Record record;
        std::uint64_t offset = 0;
        while (readRecord(bytes, offset, seed, &record)) {
            wire::consensus::HardState state;
            if (record.kind == RecordKind::HardState
                && state.ParseFromArray(record.body.data(), static_cast<int>(record.body.size()))
                && state.vote() != 0) {
                // An unknown field of the same size replaces the vote, which keeps all offsets.
                state.set_vote(0);
                std::string body = state.SerializeAsString();
                body.append({ '\x78', '\x00' });
                appendRecord(record.kind, record.groupStart, seed, body, &kept);
            } else {
                kept += bytes.substr(offset, record.end - offset);
            }
            offset = record.end;
        }
        return kept + std::string(bytes.substr(offset));
    }

    MemoryDisk *m_disk;
    std::string m_name;
    std::shared_ptr<MemoryDisk::Inode> m_inode;
};

leaf::error_id MemoryDisk::failPoweredOff()
{
    return fail(FailureKind::Storage, "simulated power loss");
}

Result<void> MemoryDisk::call(bool write)
{
    if (m_poweredOff)
        return failPoweredOff();
    ++m_calls;
    if (m_fullAfter != 0 && m_calls >= m_fullAfter)
        m_full = true;
    if (m_failCall != 0 && m_calls == m_failCall)
        return fail(m_failKind, "injected failure");
    if (write && m_full)
        return fail(FailureKind::Full, "simulated disk is full");
    return {};
}

Result<void> MemoryDisk::syncCall(bool skip, const std::function<void()> &makeDurable)
{
    BOOST_LEAF_CHECK(call(m_refused.sync));
    if (m_crashAtSync != 0 && --m_crashAtSync == 0) {
        // The crash happens before or after the data becomes durable.
        if (m_random() % 2 == 0)
            makeDurable();
        m_poweredOff = true;
        return failPoweredOff();
    }
    if (!skip)
        makeDurable();
    return {};
}

void MemoryDisk::changeName(std::function<void(Names *)> change)
{
    change(&m_names);
    m_pendingNames.push_back(std::move(change));
}

void MemoryDisk::failCall(std::uint64_t call, FailureKind kind)
{
    m_failCall = call == 0 ? 0 : m_calls + call;
    m_failKind = kind;
}

void MemoryDisk::restart()
{
    const std::size_t kept = m_random() % (m_pendingNames.size() + 1);
    for (std::size_t it = 0; it < kept; ++it)
        m_pendingNames[it](&m_durableNames);
    m_pendingNames.clear();
    m_names = m_durableNames;
    for (auto &[name, inode] : m_names) {
        std::string &data = inode->data;
        const std::string &durable = inode->durable;
        if (!data.starts_with(durable)) {
            // A truncation that was not synced may or may not take effect.
            if (m_random() % 2 == 0)
                data = durable;
        } else if (data.size() > durable.size()) {
            data.resize(durable.size() + m_random() % (data.size() - durable.size() + 1));
            // Pages reach the disk in any order: the end of the file may be stored while bytes
            // before it are not.
            if (data.size() > durable.size() && m_random() % 2 == 0)
                data[durable.size() + m_random() % (data.size() - durable.size())] ^= 0x55;
        }
        inode->durable = data;
    }
    m_poweredOff = false;
    m_locked = false;
    m_crashAtSync = 0;
}

void MemoryDisk::wipe()
{
    m_names.clear();
    m_durableNames.clear();
    m_pendingNames.clear();
}

std::vector<std::string> MemoryDisk::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, inode] : m_names)
        names.push_back(name);
    return names;
}

MemoryFolder::~MemoryFolder()
{
    if (m_holdsLock)
        m_disk->m_locked = false;
}

Result<void> MemoryFolder::lock()
{
    BOOST_LEAF_CHECK(m_disk->call(false));
    if (m_disk->m_locked)
        return fail(FailureKind::Conflict, "data folder is locked by another process");
    m_disk->m_locked = true;
    m_holdsLock = true;
    return {};
}

Result<std::vector<std::string>> MemoryFolder::list()
{
    BOOST_LEAF_CHECK(m_disk->call(false));
    return m_disk->names();
}

Result<std::unique_ptr<StorageFile>> MemoryFolder::openFile(const std::string &name)
{
    auto found = m_disk->m_names.find(name);
    const bool isNew = found == m_disk->m_names.end();
    BOOST_LEAF_CHECK(m_disk->call(isNew && m_disk->m_refused.names));
    if (isNew) {
        auto inode = std::make_shared<MemoryDisk::Inode>();
        m_disk->changeName([name, inode](auto *names) { (*names)[name] = inode; });
        found = m_disk->m_names.find(name);
    }
    return std::make_unique<MemoryFile>(m_disk, name, found->second);
}

Result<std::uint64_t> MemoryFolder::size(const std::string &name)
{
    BOOST_LEAF_CHECK(m_disk->call(false));
    const auto found = m_disk->m_names.find(name);
    if (found == m_disk->m_names.end())
        return fail(FailureKind::Storage, "file does not exist: " + name);
    return found->second->data.size();
}

Result<std::string> MemoryFolder::read(const std::string &name, std::uint64_t offset,
                                       std::uint64_t length)
{
    BOOST_LEAF_CHECK(m_disk->call(false));
    const auto found = m_disk->m_names.find(name);
    if (found == m_disk->m_names.end())
        return fail(FailureKind::Storage, "file does not exist: " + name);
    const std::string &data = found->second->data;
    return offset >= data.size() ? std::string() : data.substr(offset, length);
}

Result<void> MemoryFolder::rename(const std::string &from, const std::string &to)
{
    BOOST_LEAF_CHECK(m_disk->call(m_disk->m_refused.names));
    if (!m_disk->m_names.contains(from))
        return fail(FailureKind::Storage, "file does not exist: " + from);
    m_disk->changeName([from, to](auto *names) {
        if (const auto it = names->find(from); it != names->end()) {
            (*names)[to] = it->second;
            names->erase(from);
        }
    });
    return {};
}

Result<void> MemoryFolder::remove(const std::string &name)
{
    const bool isThere = m_disk->m_names.contains(name);
    BOOST_LEAF_CHECK(m_disk->call(isThere && m_disk->m_refused.names));
    if (isThere)
        m_disk->changeName([name](auto *names) { names->erase(name); });
    return {};
}

Result<void> MemoryFolder::sync()
{
    return m_disk->syncCall(false, [this] {
        for (const auto &it : m_disk->m_pendingNames)
            it(&m_disk->m_durableNames);
        m_disk->m_pendingNames.clear();
    });
}

} // namespace acaciafork::consensus
