#pragma once

#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

/// Protects services from interference that placement did not avoid. Throttles the most interfering
/// job first and evicts it if that is not enough. Acts only on measurements that persist, takes one
/// step at a time and limits the rate of evictions, so that bursts of measurement noise do not
/// cause a storm of evictions.
class PressureControl
{
public:
    PressureControl(Model *model, TaskLifecycle *lifecycle);

    /// Handles a usage report that UsageReports accepted for the worker.
    void onUsage(Index worker, const UsageReport &report);

private:
    /// Finds the worst pressure among the reported services: latency relative to running alone,
    /// less one.
    /// @return false when the report contains no service with a measured latency
    static bool worstPressure(const UsageReport &report, double *worst);
    void updatePressure(Worker *worker, double pressure) const;
    void throttleOrEvict(Index worker);
    void relaxThrottle(Index worker);
    /// Returns the job on the worker that slows down its services most, or noIndex.
    [[nodiscard]] Index mostInterferingJob(Index worker) const;
    void throttle(Index task, std::int16_t permille);
    bool takeEvictionToken();

    Model *m_model;
    TaskLifecycle *m_lifecycle;
    /// Token bucket for evictions: available tokens, and when they were last refilled.
    double m_evictionTokens;
    Timestamp m_refilledAt {};
};

} // namespace acaciafork::batch
