#include "NetFixtures.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "acaciafork/net/H2o.h"

namespace acaciafork::net::test {

RawServer::RawServer(Loop &loop, Script script)
    : m_loop(loop)
    , m_script(std::move(script))
    , m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto *bytes = reinterpret_cast<sockaddr *>(&address);
    REQUIRE(::bind(m_fd, bytes, length) == 0);
    REQUIRE(::listen(m_fd, 64) == 0);
    REQUIRE(::getsockname(m_fd, bytes, &length) == 0);
    m_port = ntohs(address.sin_port);
    m_watch = m_loop.watchReadable(m_fd, [this] { accept(); });
}

RawServer::~RawServer()
{
    m_loop.unwatch(m_watch);
    ::close(m_fd);
}

void RawServer::accept()
{
    const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
        return;
    m_streams.push_back(
            std::make_unique<TcpStream>(h2o_evloop_socket_create(m_loop.native(), fd, 0)));
    TcpStream *stream = m_streams.back().get();
    auto head = std::make_shared<std::string>();
    stream->onRead([this, stream, head](std::string_view bytes) {
        head->append(bytes);
        const auto end = head->find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        const std::string one = head->substr(0, end + 4);
        head->clear();
        m_script(*stream, one);
    });
}

} // namespace acaciafork::net::test
