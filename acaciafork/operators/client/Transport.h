#pragma once

#include <string>

#include "acaciafork/core/Failure.h"

namespace acaciafork::operators {

/// One HTTP request of the operators' client.
struct ClientRequest
{
    std::string method;
    /// Path with prefix and query.
    std::string path;
    /// Bearer token.
    std::string token;
    std::string body;
};

/// Answer to a ClientRequest.
struct ClientReply
{
    int status = 0;
    std::string body;
};

/// Carries one request to one address. A fake stands in for it in tests.
class Transport
{
public:
    virtual ~Transport() = default;

    /// Sends a request and waits for the answer.
    /// @param[in] address host:port, the host by IP number
    /// Fails with Failure: Unreachable when nothing can have been done, Timeout when that is not
    /// known, Protocol when the answer is no HTTP.
    virtual Result<ClientReply> send(const std::string &address, const ClientRequest &request) = 0;
};

} // namespace acaciafork::operators
