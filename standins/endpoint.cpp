/// Stand-in for one endpoint of a service.

#include <iostream>

#include "StandinEndpoint.h"
#include "StandinOptions.h"

using namespace acaciafork;
namespace po = boost::program_options;

int main(int argc, char **argv)
{
    standins::StandinEndpointSettings settings;
    endpoints::Announcement &it = settings.announcement;
    std::vector<std::string> entries;
    std::uint16_t port = 0;
    std::int64_t serviceUs = 5'000;
    std::int64_t delayMs = 2'000;
    po::options_description options("Options");
    options.add_options()("entry", po::value(&entries)->multitoken()->required(),
                          "entry addresses, ip:port")(
            "id", po::value(&it.endpoint.value)->required(),
            "endpoint id")("service", po::value(&it.service.value)->required(), "service name")(
            "zone", po::value(&it.zone.value)->default_value("a"),
            "availability zone")("rack", po::value(&it.rack.value)->default_value("r1"), "rack")(
            "port", po::value(&port)->default_value(0), "port, 0 for any")(
            "slots", po::value(&it.slots)->default_value(8), "requests at one time")(
            "connections", po::value(&it.connections)->default_value(64),
            "connections at one time")("service-us", po::value(&serviceUs)->default_value(5'000),
                                       "mean work for a request")(
            "distribution", po::value(&settings.distribution)->default_value("constant"),
            "constant, uniform or exponential")("answer-bytes",
                                                po::value(&settings.answerBytes)->default_value(0),
                                                "least size of an answer")(
            "cross", po::value(&settings.cross)->default_value(0), "share of answers crossed")(
            "delay", po::value(&settings.delay)->default_value(0), "share of answers delayed")(
            "delay-ms", po::value(&delayMs)->default_value(2'000), "how late a delayed answer is")(
            "truncate", po::value(&settings.truncate)->default_value(0),
            "share of answers cut short")("repeat", po::value(&settings.repeat)->default_value(0),
                                          "share of answers sent twice")(
            "seed", po::value(&settings.seed)->default_value(1), "seed of all that is drawn");
    standins::parseOptions(
            argc, argv,
            "standin-endpoint: a fake endpoint. GET /standin/counts shows what it counted.",
            options);
    settings.meanServiceTime = Duration(serviceUs);
    settings.delayTime = std::chrono::milliseconds(delayMs);

    net::Loop loop;
    net::HttpClient client(loop, {});
    standins::StandinReporter reporter(client, standins::parseAddresses(entries));
    standins::StandinEndpoint endpoint(loop, reporter, settings);
    standins::printListening(standins::listenOrExit(
            port, [&](const net::Address &address) { return endpoint.start(address); }));
    loop.onSignal([&](int) { endpoint.leave([&] { loop.stop(); }); });
    loop.run();
    return 0;
}
