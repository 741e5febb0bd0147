#include "acaciafork/consensus/GroupWriterThread.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

#include "acaciafork/core/Core.h"

namespace acaciafork::consensus {

GroupWriterThread::GroupWriterThread()
{
    const int rc = ::pipe2(m_pipe, O_CLOEXEC | O_NONBLOCK);
    ACACIAFORK_ASSERT(rc == 0);
    m_thread = std::thread([this] { run(); });
}

GroupWriterThread::~GroupWriterThread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isEnding = true;
    }
    m_wake.notify_one();
    m_thread.join();
    ::close(m_pipe[0]);
    ::close(m_pipe[1]);
}

void GroupWriterThread::write(std::shared_ptr<StorageFile> file, std::string group)
{
    {
        const std::lock_guard lock(m_mutex);
        ACACIAFORK_ASSERT(m_file == nullptr && !m_outcome);
        m_file = std::move(file);
        m_group = std::move(group);
    }
    m_wake.notify_one();
}

std::optional<GroupOutcome> GroupWriterThread::takeOutcome()
{
    const std::lock_guard lock(m_mutex);
    if (!m_outcome)
        return std::nullopt;
    char byte = 0;
    [[maybe_unused]] const ssize_t n = ::read(m_pipe[0], &byte, 1);
    return std::exchange(m_outcome, std::nullopt);
}

void GroupWriterThread::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_wake.wait(lock, [this] { return m_file != nullptr || m_isEnding; });
        if (m_file == nullptr)
            return;
        const std::string group = std::move(m_group);
        lock.unlock();
        // Only this thread resets the file.
        const GroupOutcome outcome = writeGroup(m_file.get(), group);
        lock.lock();
        m_file.reset();
        m_outcome = outcome;
        const char byte = 0;
        [[maybe_unused]] const ssize_t n = ::write(m_pipe[1], &byte, 1);
    }
}

} // namespace acaciafork::consensus
