#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "acaciafork/core/Time.h"
#include "acaciafork/net/Address.h"

struct st_h2o_socket_t;

namespace acaciafork::net {

class Loop;

/// One TCP connection on the loop: two byte streams that end each on their own.
class TcpStream
{
public:
    /// Takes over a connected socket of the h2o library.
    explicit TcpStream(st_h2o_socket_t *socket);
    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    /// Connects; `fn` gets the stream, or null when the peer could not be reached.
    /// @param[in] timeout longest wait for the connection; zero leaves it to the kernel
    static void connect(Loop &loop, const Address &address,
                        std::function<void(std::unique_ptr<TcpStream>)> fn, Duration timeout = {});

    /// Breaks the connection when the peer acknowledges nothing for so long, whether bytes are on
    /// their way or none.
    void setPeerTimeout(Duration timeout);

    /// Starts reading. `fn` gets bytes as they come; an empty view is the end of what the peer
    /// sends.
    void onRead(std::function<void(std::string_view)> fn);

    /// `fn` is called once when the connection is broken; nothing is called after it.
    void onBroken(std::function<void()> fn) { m_onBroken = std::move(fn); }

    /// `fn` is called each time that all written bytes have been handed to the kernel.
    void onDrained(std::function<void()> fn) { m_onDrained = std::move(fn); }

    /// Queues a copy of the bytes for sending.
    void write(std::string_view bytes);

    /// Sends the bytes within this call as far as the kernel takes them, and queues the rest.
    void sendNow(std::string_view bytes);

    /// Bytes written that the kernel has not taken yet.
    [[nodiscard]] std::size_t backlog() const { return m_inFlight.size() + m_pending.size(); }

    /// Stops reading, so that the peer is slowed down.
    void pauseReading();

    /// Reads on after pauseReading().
    void resumeReading();

    /// Ends our direction once the backlog is sent.
    void endWrite();

    /// Closes at once and drops the backlog.
    void close();

    /// Closes with a TCP reset, so that the peer cannot take what it got for complete.
    void reset();

    /// True until close(), reset() or a broken connection.
    [[nodiscard]] bool isOpen() const { return m_socket != nullptr; }

    /// Bytes read so far.
    [[nodiscard]] std::uint64_t bytesRead() const { return m_bytesRead; }

    /// Bytes written so far, backlog included.
    [[nodiscard]] std::uint64_t bytesWritten() const { return m_bytesWritten; }

private:
    static void handleRead(st_h2o_socket_t *socket, const char *error);
    static void handleWritten(st_h2o_socket_t *socket, const char *error);
    void deliver();
    void flush();
    void breakOff();

    st_h2o_socket_t *m_socket;
    bool m_readEnded = false;
    bool m_isPaused = false;
    bool m_endWanted = false;
    std::uint64_t m_bytesRead = 0;
    std::uint64_t m_bytesWritten = 0;
    std::string m_inFlight;
    std::string m_pending;
    std::function<void(std::string_view)> m_onRead;
    std::function<void()> m_onBroken;
    std::function<void()> m_onDrained;
    /// Tells code further up the stack that a call-out has destroyed this object.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace acaciafork::net
