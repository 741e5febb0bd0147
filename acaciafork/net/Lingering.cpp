#include "acaciafork/net/Lingering.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace acaciafork::net {

namespace {

// How long a connection is read on after its answer.
constexpr Duration lingerTime = std::chrono::seconds(1);

/// Reads off what is there; true at the end of the stream.
bool drainInput(int fd)
{
    std::array<char, 65'536> buf;
    for (;;) {
        const auto n = ::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n <= 0)
            return n == 0;
    }
}

} // namespace

Lingering::~Lingering()
{
    for (const auto &it : m_items)
        ::close(it.fd);
}

void Lingering::answer(int fd, std::string_view bytes, Timestamp now)
{
    // The answer is short and the first on this connection, so the kernel takes it whole.
    [[maybe_unused]] const auto n =
            ::send(fd, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    add(fd, now);
}

void Lingering::add(int fd, Timestamp now)
{
    const int own = ::fcntl(fd, F_DUPFD_CLOEXEC, 0);
    if (own < 0)
        return;
    ::shutdown(own, SHUT_WR);
    m_items.push_back({ .fd = own, .until = now + lingerTime });
}

void Lingering::tick(Timestamp now)
{
    std::erase_if(m_items, [now](const Item &it) {
        if (!drainInput(it.fd) && now < it.until)
            return false;
        ::close(it.fd);
        return true;
    });
}

} // namespace acaciafork::net
