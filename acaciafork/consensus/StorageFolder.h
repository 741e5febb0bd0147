#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/core/Failure.h"

namespace acaciafork::consensus {

/// An open file in a data folder. Calls fail with Full if the disk has no space left, else with
/// Storage.
class StorageFile
{
public:
    virtual ~StorageFile() = default;

    /// Appends the bytes. If this fails, any part of them may have been written.
    virtual Result<void> append(std::string_view bytes) = 0;
    /// Returns when all data written so far is durable.
    virtual Result<void> sync() = 0;
    /// Truncates the file to `size` bytes.
    virtual Result<void> truncate(std::uint64_t size) = 0;
};

/// The data folder of one member. Unless stated otherwise, calls fail with Full if the disk has no
/// space left, else with Storage.
class StorageFolder
{
public:
    virtual ~StorageFolder() = default;

    /// Locks the folder against other processes for the lifetime of this object. Fails with
    /// Conflict if another process holds the lock.
    virtual Result<void> lock() = 0;
    /// Returns the names of all files, sorted.
    virtual Result<std::vector<std::string>> list() = 0;
    /// Opens a file for appending and creates it if it does not exist.
    virtual Result<std::unique_ptr<StorageFile>> openFile(const std::string &name) = 0;
    /// Size of a file in bytes.
    virtual Result<std::uint64_t> size(const std::string &name) = 0;
    /// Reads at most `length` bytes of a file, starting at `offset`.
    virtual Result<std::string> read(const std::string &name, std::uint64_t offset,
                                     std::uint64_t length) = 0;
    /// Renames a file; replaces an existing file with the new name.
    virtual Result<void> rename(const std::string &from, const std::string &to) = 0;
    /// Removes a file if it exists.
    virtual Result<void> remove(const std::string &name) = 0;
    /// Returns when all file creations, renames and removals so far are durable.
    virtual Result<void> sync() = 0;
};

} // namespace acaciafork::consensus
