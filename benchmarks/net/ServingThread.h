#pragma once

#include <pthread.h>
#include <sys/resource.h>

#include <atomic>
#include <cstdlib>
#include <functional>
#include <future>
#include <iostream>
#include <string>
#include <thread>

#include "acaciafork/net/Net.h"

namespace acaciafork::benchmarks {

/// Processor time of the calling thread.
inline Duration threadTime()
{
    rusage usage {};
    ::getrusage(RUSAGE_THREAD, &usage);
    const auto of = [](const timeval &it) {
        return std::chrono::seconds(it.tv_sec) + Duration(it.tv_usec);
    };
    return of(usage.ru_utime) + of(usage.ru_stime);
}

std::uint16_t
listenOnLoopback(const std::function<Result<std::uint16_t>(const net::Address &)> &listen)
{
    return leaf::try_handle_all(
            [&]() -> Result<std::uint16_t> { return listen({ .host = "127.0.0.1", .port = 0 }); },
            [] {
                std::cerr << "cannot listen\n";
                std::exit(1);
                return std::uint16_t(0);
            });
}

/// A loop on a thread of its own that serves until it is destroyed, and knows what it has used.
class ServingThread
{
public:
    /// @param[in] name what a profiler shows
    /// @param[in] serve runs on the thread: sets up, tells its port, and keeps its objects until
    /// the loop has ended
    ServingThread(const std::string &name,
                  std::function<void(net::Loop &, std::promise<std::uint16_t> &)> serve)
        : m_thread([this, name, serve = std::move(serve)] {
            ::pthread_setname_np(::pthread_self(), name.c_str());
            net::Loop loop;
            loop.every(std::chrono::milliseconds(1), [this, &loop] {
                used = threadTime().count();
                if (m_isEnding)
                    loop.stop();
            });
            serve(loop, m_port);
        })
        , m_address { .host = "127.0.0.1", .port = m_port.get_future().get() }
    { }

    ~ServingThread()
    {
        m_isEnding = true;
        m_thread.join();
    }

    /// Where it listens.
    [[nodiscard]] const net::Address &address() const { return m_address; }

    /// Processor time that the thread has used, in microseconds.
    std::atomic<std::int64_t> used = 0;

private:
    std::atomic<bool> m_isEnding = false;
    std::promise<std::uint16_t> m_port;
    std::thread m_thread;
    net::Address m_address;
};

} // namespace acaciafork::benchmarks
