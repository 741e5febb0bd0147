#pragma once

#include <memory>
#include <string>

#include "acaciafork/callers/CallerExchange.h"
#include "acaciafork/callers/CallerRequest.h"

namespace acaciafork::callers {

/// What /healthz says.
struct HealthAnswer
{
    bool isReady = false;
    /// One word: ready, draining, stale or starting.
    std::string state;
};

/// What stands behind the callers' interface.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;

    /// A request to a service. The views of `request` are valid while `exchange` is open.
    virtual void onCallerRequest(const CallerRequest &request,
                                 std::shared_ptr<CallerExchange> exchange) = 0;

    /// A call under /acaciafork/v1/, to be answered at any time.
    virtual void onApi(std::shared_ptr<net::HttpExchange> exchange) = 0;

    /// State for the balancer.
    virtual HealthAnswer health() = 0;

    /// Counters in the Prometheus text format.
    virtual std::string metrics() = 0;
};

} // namespace acaciafork::callers
