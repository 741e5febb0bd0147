#include "StandinOptions.h"

#include <cstdlib>
#include <iostream>

#include <boost/program_options/errors.hpp>
#include <boost/program_options/parsers.hpp>

namespace acaciafork::standins {

namespace po = boost::program_options;

po::variables_map parseOptions(int argc, char **argv, const std::string &purpose,
                               const po::options_description &options)
{
    po::variables_map values;
    try {
        po::options_description all;
        all.add(options).add_options()("help", "show this help");
        po::store(po::parse_command_line(argc, argv, all), values);
        if (values.count("help") != 0) {
            std::cout << purpose << "\n" << all;
            std::exit(0);
        }
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << argv[0] << ": " << error.what() << "\n";
        std::exit(2);
    }
    return values;
}

std::vector<net::Address> parseAddresses(const std::vector<std::string> &texts)
{
    std::vector<net::Address> addresses;
    for (const auto &it : texts) {
        leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(address, net::parseAddress(it));
                    addresses.push_back(address);
                    return {};
                },
                [](const Failure &failure) {
                    std::cerr << failure.detail << "\n";
                    std::exit(2);
                },
                [] { std::exit(2); });
    }
    return addresses;
}

std::uint16_t listenOrExit(std::uint16_t port,
                           const std::function<Result<std::uint16_t>(const net::Address &)> &listen)
{
    return leaf::try_handle_all(
            [&]() -> Result<std::uint16_t> {
                return listen({ .host = "127.0.0.1", .port = port });
            },
            [](const Failure &failure) {
                std::cerr << failure.detail << "\n";
                std::exit(1);
                return std::uint16_t(0);
            },
            [] {
                std::exit(1);
                return std::uint16_t(0);
            });
}

void printListening(std::uint16_t port)
{
    std::cout << "listening " << port << std::endl;
}

} // namespace acaciafork::standins
