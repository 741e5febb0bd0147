#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "acaciafork/core/Time.h"

struct st_h2o_evloop_t;
struct st_h2o_socket_t;

namespace acaciafork::net {

/// Handle of a timer; a default one names none.
struct TimerId
{
    std::uint64_t value = 0;
    /// True unless the id names no timer.
    explicit operator bool() const { return value != 0; }
};

/// Handle of a watched descriptor; a default one names none.
struct WatchId
{
    st_h2o_socket_t *socket = nullptr;
};

/// The one event loop of a process, over h2o's. Everything on it runs on the thread of run().
class Loop
{
public:
    /// What the loop calls.
    using Function = std::function<void()>;

    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// The monotonic clock, read now.
    [[nodiscard]] static Timestamp now();

    /// Microseconds since the machine started, the time for which it was suspended included.
    [[nodiscard]] static std::int64_t bootMicroseconds();

    /// Microseconds since 1970 by the wall clock, for time lines only.
    [[nodiscard]] static std::int64_t wallMicroseconds();

    /// Calls `fn` once, not before `delay` has passed.
    TimerId after(Duration delay, Function fn);

    /// Calls `fn` again and again, `period` apart.
    TimerId every(Duration period, Function fn);

    /// Forgets a timer, also from within its own call; an id that has fired is no error.
    void cancel(TimerId timer);

    /// Calls `fn` each time `fd` is readable. The descriptor stays the caller's own.
    WatchId watchReadable(int fd, Function fn);

    /// Ends a watch; the descriptor stays open.
    void unwatch(WatchId watch);

    /// Calls `fn` in the next turn.
    void post(Function fn);

    /// Calls `fn` in the loop when the process gets SIGTERM, SIGINT or SIGHUP. One loop of a
    /// process only.
    void onSignal(std::function<void(int)> fn);

    /// Calls `fn` at the end of each turn, after all that was ready has run.
    void onTurnEnd(Function fn);

    /// Runs turns until stop().
    void run();

    /// Runs one turn that waits at most `most` for something to do.
    void runOnce(Duration most);

    /// Ends run() after the current turn.
    void stop() { m_isStopped = true; }

    /// The loop of the h2o library beneath.
    [[nodiscard]] st_h2o_evloop_t *native() const { return m_native; }

private:
    struct Timer
    {
        Timestamp at;
        Duration period;
        Function fn;
    };
    struct Watch;

    TimerId addTimer(Duration delay, Duration period, Function fn);
    void runPosted();
    void runTimers();
    [[nodiscard]] Duration timeToNextTimer() const;

    st_h2o_evloop_t *m_native;
    bool m_isStopped = false;
    std::uint64_t m_lastTimer = 0;
    std::map<std::pair<Timestamp, std::uint64_t>, std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, Timer> m_timers;
    std::vector<Function> m_posted;
    std::vector<Function> m_turnEnd;
    std::unordered_map<st_h2o_socket_t *, std::unique_ptr<Watch>> m_watches;
    std::vector<std::unique_ptr<Watch>> m_endedWatches;
    int m_signalPipe[2] = { -1, -1 };
};

} // namespace acaciafork::net
