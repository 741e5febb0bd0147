/// Stand-in for the callers of one service.

#include <iostream>

#include "StandinCaller.h"
#include "StandinOptions.h"

using namespace acaciafork;
namespace po = boost::program_options;

int main(int argc, char **argv)
{
    standins::StandinCallerSettings settings;
    std::string target;
    double seconds = 0;
    po::options_description options("Options");
    options.add_options()("target", po::value(&target)->required(),
                          "address of the balancer or an entry, ip:port")(
            "service", po::value(&settings.service)->required(), "service to call")(
            "path", po::value(&settings.path)->default_value("/work"), "path below the service")(
            "rate", po::value(&settings.requestsPerSecond)->default_value(100),
            "requests a second")("seconds", po::value(&seconds)->default_value(0),
                                 "how long; 0 until SIGTERM")(
            "non-idempotent", po::value(&settings.nonIdempotentShare)->default_value(0.2),
            "share of non-idempotent requests")(
            "timeout-ms", po::value(&settings.timeoutMs)->default_value(10'000),
            "time for each request")(
            "in-progress", po::value(&settings.mostInProgress)->default_value(1'000),
            "most at one time")("key-prefix", po::value(&settings.keyPrefix)->default_value("k"),
                                "prefix of idempotency keys")(
            "seed", po::value(&settings.seed)->default_value(1), "seed of all that is drawn");
    standins::parseOptions(
            argc, argv,
            "standin-caller: sends requests at a fixed rate, checks each answer, and "
            "prints its counts as JSON at the end.",
            options);
    settings.target = standins::parseAddresses({ target }).front();

    net::Loop loop;
    standins::StandinCaller caller(loop, settings);
    caller.start();
    std::cout << "started" << std::endl;
    const auto finish = [&] { caller.finish([&] { loop.stop(); }); };
    loop.onSignal([&](int) { finish(); });
    if (seconds > 0)
        loop.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
                   finish);
    loop.run();
    std::cout << caller.countsText() << std::endl;
    return 0;
}
