#pragma once

namespace acaciafork::routing::bench {

/// Cost of routing decisions at an entry with credit at many endpoints.
struct DecisionCost
{
    int workers = 0;
    /// From the arrival of a request to its StartAttempt command, in nanoseconds.
    double medianNs = 0;
    double p99Ns = 0;
};

/// Measures the cost of a routing decision at one size.
DecisionCost measureDecisionCost(int workers);

} // namespace acaciafork::routing::bench
