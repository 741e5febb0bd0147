#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "acaciafork/consensus/StorageFolder.h"

namespace acaciafork::consensus {

/// How the write of a group of records ended.
enum class GroupOutcome : std::uint8_t {
    Synced,
    DiskFull, ///< no space left; part of the group may be in the file
    AppendFailed, ///< the append failed for another reason
    SyncFailed, ///< it is unknown which pages reached the disk
};

/// @name Steps of a write
/// They touch only the file, so that any thread may call them.
/// @{
/// Synced stands for a whole append here.
GroupOutcome appendGroup(StorageFile *file, std::string_view group);
GroupOutcome syncGroup(StorageFile *file);
/// Both.
GroupOutcome writeGroup(StorageFile *file, std::string_view group);
/// @}

/// Writes groups of records, one at a time. The outcome may come later, so that whoever writes does
/// not have to wait for the disk.
class GroupWriter
{
public:
    virtual ~GroupWriter() = default;

    /// Begins to write. The outcome of the write before must have been taken.
    virtual void write(std::shared_ptr<StorageFile> file, std::string group) = 0;
    /// Outcome of the write, once it is over.
    virtual std::optional<GroupOutcome> takeOutcome() = 0;
};

/// Writes within the call.
class InlineGroupWriter : public GroupWriter
{
public:
    void write(std::shared_ptr<StorageFile> file, std::string group) override;
    std::optional<GroupOutcome> takeOutcome() override;

private:
    std::optional<GroupOutcome> m_outcome;
};

} // namespace acaciafork::consensus
