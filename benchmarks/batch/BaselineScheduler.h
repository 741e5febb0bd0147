#pragma once

#include <deque>
#include <map>
#include <unordered_map>

#include "benchmarks/batch/fakes/Session.h"

namespace acaciafork::batch::fakes {

/// What baselines are measured against: leases and calls as the contract wants them, and the
/// simplest policy. Jobs go to the first worker with room by declared size, or to racks in turn; a
/// job is evicted as soon as a service beside it is measured slow; a draining rack is emptied at
/// once.
class BaselineScheduler final : public Decider
{
public:
    /// How a worker is chosen.
    enum class Order : std::uint8_t { FirstFit, RacksInTurn };

    explicit BaselineScheduler(Order order);

    void handle(Timestamp now, const Event &event, std::vector<Command> *commands) override;

    std::uint64_t evictions = 0;

private:
    struct Task
    {
        JobRecord job;
        ServiceName service;
        std::string worker;
        LeaseEpoch epoch;
        CheckpointId checkpoint;
        bool leased = false;
        bool proposed = false;
        bool evicting = false;
        bool warm = false;
        bool leaving = false;
        bool replaced = false;
    };
    struct Worker
    {
        WorkerReport report;
        Resources granted;
        std::vector<std::string> tasks;
    };

    void on(const TaskSubmitted &it);
    void on(const WorkerReported &it);
    void on(const UsageReported &it);
    void on(const CommandCommitted &it);
    void on(const RackChanged &it) { m_racks[it.rack.rack.value] = it.rack; }
    void on(const PlacementChanged &it);
    void on(const MoveChanged &it) { m_move = it.move; }
    void on(const EndpointWarm &it);
    void on(const EndpointDrained &it);
    void on(const Tick &it);
    template <typename Other>
    void on(const Other & /*it*/)
    { }

    void propose(const std::string &task, DurableChange change);
    void addReplica(const PlacementRecord &placement);
    bool place(const std::string &task);
    void evict(Task *task);
    void stop(const Task &task, bool release);
    void endLease(Task *task, bool again);
    [[nodiscard]] bool drains(const std::string &rack) const;
    void drainMove();

    Order m_order;
    Timestamp m_now {};
    std::vector<Command> *m_commands = nullptr;
    std::map<std::string, Task> m_tasks;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, std::vector<std::string>> m_rackWorkers;
    std::map<std::string, RackRecord> m_racks;
    std::deque<std::string> m_queue;
    std::unordered_map<std::uint64_t, std::pair<std::string, DurableChange>> m_pending;
    std::map<std::string, std::uint32_t> m_replicas;
    std::map<std::string, PlacementRecord> m_placements;
    MoveRecord m_move;
    std::uint64_t m_next = 0;
    std::size_t m_turn = 0;
};

} // namespace acaciafork::batch::fakes
