#include "acaciafork/consensus/PosixFolder.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace acaciafork::consensus {

namespace {

constexpr mode_t fileMode = 0640;
constexpr const char *lockName = "LOCK";

/// Creates the failure for a system call on a file from errno.
leaf::error_id failSystem(const char *call, const std::string &file)
{
    const int ec = errno;
    const bool full = ec == ENOSPC || ec == EDQUOT;
    return fail(full ? FailureKind::Full : FailureKind::Storage,
                std::string(call) + " " + file + ": " + std::strerror(ec));
}

/// Owns a file descriptor and closes it on destruction.
class Descriptor
{
public:
    explicit Descriptor(int fd)
        : m_fd(fd)
    { }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;
    ~Descriptor()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }
    [[nodiscard]] int get() const { return m_fd; }

private:
    int m_fd;
};

/// File of a PosixFolder.
class PosixFile : public StorageFile
{
public:
    PosixFile(std::string name, int fd)
        : m_name(std::move(name))
        , m_fd(fd)
    { }

    Result<void> append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const ssize_t n = ::write(m_fd.get(), bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0)
                return failSystem("write", m_name);
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return {};
    }

    Result<void> sync() override
    {
        if (::fdatasync(m_fd.get()) != 0)
            return failSystem("fdatasync", m_name);
        return {};
    }

    Result<void> truncate(std::uint64_t size) override
    {
        if (::ftruncate(m_fd.get(), static_cast<off_t>(size)) != 0)
            return failSystem("ftruncate", m_name);
        return {};
    }

private:
    std::string m_name;
    Descriptor m_fd;
};

} // namespace

PosixFolder::PosixFolder(std::string path, int descriptor)
    : m_path(std::move(path))
    , m_descriptor(descriptor)
{ }

PosixFolder::~PosixFolder()
{
    if (m_lockDescriptor >= 0)
        ::close(m_lockDescriptor);
    ::close(m_descriptor);
}

Result<std::unique_ptr<PosixFolder>> PosixFolder::open(const std::string &path)
{
    std::error_code ec;
    std::filesystem::create_directories(path, ec);
    const int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        return failSystem("open", path);
    return std::unique_ptr<PosixFolder>(new PosixFolder(path, fd));
}

Result<void> PosixFolder::lock()
{
    m_lockDescriptor = ::openat(m_descriptor, lockName, O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (m_lockDescriptor < 0)
        return failSystem("open", lockName);
    if (::flock(m_lockDescriptor, LOCK_EX | LOCK_NB) != 0)
        return fail(FailureKind::Conflict, "data folder is locked by another process: " + m_path);
    return {};
}

Result<std::vector<std::string>> PosixFolder::list()
{
    std::vector<std::string> names;
    std::error_code ec;
    for (const auto &it : std::filesystem::directory_iterator(m_path, ec)) {
        if (it.path().filename() != lockName)
            names.push_back(it.path().filename().string());
    }
    if (ec)
        return fail(FailureKind::Storage,
                    "cannot list data folder " + m_path + ": " + ec.message());
    std::ranges::sort(names);
    return names;
}

Result<std::unique_ptr<StorageFile>> PosixFolder::openFile(const std::string &name)
{
    const int fd = ::openat(m_descriptor, name.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                            fileMode);
    if (fd < 0)
        return failSystem("open", name);
    return std::make_unique<PosixFile>(name, fd);
}

Result<std::uint64_t> PosixFolder::size(const std::string &name)
{
    struct stat info
    { };
    if (::fstatat(m_descriptor, name.c_str(), &info, 0) != 0)
        return failSystem("stat", name);
    return static_cast<std::uint64_t>(info.st_size);
}

Result<std::string> PosixFolder::read(const std::string &name, std::uint64_t offset,
                                      std::uint64_t length)
{
    const Descriptor fd(::openat(m_descriptor, name.c_str(), O_RDONLY | O_CLOEXEC));
    if (fd.get() < 0)
        return failSystem("open", name);
    std::string bytes(length, '\0');
    std::size_t bytesRead = 0;
    while (bytesRead < bytes.size()) {
        const ssize_t n = ::pread(fd.get(), bytes.data() + bytesRead, bytes.size() - bytesRead,
                                  static_cast<off_t>(offset + bytesRead));
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return failSystem("read", name);
        if (n == 0)
            break;
        bytesRead += static_cast<std::size_t>(n);
    }
    bytes.resize(bytesRead);
    return bytes;
}

Result<void> PosixFolder::rename(const std::string &from, const std::string &to)
{
    if (::renameat(m_descriptor, from.c_str(), m_descriptor, to.c_str()) != 0)
        return failSystem("rename", from);
    return {};
}

Result<void> PosixFolder::remove(const std::string &name)
{
    if (::unlinkat(m_descriptor, name.c_str(), 0) != 0 && errno != ENOENT)
        return failSystem("unlink", name);
    return {};
}

Result<void> PosixFolder::sync()
{
    if (::fsync(m_descriptor) != 0)
        return failSystem("fsync", m_path);
    return {};
}

} // namespace acaciafork::consensus
