#pragma once

#include <condition_variable>
#include <mutex>
#include <thread>

#include "acaciafork/consensus/GroupWriter.h"

namespace acaciafork::consensus {

/// Writes groups on a thread of its own, which only appends and syncs. Calls come from one thread.
class GroupWriterThread : public GroupWriter
{
public:
    GroupWriterThread();
    /// Waits for the write in progress.
    ~GroupWriterThread() override;
    GroupWriterThread(const GroupWriterThread &) = delete;
    GroupWriterThread &operator=(const GroupWriterThread &) = delete;

    void write(std::shared_ptr<StorageFile> file, std::string group) override;
    std::optional<GroupOutcome> takeOutcome() override;

    /// Descriptor that is readable while an outcome waits to be taken.
    [[nodiscard]] int descriptor() const { return m_pipe[0]; }

private:
    void run();

    int m_pipe[2] = { -1, -1 };
    std::mutex m_mutex;
    std::condition_variable m_wake;
    /// @name Shared with the thread
    /// @{
    std::shared_ptr<StorageFile> m_file;
    std::string m_group;
    std::optional<GroupOutcome> m_outcome;
    bool m_isEnding = false;
    /// @}
    std::thread m_thread;
};

} // namespace acaciafork::consensus
