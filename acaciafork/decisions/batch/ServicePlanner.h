#pragma once

#include <vector>

#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

/// Keeps each service at its desired number of replicas, and replaces replicas on draining racks.
/// The new replica is warm before the old one leaves; the number of replacements in progress is
/// bounded.
class ServicePlanner
{
public:
    ServicePlanner(Model *model, TaskLifecycle *lifecycle);

    /// Adds or replaces the desired state of a service.
    void put(const PlacementRecord &placement);
    /// Restores a task of a service from the records of an earlier leader. Must be called after
    /// put() for all services.
    void restore(const TaskRecord &record);
    /// Called when the endpoint of the task takes full traffic.
    void onWarm(const TaskName &task);
    /// Called when the endpoint of the task has left and has no request in progress.
    void onDrained(const TaskName &task);

    /// Starts, replaces and stops replicas to reach the desired state.
    void tick();

    /// Number of endpoints that were told to leave and have not drained yet.
    [[nodiscard]] std::uint32_t leaving() const { return m_leaving; }

private:
    /// State of a replica, in addition to the phase of its task.
    enum class ReplicaState : std::uint8_t { Idle, Starting, Warm, Leaving, Ending };

    struct Replica
    {
        Index task = noIndex;
        ReplicaState state = ReplicaState::Idle;
        Timestamp since {};
    };

    struct Service
    {
        PlacementRecord desired;
        Index team = noIndex;
        std::vector<Replica> replicas;
    };

    /// Replica counts of one service.
    struct ReplicaCounts
    {
        /// Starting or warm, and either waiting for a worker or on a present worker whose rack
        /// stays.
        std::uint32_t staying = 0;
        std::uint32_t stayingWarm = 0;
        /// Starting or warm, on a present worker whose rack drains.
        std::uint32_t departing = 0;
        /// Warm on a present worker, whether its rack stays or drains.
        std::uint32_t warm = 0;
    };

    void reconcile(Index service);
    void updateReplica(Replica *replica);
    [[nodiscard]] ReplicaCounts replicaCounts(const Service &service) const;
    [[nodiscard]] bool isStaying(const Replica &replica) const;
    [[nodiscard]] bool reachable(const Replica &replica) const;
    void startReplica(Index service);
    void requestLeave(Replica *replica);
    void end(Replica *replica);
    Replica *find(const TaskName &task);

    Model *m_model;
    TaskLifecycle *m_lifecycle;
    std::vector<Service> m_services;
    std::uint32_t m_leaving = 0;
};

} // namespace acaciafork::batch
