#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/operators/client/Transport.h"

namespace acaciafork::operators {

/// Settings of a ControlClient.
struct ControlClientSettings
{
    /// Addresses of operators' interfaces, tried in turn.
    std::vector<std::string> addresses;
    std::string token;
    /// Most rounds over all addresses.
    int rounds = 10;
    /// Pause between two rounds; an election is over within a few of them.
    Duration pause = std::chrono::milliseconds(500);
};

/// Failure type: the control group refused a request; the body is its JSON answer.
struct Refusal
{
    Failure failure;
    std::string body;
};

/// Client of the operators' interface. A request whose answer is lost, or that no leader could
/// take, goes to the next address unchanged: its request id makes the repeat harmless.
class ControlClient
{
public:
    /// @param[in] sleep waits; replaced in tests
    ControlClient(ControlClientSettings settings, Transport &transport,
                  std::function<void(Duration)> sleep);

    /// Sends a request, whose path is below the prefix, and gives the JSON answer.
    /// Fails with Refusal, or with Failure when no address gave an answer.
    Result<boost::json::value> call(const std::string &method, const std::string &path,
                                    const std::string &body = {});

    /// Sends a request to one address only, once.
    Result<boost::json::value> callAt(const std::string &address, const std::string &method,
                                      const std::string &path, const std::string &body = {});

private:
    ControlClientSettings m_settings;
    Transport &m_transport;
    std::function<void(Duration)> m_sleep;
};

} // namespace acaciafork::operators
