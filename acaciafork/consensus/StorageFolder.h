#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/core/Failure.h"

namespace acaciafork::consensus {

/// One open file of a data folder. Failures are Storage, or Full when the disk has no room.
class StorageFile
{
public:
    virtual ~StorageFile() = default;

    /// Writes at the end. After a failure any part of the bytes may stand there.
    virtual Result<void> append(std::string_view bytes) = 0;
    /// Returns once everything written is durable.
    virtual Result<void> sync() = 0;
    /// Cuts the file to `size` bytes.
    virtual Result<void> truncate(std::uint64_t size) = 0;
};

/// The data folder of one member. Failures are Storage, or Full when the disk has no room.
class StorageFolder
{
public:
    virtual ~StorageFolder() = default;

    /// Locks the folder against other processes for the lifetime of this object. Fails with
    /// Conflict when another one holds it.
    virtual Result<void> lock() = 0;
    /// Names of the files, sorted.
    virtual Result<std::vector<std::string>> list() = 0;
    /// Opens a file for appending; makes it when there is none.
    virtual Result<std::unique_ptr<StorageFile>> openFile(const std::string &name) = 0;
    /// Size of a file in bytes.
    virtual Result<std::uint64_t> size(const std::string &name) = 0;
    /// At most `length` bytes of a file from `offset` on.
    virtual Result<std::string> read(const std::string &name, std::uint64_t offset,
                                     std::uint64_t length) = 0;
    /// Gives a file a new name, replacing what had it.
    virtual Result<void> rename(const std::string &from, const std::string &to) = 0;
    /// Removes a file.
    virtual Result<void> remove(const std::string &name) = 0;
    /// Returns once new, renamed and removed names are durable.
    virtual Result<void> sync() = 0;
};

} // namespace acaciafork::consensus
