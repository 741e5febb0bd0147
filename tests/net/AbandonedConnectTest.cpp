#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <vector>

#include "NetFixtures.h"

namespace acaciafork::net::test {

using namespace std::chrono_literals;

namespace {

/// A connection that is begun and sends nothing.
int beginConnection(const sockaddr_in &to)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    (void)::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    return fd;
}

bool stands(int fd, int waitMs)
{
    pollfd it { .fd = fd, .events = POLLOUT };
    return ::poll(&it, 1, waitMs) == 1 && (it.revents & (POLLERR | POLLHUP)) == 0;
}

} // namespace

TEST_CASE("a request whose connection did not stand in time doesn't leave later")
{
    // The queue of the listener is full, as of a process that accepts nothing: the kernel drops
    // what comes and the caller's kernel tries again after 1, 3 and 7 s.
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
    REQUIRE(::listen(listener, 0) == 0);
    socklen_t length = sizeof(address);
    REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length) == 0);
    std::vector<int> fillers;
    bool isFull = false;
    while (!isFull && fillers.size() < 20) {
        fillers.push_back(beginConnection(address));
        isFull = !stands(fillers.back(), 150);
    }
    REQUIRE(isFull);

    Loop loop;
    HttpClient client(loop, { .connectTimeout = 500ms });
    RecordingSink byCall;
    client.start({ .address = { .host = "127.0.0.1", .port = ntohs(address.sin_port) },
                   .method = "POST",
                   .target = "/api/run-start",
                   .body = "{}",
                   .timeout = 400ms },
                 byCall);
    RecordingSink byConnect;
    client.start({ .address = { .host = "127.0.0.1", .port = ntohs(address.sin_port) },
                   .method = "POST",
                   .target = "/api/hold",
                   .body = "{}",
                   .timeout = 2300ms },
                 byConnect);
    runUntil(loop, [&] { return byCall.end && byConnect.end; });
    CHECK(byCall.end->phase == CallPhase::NotConnected);
    CHECK(byConnect.end->phase == CallPhase::NotConnected);

    // From now on everything is accepted, over the times of the retries.
    std::string received;
    std::vector<int> accepted;
    const Timestamp until = Loop::now() + 8s;
    while (Loop::now() < until) {
        loop.runOnce(20ms);
        for (int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK); fd >= 0;
             fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK))
            accepted.push_back(fd);
        for (const int fd : accepted) {
            std::array<char, 4096> bytes {};
            const ssize_t n = ::recv(fd, bytes.data(), bytes.size(), 0);
            if (n > 0)
                received.append(bytes.data(), static_cast<std::size_t>(n));
        }
    }
    // The filler that waited shows that the retries arrive.
    CHECK(stands(fillers.back(), 0));
    CHECK(accepted.size() == fillers.size());
    CHECK(received.empty());
    for (const int fd : accepted)
        ::close(fd);
    for (const int fd : fillers)
        ::close(fd);
    ::close(listener);
}

} // namespace acaciafork::net::test
