/// Measures what passing a request through an entry adds: one endpoint called directly and through
/// the path callers -> endpoints on one thread, in one run.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "ServingThread.h"
#include "standins/StandinRouter.h"

using namespace acaciafork;
using benchmarks::listenOnLoopback;
using benchmarks::ServingThread;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t bodyBytes = 128;
constexpr Duration warmUp = 500ms;

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
class Callers
{
public:
    /// @param[in] pace time from one request of a connection to its next; zero is as soon as
    /// answered
    Callers(net::Loop &loop, const net::Address &target, Duration pace)
        : m_loop(loop)
        , m_pace(pace)
        , m_client(loop, {})
        , m_target(target)
    { }

    void start(int connections)
    {
        for (int i = 0; i != connections; ++i)
            m_lanes.push_back(std::make_unique<Lane>(*this));
        if (m_pace == Duration::zero()) {
            for (const auto &it : m_lanes)
                it->send();
        }
    }

    /// Turns the loop until `end`, without sleeping, since its timers are coarser than the pace.
    void runUntil(Timestamp end)
    {
        Timestamp next = net::Loop::now();
        for (Timestamp now = next; now < end; now = net::Loop::now()) {
            m_loop.runOnce(Duration::zero());
            if (m_pace == Duration::zero() || now < next)
                continue;
            next += m_pace;
            const auto lane = std::find_if(m_lanes.begin(), m_lanes.end(),
                                           [](const auto &it) { return !it->isWaiting; });
            if (lane != m_lanes.end())
                (*lane)->send();
        }
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
            isWaiting = true;
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
            isWaiting = false;
            if (callers.m_pace == Duration::zero())
                callers.m_loop.post([this] { send(); });
        }
        Callers &callers;
        Timestamp sentAt;
        bool isGood = false;
        bool isWaiting = false;
    };

    net::Loop &m_loop;
    Duration m_pace;
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

/// Load on one path.
struct Load
{
    std::string_view name;
    int threads = 1;
    int connections = 1;
    Duration pace = Duration::zero();
};

Outcome run(const Load &load, const net::Address &target, Duration time,
            const ServingThread &watched)
{
    std::vector<std::vector<std::int64_t>> latencies(static_cast<std::size_t>(load.threads));
    std::atomic<std::uint64_t> failures = 0;
    std::vector<std::thread> callers;
    std::int64_t usedBefore = 0;
    for (auto &mineLatencies : latencies) {
        callers.emplace_back([&] {
            net::Loop loop;
            Callers mine(loop, target, load.pace);
            mine.start(load.connections / load.threads);
            const Timestamp begin = net::Loop::now();
            mine.runUntil(begin + warmUp);
            mine.reset();
            mine.runUntil(begin + warmUp + time);
            mineLatencies = mine.latencies;
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

void print(const Load &load, std::string_view name, const Outcome &it)
{
    std::cout << load.name << " | " << name << " | " << load.connections << " | "
              << static_cast<std::int64_t>(it.perSecond) << " | "
              << static_cast<std::int64_t>(it.perCore) << " | " << it.medianUs << " | " << it.p99Us
              << " | " << it.failures << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    const auto seconds = std::chrono::seconds(argc > 1 ? std::atoi(argv[1]) : 3);
    ServingThread endpoint("endpoint", serveEndpoint);
    ServingThread entry("entry", [&](net::Loop &loop, std::promise<std::uint16_t> &port) {
        standins::StandinRouter router(loop, endpoint.address());
        port.set_value(listenOnLoopback(
                [&](const net::Address &it) { return router.server().listen(it); }));
        loop.run();
    });

    const Load loads[] = {
        { .name = "one at a time" },
        { .name = "10,000/s", .connections = 32, .pace = 100us },
        { .name = "as many as go", .threads = 4, .connections = 64 },
    };
    std::cout << "load | path | connections | requests/s | requests/s per core | median us | p99 "
                 "us | failures\n";
    for (const auto &load : loads) {
        const Outcome direct = run(load, endpoint.address(), seconds, endpoint);
        print(load, "direct", direct);
        const Outcome proxied = run(load, entry.address(), seconds, entry);
        print(load, "through an entry", proxied);
        std::cout << "  added median " << proxied.medianUs - direct.medianUs
                  << " us, ratio to direct " << proxied.perSecond / direct.perSecond << "\n";
    }
    return 0;
}
