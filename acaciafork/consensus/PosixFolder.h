#pragma once

#include "acaciafork/consensus/StorageFolder.h"

namespace acaciafork::consensus {

/// Data folder in a directory of a POSIX file system.
class PosixFolder : public StorageFolder
{
public:
    /// Opens the folder and creates it if it does not exist.
    static Result<std::unique_ptr<PosixFolder>> open(const std::string &path);

    PosixFolder(const PosixFolder &) = delete;
    PosixFolder &operator=(const PosixFolder &) = delete;
    ~PosixFolder() override;

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
    PosixFolder(std::string path, int descriptor);

    std::string m_path;
    int m_descriptor;
    int m_lockDescriptor = -1;
};

} // namespace acaciafork::consensus
