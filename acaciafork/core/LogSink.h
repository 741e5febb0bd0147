#pragma once

#include <cstdint>
#include <string>

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace acaciafork {

/// Writes lines to a descriptor without ever waiting for its reader. Lines are gathered and written
/// in pieces that a pipe with room takes whole; past a bound, new lines are dropped and counted.
class LogSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    /// Most bytes that wait for a slow reader.
    static constexpr std::size_t mostWaiting = std::size_t { 256 } * 1024;

    explicit LogSink(int fd)
        : m_fd(fd)
    { }

    /// Lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    bool writePiece(std::size_t length);

    int m_fd;
    std::string m_waiting;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedTold = 0;
};

} // namespace acaciafork
