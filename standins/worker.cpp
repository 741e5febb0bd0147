/// Stand-in for the workers of one rack.

#include <iostream>

#include <boost/json/serialize.hpp>

#include "StandinOptions.h"
#include "StandinWorker.h"

using namespace acaciafork;
namespace po = boost::program_options;

namespace {

std::string countsText(const std::vector<std::unique_ptr<standins::StandinWorker>> &workers)
{
    boost::json::array runs;
    boost::json::array endpoints;
    std::size_t running = 0;
    for (const auto &it : workers) {
        it->addCounts(&runs, &endpoints);
        running += it->running();
    }
    return boost::json::serialize(boost::json::object { { "running", running },
                                                        { "runs", std::move(runs) },
                                                        { "endpoints", std::move(endpoints) } });
}

} // namespace

int main(int argc, char **argv)
{
    workers::WorkerReport report;
    std::vector<std::string> entries;
    std::size_t count = 1;
    std::size_t broken = 0;
    std::uint16_t port = 0;
    po::options_description options("Options");
    options.add_options()("entry", po::value(&entries)->multitoken()->required(),
                          "entry addresses, ip:port")("rack",
                                                      po::value(&report.rack.value)->required(),
                                                      "rack; workers are <rack>-1, <rack>-2, ...")(
            "building", po::value(&report.building.value)->required(), "building")(
            "zone", po::value(&report.zone.value)->default_value("a"), "availability zone")(
            "workers", po::value(&count)->default_value(1), "workers in the rack")(
            "broken", po::value(&broken)->default_value(0), "of these, how many fail every task")(
            "millicores", po::value(&report.millicores)->default_value(32'000),
            "processors of each")("memory-mb", po::value(&report.memoryMb)->default_value(125'000),
                                  "memory of each")(
            "accelerators", po::value(&report.accelerators)->default_value(0),
            "accelerators of each")("port", po::value(&port)->default_value(0),
                                    "port of /standin/counts, 0 for any");
    standins::parseOptions(
            argc, argv,
            "standin-worker: fake workers of one rack. GET /standin/counts shows every run.",
            options);

    net::Loop loop;
    net::HttpClient client(loop, {});
    standins::StandinReporter reporter(client, standins::parseAddresses(entries));
    std::vector<std::unique_ptr<standins::StandinWorker>> workers;
    for (std::size_t i = 0; i != count; ++i) {
        report.worker = { report.rack.value + "-" + std::to_string(i + 1) };
        workers.push_back(std::make_unique<standins::StandinWorker>(loop, reporter, report));
        workers.back()->setBroken(i < broken);
        standins::listenOrExit(
                0, [&](const net::Address &address) { return workers.back()->start(address); });
    }

    net::HttpServer counts(loop, {}, [&](const std::shared_ptr<net::HttpExchange> &http) {
        http->answerJson(200, countsText(workers));
    });
    standins::printListening(standins::listenOrExit(
            port, [&](const net::Address &address) { return counts.listen(address); }));
    loop.onSignal([&](int) { loop.stop(); });
    loop.run();
    return 0;
}
