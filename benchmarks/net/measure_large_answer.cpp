/// Measures the memory of an entry while a large answer passes to a slow caller.

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <memory>

#include "ServingThread.h"
#include "standins/StandinRouter.h"

using namespace acaciafork;
using benchmarks::listenOnLoopback;
using benchmarks::ServingThread;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t pieceBytes = 64UL * 1024;
constexpr std::size_t megabyte = 1024UL * 1024;
// The caller stops for this long after each megabyte.
constexpr Duration callerPause = 3ms;

/// Resident memory of this process, in bytes.
std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// Writes an answer of that length as fast as it leaves.
void stream(const std::shared_ptr<net::HttpExchange> &http, std::size_t whole)
{
    const std::string attempt(http->header(endpoints::attemptHeader));
    const net::Header header { .name = endpoints::attemptHeader, .value = attempt };
    auto left = std::make_shared<std::size_t>(whole);
    const auto writeOn = [left, it = http.get()] {
        static const std::string piece(pieceBytes, 'p');
        while (*left != 0 && it->backlog() == 0) {
            it->write(piece);
            *left -= pieceBytes;
        }
        if (*left == 0)
            it->finish();
    };
    http->onDrained(writeOn);
    http->begin(200, { &header, 1 }, whole);
    writeOn();
}

/// Caller that reads a megabyte and stops for a while.
struct SlowCaller : net::HttpCallSink
{
    explicit SlowCaller(net::Loop &aLoop)
        : loop(aLoop)
    { }
    bool onHead(const net::HttpHead &) override { return true; }
    void onBody(std::string_view bytes) override
    {
        received += bytes.size();
        sincePause += bytes.size();
        most = std::max(most, residentBytes());
        if (sincePause < megabyte)
            return;
        sincePause = 0;
        call->pause();
        loop.after(callerPause, [this] { call->resume(); });
    }
    void onEnd(const net::CallEnd &callEnd) override
    {
        end = callEnd;
        loop.stop();
    }
    net::Loop &loop;
    std::shared_ptr<net::HttpCall> call;
    std::size_t received = 0;
    std::size_t sincePause = 0;
    std::size_t most = 0;
    net::CallEnd end;
};

} // namespace

int main(int argc, char **argv)
{
    const std::size_t whole =
            static_cast<std::size_t>(argc > 1 ? std::atoi(argv[1]) : 1'024) * megabyte;
    ServingThread endpoint("endpoint", [whole](net::Loop &loop, std::promise<std::uint16_t> &port) {
        net::HttpServer server(loop, {}, [whole](const auto &it) { stream(it, whole); });
        port.set_value(listenOnLoopback([&](const net::Address &it) { return server.listen(it); }));
        loop.run();
    });
    std::atomic<std::size_t> mostBacklog = 0;
    ServingThread entry("entry", [&](net::Loop &loop, std::promise<std::uint16_t> &port) {
        standins::StandinRouter router(loop, endpoint.address());
        loop.every(1ms, [&] { mostBacklog = router.mostBacklog(); });
        port.set_value(listenOnLoopback(
                [&](const net::Address &it) { return router.server().listen(it); }));
        loop.run();
    });

    net::Loop loop;
    net::HttpClient client(loop, {});
    SlowCaller caller(loop);
    const std::size_t before = residentBytes();
    caller.call = client.start(
            { .address = entry.address(), .target = "/svc/large", .timeout = 600s }, caller);
    loop.run();
    std::cout
            << "answer MB | whole | memory before KB | most memory KB | most held by the entry KB\n"
            << caller.received / megabyte << " | " << (caller.end.failure ? "no" : "yes") << " | "
            << before / 1024 << " | " << caller.most / 1024 << " | " << mostBacklog / 1024 << "\n";
    return caller.end.failure ? 1 : 0;
}
