#pragma once

#include <vector>

#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

/// Keeps each service at its wanted replicas, and replaces replicas on racks that drain: the new
/// one is warm before the old one leaves, a bounded number at a time.
class ServicePlanner
{
public:
    ServicePlanner(Model *model, TaskLifecycle *lifecycle);

    /// Adds or replaces the wish for a service.
    void put(const PlacementRecord &placement);
    /// Takes over a task of a service from an earlier leader, after the wishes.
    void restore(const TaskRecord &record);
    /// The task's endpoint takes full traffic.
    void onWarm(const TaskName &task);
    /// The task's endpoint has left and has no request in progress.
    void onDrained(const TaskName &task);

    /// Starts, replaces and ends replicas as wanted.
    void tick();

    /// Endpoints that were told to leave and still have requests in progress.
    [[nodiscard]] std::uint32_t leaving() const { return m_leaving; }

private:
    /// What a replica does, beside what its task does.
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

    /// How the replicas of one service stand.
    struct ReplicaCounts
    {
        /// Live, not about to leave, on a worker that is present and whose rack stays.
        std::uint32_t staying = 0;
        std::uint32_t stayingWarm = 0;
        /// Live, but on a rack that drains or a worker that is silent.
        std::uint32_t departing = 0;
        /// Warm among all of the above.
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
