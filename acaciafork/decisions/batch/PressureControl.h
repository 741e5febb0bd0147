#pragma once

#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

/// Protects services from disturbance that placement did not avoid: first throttles the job that
/// disturbs most, then moves it away. Acts only on measurements that persist, one step at a time,
/// and evicts within a budget, so that noise in waves starts no storm.
class PressureControl
{
public:
    PressureControl(Model *model, TaskLifecycle *lifecycle);

    /// Use of a worker's tasks was taken in.
    void onUsage(Index worker, const UsageReport &report);

private:
    /// Worst latency of the reported services over that of running alone, less one.
    /// @return false when the report tells of no service
    static bool worstPressure(const UsageReport &report, double *worst);
    void updatePressure(Worker *worker, double pressure) const;
    void throttleOrEvict(Index worker);
    void relaxThrottle(Index worker);
    /// Job at the worker that disturbs its services most, or noIndex.
    [[nodiscard]] Index mostInterferingJob(Index worker) const;
    void throttle(Index task, std::int16_t permille);
    bool takeEvictionToken();

    Model *m_model;
    TaskLifecycle *m_lifecycle;
    /// Evictions that may still be made, and when one was added last.
    double m_evictionTokens;
    Timestamp m_refilledAt {};
};

} // namespace acaciafork::batch
