#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include "acaciafork/net/Net.h"

namespace acaciafork::standins {

/// Parses a command line. Prints the help or the fault, and ends the process, where there is one.
boost::program_options::variables_map
parseOptions(int argc, char **argv, const std::string &purpose,
             const boost::program_options::options_description &options);

/// Addresses of the texts; ends the process with a message where one is no address.
std::vector<net::Address> parseAddresses(const std::vector<std::string> &texts);

/// Starts listening on loopback; ends the process with a message where it cannot.
/// @param[in] listen called with the address, returns the port
std::uint16_t
listenOrExit(std::uint16_t port,
             const std::function<Result<std::uint16_t>(const net::Address &)> &listen);

/// Tells on standard output where the program listens.
void printListening(std::uint16_t port);

} // namespace acaciafork::standins
