/// Stand-in for the platform's balancer.

#include "StandinBalancer.h"
#include "StandinOptions.h"

using namespace acaciafork;
namespace po = boost::program_options;

int main(int argc, char **argv)
{
    std::vector<std::string> entries;
    std::uint16_t port = 0;
    po::options_description options("Options");
    options.add_options()("entry", po::value(&entries)->multitoken()->required(),
                          "entry addresses, ip:port")("port", po::value(&port)->default_value(0),
                                                      "port, 0 for any");
    standins::parseOptions(
            argc, argv, "standin-balancer: passes connections on to entries whose /healthz is 200.",
            options);

    net::Loop loop;
    standins::StandinBalancer balancer(loop, standins::parseAddresses(entries));
    standins::printListening(standins::listenOrExit(
            port, [&](const net::Address &address) { return balancer.listen(address); }));
    loop.onSignal([&](int) { loop.stop(); });
    loop.run();
    return 0;
}
