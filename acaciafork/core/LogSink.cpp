#include "acaciafork/core/LogSink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

#include <spdlog/fmt/fmt.h>

namespace acaciafork {
namespace {

/// A pipe that is ready for writing takes this much without blocking (PIPE_BUF).
constexpr std::size_t pieceBytes = 4096;

} // namespace

void LogSink::sink_it_(const spdlog::details::log_msg &message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (m_waiting.size() + line.size() > mostWaiting) {
        ++m_dropped;
        return;
    }
    m_waiting.append(line.data(), line.size());
    if (m_waiting.size() >= pieceBytes)
        writePiece(pieceBytes);
}

void LogSink::flush_()
{
    while (!m_waiting.empty() && writePiece(std::min(pieceBytes, m_waiting.size()))) { }
    if (m_waiting.empty() && m_dropped != m_droppedTold) {
        m_droppedTold = m_dropped;
        const std::string text = fmt::format("event=log-lines-dropped total={}", m_dropped);
        spdlog::memory_buf_t line;
        formatter_->format({ "log", spdlog::level::warn, text }, line);
        m_waiting.assign(line.data(), line.size());
    }
}

bool LogSink::writePiece(std::size_t length)
{
    pollfd state { .fd = m_fd, .events = POLLOUT, .revents = 0 };
    if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
        return false;
    const ssize_t n = ::write(m_fd, m_waiting.data(), length);
    if (n <= 0)
        return false;
    m_waiting.erase(0, static_cast<std::size_t>(n));
    return true;
}

} // namespace acaciafork
