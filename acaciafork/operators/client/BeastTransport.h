#pragma once

#include "acaciafork/core/Time.h"
#include "acaciafork/operators/client/Transport.h"

namespace acaciafork::operators {

/// HTTP/1.1 over TCP, one connection for each request; waits for each answer.
class BeastTransport final : public Transport
{
public:
    /// @param[in] timeout longest wait for connecting, and again for the answer
    explicit BeastTransport(Duration timeout)
        : m_timeout(timeout)
    { }

    Result<ClientReply> send(const std::string &address, const ClientRequest &request) override;

private:
    Duration m_timeout;
};

} // namespace acaciafork::operators
