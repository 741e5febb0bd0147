#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "acaciafork/core/Failure.h"
#include "acaciafork/net/Address.h"
#include "acaciafork/net/Loop.h"
#include "acaciafork/net/TcpStream.h"

namespace acaciafork::net {

/// Listening socket for plain TCP connections.
class TcpListener
{
public:
    /// Gets each accepted connection.
    using Handler = std::function<void(std::unique_ptr<TcpStream>)>;

    TcpListener(Loop &loop, Handler handler);
    ~TcpListener();
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// Listens; port 0 lets the system choose.
    /// @return the port
    Result<std::uint16_t> listen(const Address &address);

private:
    void accept();
    void pause();

    Loop &m_loop;
    Handler m_handler;
    int m_fd = -1;
    WatchId m_watch;
    TimerId m_resume;
};

/// Opens a listening socket that does not block.
/// @param[in,out] port the port wanted, then the port bound
/// @return its descriptor; fails with Failure Unreachable or InvalidArgument
Result<int> openListeningSocket(const Address &address, std::uint16_t *port);

} // namespace acaciafork::net
