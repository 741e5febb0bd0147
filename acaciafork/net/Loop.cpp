#include "acaciafork/net/Loop.h"

#include <fcntl.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "acaciafork/core/Assert.h"
#include "acaciafork/net/H2o.h"

namespace acaciafork::net {

namespace {

// Longest wait of one turn, in milliseconds; the loop has nothing to poll, so any bound will do.
constexpr std::int64_t longestWaitMs = 60'000;

// Write end of the pipe that the signal handler of this process fills; -1 while there is none.
volatile int signalFd = -1;

void handleSignal(int number)
{
    const int saved = errno;
    const auto byte = static_cast<unsigned char>(number);
    [[maybe_unused]] const auto n = ::write(signalFd, &byte, 1);
    errno = saved;
}

} // namespace

/// A descriptor that the loop polls for its owner.
struct Loop::Watch
{
    Function fn;
    int fd;
};

Loop::Loop()
    : m_native(h2o_evloop_create())
{
    // A peer that is gone shows as a failed write, not as a signal.
    ::signal(SIGPIPE, SIG_IGN);
}

// The loop beneath is left to the process: h2o 2.2 does not take back what its sockets still hold.
Loop::~Loop()
{
    std::vector<st_h2o_socket_t *> sockets;
    for (const auto &[socket, watch] : m_watches)
        sockets.push_back(socket);
    for (auto *it : sockets)
        unwatch({ it });
    if (m_signalPipe[0] < 0)
        return;
    signalFd = -1;
    ::close(m_signalPipe[0]);
    ::close(m_signalPipe[1]);
}

Timestamp Loop::now()
{
    return Timestamp(std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now().time_since_epoch()));
}

std::int64_t Loop::bootMicroseconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Duration(std::chrono::seconds(time.tv_sec)).count() + time.tv_nsec / 1'000;
}

std::int64_t Loop::wallMicroseconds()
{
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
            .count();
}

TimerId Loop::after(Duration delay, Function fn)
{
    return addTimer(delay, Duration::zero(), std::move(fn));
}

TimerId Loop::every(Duration period, Function fn)
{
    ACACIAFORK_ASSERT(period > Duration::zero());
    return addTimer(period, period, std::move(fn));
}

TimerId Loop::addTimer(Duration delay, Duration period, Function fn)
{
    const std::uint64_t id = ++m_lastTimer;
    const Timestamp at = now() + delay;
    m_order.emplace(std::pair(at, id), id);
    m_timers.emplace(id, Timer { .at = at, .period = period, .fn = std::move(fn) });
    return { id };
}

void Loop::cancel(TimerId timer)
{
    const auto it = m_timers.find(timer.value);
    if (it == m_timers.end())
        return;
    m_order.erase({ it->second.at, timer.value });
    m_timers.erase(it);
}

WatchId Loop::watchReadable(int fd, Function fn)
{
    // The loop gets a descriptor of its own, which it may close with the watch.
    const int own = ::fcntl(fd, F_DUPFD_CLOEXEC, 0);
    ACACIAFORK_ASSERT(own >= 0);
    h2o_socket_t *socket = h2o_evloop_socket_create(m_native, own, H2O_SOCKET_FLAG_DONT_READ);
    auto watch = std::make_unique<Watch>(Watch { .fn = std::move(fn), .fd = fd });
    socket->data = watch.get();
    m_watches.emplace(socket, std::move(watch));
    h2o_socket_read_start(socket, [](h2o_socket_t *sock, const char *) {
        static_cast<Watch *>(sock->data)->fn();
    });
    return { socket };
}

void Loop::unwatch(WatchId watch)
{
    const auto it = m_watches.find(watch.socket);
    if (it == m_watches.end())
        return;
    h2o_socket_read_stop(watch.socket);
    h2o_socket_close(watch.socket);
    // The function may be the one that runs now: it goes with the turn.
    m_endedWatches.push_back(std::move(it->second));
    m_watches.erase(it);
}

void Loop::post(Function fn)
{
    m_posted.push_back(std::move(fn));
}

void Loop::onSignal(std::function<void(int)> fn)
{
    ACACIAFORK_ASSERT(signalFd < 0);
    const int rc = ::pipe2(m_signalPipe, O_CLOEXEC | O_NONBLOCK);
    ACACIAFORK_ASSERT(rc == 0);
    signalFd = m_signalPipe[1];
    watchReadable(m_signalPipe[0], [this, fn = std::move(fn)] {
        unsigned char byte = 0;
        while (::read(m_signalPipe[0], &byte, 1) == 1)
            fn(byte);
    });

    struct sigaction action = {};
    action.sa_handler = handleSignal;
    action.sa_flags = SA_RESTART;
    ::sigaction(SIGTERM, &action, nullptr);
    ::sigaction(SIGINT, &action, nullptr);
    ::sigaction(SIGHUP, &action, nullptr);
}

void Loop::onTurnEnd(Function fn)
{
    m_turnEnd.push_back(std::move(fn));
}

void Loop::run()
{
    m_isStopped = false;
    while (!m_isStopped)
        runOnce(std::chrono::milliseconds(longestWaitMs));
}

void Loop::runOnce(Duration most)
{
    // Wait in whole milliseconds, rounded up, so that a timer is due when the wait ends.
    Duration wait = std::min(most, timeToNextTimer());
    // What timers and posted functions have written or read is pending in h2o, which looks at it
    // only after it has waited.
    const bool isPending =
            m_native->_pending_as_client != nullptr || m_native->_pending_as_server != nullptr;
    if (isPending || !m_posted.empty())
        wait = Duration::zero();
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    h2o_evloop_run(m_native,
                   static_cast<std::int32_t>(std::clamp<std::int64_t>(ms, 0, longestWaitMs)));

    runTimers();
    runPosted();
    for (const auto &fn : m_turnEnd)
        fn();
    m_endedWatches.clear();
}

Duration Loop::timeToNextTimer() const
{
    if (m_order.empty())
        return std::chrono::milliseconds(longestWaitMs);
    return std::max(Duration::zero(), m_order.begin()->first.first - now());
}

void Loop::runTimers()
{
    const Timestamp at = now();
    while (!m_order.empty() && m_order.begin()->first.first <= at) {
        const std::uint64_t id = m_order.begin()->second;
        m_order.erase(m_order.begin());
        const auto it = m_timers.find(id);
        if (it->second.period == Duration::zero()) {
            const Function fn = std::move(it->second.fn);
            m_timers.erase(it);
            fn();
            continue;
        }
        // The next time stands before the call, so that the call may cancel it.
        it->second.at = at + it->second.period;
        m_order.emplace(std::pair(it->second.at, id), id);
        const Function fn = it->second.fn;
        fn();
    }
}

void Loop::runPosted()
{
    std::vector<Function> posted;
    posted.swap(m_posted);
    for (const auto &fn : posted)
        fn();
}

} // namespace acaciafork::net
