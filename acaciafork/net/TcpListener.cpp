#include "acaciafork/net/TcpListener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include <spdlog/spdlog.h>

#include "acaciafork/net/H2o.h"

namespace acaciafork::net {
namespace {

/// How long nothing is accepted once no descriptor was left: the descriptor stays readable, so the
/// loop would turn without a pause.
constexpr Duration acceptPause = std::chrono::milliseconds(100);

} // namespace

Result<int> openListeningSocket(const Address &address, std::uint16_t *port)
{
    sockaddr_storage storage;
    const auto length = toSocketAddress(address, &storage);
    if (length == 0)
        return fail(FailureKind::InvalidArgument, "not an IP number: " + address.host);

    const int fd = ::socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    auto *bytes = reinterpret_cast<sockaddr *>(&storage);
    socklen_t boundLength = sizeof(storage);
    if (fd < 0 || ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0
        || ::bind(fd, bytes, length) != 0 || ::listen(fd, SOMAXCONN) != 0
        || ::getsockname(fd, bytes, &boundLength) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(fd);
        return fail(FailureKind::Unreachable,
                    "cannot listen on " + address.toString() + ": " + reason);
    }
    *port = fromSocketAddress(bytes).port;
    return fd;
}

TcpListener::TcpListener(Loop &loop, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
{ }

TcpListener::~TcpListener()
{
    if (m_fd < 0)
        return;
    m_loop.cancel(m_resume);
    if (m_watch.socket != nullptr)
        m_loop.unwatch(m_watch);
    ::close(m_fd);
}

Result<std::uint16_t> TcpListener::listen(const Address &address)
{
    std::uint16_t port = 0;
    BOOST_LEAF_ASSIGN(m_fd, openListeningSocket(address, &port));
    m_watch = m_loop.watchReadable(m_fd, [this] { accept(); });
    return port;
}

void TcpListener::accept()
{
    const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        if (errno == EMFILE || errno == ENFILE)
            pause();
        return;
    }
    m_handler(std::make_unique<TcpStream>(h2o_evloop_socket_create(m_loop.native(), fd, 0)));
}

void TcpListener::pause()
{
    spdlog::error("event=accept-failed reason=no-descriptor");
    m_loop.unwatch(m_watch);
    m_watch = {};
    m_resume = m_loop.after(acceptPause,
                            [this] { m_watch = m_loop.watchReadable(m_fd, [this] { accept(); }); });
}

} // namespace acaciafork::net
