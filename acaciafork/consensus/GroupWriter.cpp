#include "acaciafork/consensus/GroupWriter.h"

#include <utility>

namespace acaciafork::consensus {

GroupOutcome appendGroup(StorageFile *file, std::string_view group)
{
    return leaf::try_handle_all(
            [&]() -> Result<GroupOutcome> {
                BOOST_LEAF_CHECK(file->append(group));
                return GroupOutcome::Synced;
            },
            [](const Failure &failure) {
                return failure.kind == FailureKind::Full ? GroupOutcome::DiskFull
                                                         : GroupOutcome::AppendFailed;
            },
            [] { return GroupOutcome::AppendFailed; });
}

GroupOutcome syncGroup(StorageFile *file)
{
    return leaf::try_handle_all(
            [&]() -> Result<GroupOutcome> {
                BOOST_LEAF_CHECK(file->sync());
                return GroupOutcome::Synced;
            },
            [] { return GroupOutcome::SyncFailed; });
}

GroupOutcome writeGroup(StorageFile *file, std::string_view group)
{
    const GroupOutcome appended = appendGroup(file, group);
    return appended == GroupOutcome::Synced ? syncGroup(file) : appended;
}

void InlineGroupWriter::write(std::shared_ptr<StorageFile> file, std::string group)
{
    m_outcome = writeGroup(file.get(), group);
}

std::optional<GroupOutcome> InlineGroupWriter::takeOutcome()
{
    return std::exchange(m_outcome, std::nullopt);
}

} // namespace acaciafork::consensus
