/// Measures what passing a request through an entry adds: one endpoint called directly and through
/// the path callers -> endpoints on one thread, in one run.

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <future>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standins/StandinRouter.h"

using namespace acaciafork;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t bodyBytes = 128;
constexpr Duration warmUp = 500ms;

/// Processor time of the calling thread.
Duration threadTime()
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
    /// @param[in] serve runs on the thread: sets up, tells its port, and keeps its objects until
    /// the loop has ended
    explicit ServingThread(std::function<void(net::Loop &, std::promise<std::uint16_t> &)> serve)
        : m_thread([this, serve = std::move(serve)] {
            net::Loop loop;
            loop.every(1ms, [this, &loop] {
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

void serveEndpoint(net::Loop &loop, std::promise<std::uint16_t> &port)
{
    const std::string body(bodyBytes, 'b');
    net::HttpServer server(loop, {}, [&body](const std::shared_ptr<net::HttpExchange> &it) {
        const net::Header header { .name = endpoints::attemptHeader,
                                   .value = it->header(endpoints::attemptHeader) };
        it->answer(200, { &header, header.value.empty() ? 0U : 1U }, body);
    });
    port.set_value(listenOnLoopback([&](const net::Address &it) { return server.listen(it); }));
    loop.run();
}

/// Callers on one thread: each connection sends its next request when the last one is answered.
class Callers : net::HttpCallSink
{
public:
    Callers(net::Loop &loop, const net::Address &target)
        : m_loop(loop)
        , m_client(loop, {})
        , m_target(target)
    { }

    void start(int connections)
    {
        for (int i = 0; i != connections; ++i)
            m_lanes.push_back(std::make_unique<Lane>(*this));
        for (const auto &it : m_lanes)
            it->send();
    }

    void reset() { latencies.clear(); }

    std::vector<std::int64_t> latencies;
    std::uint64_t failures = 0;

private:
    struct Lane : net::HttpCallSink
    {
        explicit Lane(Callers &aCallers)
            : callers(aCallers)
        { }
        void send()
        {
            sentAt = net::Loop::now();
            callers.m_client.start(
                    { .address = callers.m_target, .target = "/svc/work", .timeout = 10s }, *this);
        }
        bool onHead(const net::HttpHead &head) override
        {
            isGood = head.status == 200;
            return true;
        }
        void onBody(std::string_view) override { }
        void onEnd(const net::CallEnd &end) override
        {
            callers.latencies.push_back((net::Loop::now() - sentAt).count());
            if (end.failure || !isGood)
                ++callers.failures;
            callers.m_loop.post([this] { send(); });
        }
        Callers &callers;
        Timestamp sentAt;
        bool isGood = false;
    };

    bool onHead(const net::HttpHead &) override { return true; }
    void onBody(std::string_view) override { }
    void onEnd(const net::CallEnd &) override { }

    net::Loop &m_loop;
    net::HttpClient m_client;
    net::Address m_target;
    std::vector<std::unique_ptr<Lane>> m_lanes;
};

/// What one load showed.
struct Outcome
{
    double perSecond = 0;
    std::int64_t medianUs = 0;
    std::int64_t p99Us = 0;
    std::uint64_t failures = 0;
    /// Requests for each second of processor time of the thread that was looked at.
    double perCore = 0;
};

Outcome load(const net::Address &target, int threads, int connections, Duration time,
             const ServingThread &watched)
{
    std::vector<std::vector<std::int64_t>> latencies(static_cast<std::size_t>(threads));
    std::atomic<std::uint64_t> failures = 0;
    std::vector<std::thread> callers;
    std::int64_t usedBefore = 0;
    for (std::size_t i = 0; i != latencies.size(); ++i) {
        callers.emplace_back([&, i] {
            net::Loop loop;
            Callers mine(loop, target);
            mine.start(connections / threads);
            loop.after(warmUp, [&] { mine.reset(); });
            loop.after(warmUp + time, [&] { loop.stop(); });
            loop.run();
            latencies[i] = mine.latencies;
            failures += mine.failures;
        });
    }
    std::this_thread::sleep_for(warmUp);
    usedBefore = watched.used;
    std::this_thread::sleep_for(time);
    const std::int64_t used = watched.used - usedBefore;
    for (auto &it : callers)
        it.join();

    std::vector<std::int64_t> all;
    for (const auto &it : latencies)
        all.insert(all.end(), it.begin(), it.end());
    std::sort(all.begin(), all.end());
    const double n = static_cast<double>(all.size());
    return { .perSecond = n * 1e6 / static_cast<double>(time.count()),
             .medianUs = all.empty() ? 0 : all[all.size() / 2],
             .p99Us = all.empty() ? 0 : all[all.size() * 99 / 100],
             .failures = failures,
             .perCore = used == 0 ? 0 : n * 1e6 / static_cast<double>(used) };
}

void print(std::string_view name, int connections, const Outcome &it)
{
    std::cout << name << " | " << connections << " | " << static_cast<std::int64_t>(it.perSecond)
              << " | " << static_cast<std::int64_t>(it.perCore) << " | " << it.medianUs << " | "
              << it.p99Us << " | " << it.failures << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    const auto seconds = std::chrono::seconds(argc > 1 ? std::atoi(argv[1]) : 3);
    ServingThread endpoint(serveEndpoint);
    ServingThread entry([&](net::Loop &loop, std::promise<std::uint16_t> &port) {
        standins::StandinRouter router(loop, endpoint.address());
        port.set_value(listenOnLoopback(
                [&](const net::Address &it) { return router.server().listen(it); }));
        loop.run();
    });

    std::cout << "path | connections | requests/s | requests/s per core | median us | p99 us | "
                 "failures\n";
    for (const int connections : { 1, 64 }) {
        const int threads = connections == 1 ? 1 : 4;
        const Outcome direct = load(endpoint.address(), threads, connections, seconds, endpoint);
        print("direct", connections, direct);
        const Outcome proxied = load(entry.address(), threads, connections, seconds, entry);
        print("through an entry", connections, proxied);
        std::cout << "added median " << proxied.medianUs - direct.medianUs
                  << " us, ratio to direct " << proxied.perSecond / direct.perSecond << "\n";
    }
    return 0;
}
