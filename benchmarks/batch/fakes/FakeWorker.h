#pragma once

#include <deque>
#include <unordered_map>
#include <vector>

#include "benchmarks/batch/fakes/World.h"

namespace acaciafork::batch::fakes {

/// One worker: keeps the contract of leases by its own clock, and nothing else.
class FakeWorker
{
public:
    struct Options
    {
        /// Name, rack, building, zone and room; the rest is filled in.
        WorkerReport identity;
        /// Speed of its clock, in thousandths of true time.
        std::int64_t clockPermille = 1000;
        /// Fails every task it starts.
        bool failsEverything = false;
        /// Broken variant for tests: it does not end expired leases.
        bool ignoresExpiry = false;
    };

    FakeWorker(Options options, World *world);

    /// Lets time pass up to `now`.
    void advance(Timestamp now);
    /// Numbers and returns the next report.
    WorkerReport report(Timestamp now);
    /// Use of the tasks that run now, as measured at the latest report.
    [[nodiscard]] UsageReport usage() const;

    /// Calls; each returns whether the worker accepted it.
    bool handle(Timestamp now, const StartTask &call);
    bool handle(Timestamp now, const RenewLease &call);
    bool handle(Timestamp now, const ThrottleTask &call);
    bool handle(Timestamp now, const CheckpointTask &call);
    bool handle(Timestamp now, const StopTask &call);

    /// Loses all tasks and what it remembers, and comes back with a higher incarnation.
    void restart(Timestamp now);
    /// Its health can change.
    void setFailsEverything(bool fails) { m_options.failsEverything = fails; }

    [[nodiscard]] const WorkerReport &identity() const { return m_options.identity; }
    [[nodiscard]] std::size_t runningCount() const { return m_running; }
    /// Processor time that the running tasks use now, in millicores.
    [[nodiscard]] std::int64_t usedMillicores() const;

    /// A task that the worker holds or remembers.
    struct Held
    {
        TaskReport report;
        const TaskTruth *truth = nullptr;
        Resources granted;
        Timestamp expiresAt {}; ///< by this worker's clock
        Timestamp startedAt {};
        Duration done {}; ///< work done, with what its checkpoint kept
        Duration checkpointed {}; ///< work that the latest checkpoint holds
        Timestamp checkpointDoneAt {};
        std::int32_t throttlePermille = 1000;
        bool checkpointing = false;

        [[nodiscard]] bool runs() const { return report.status == TaskStatus::Running; }
    };
    [[nodiscard]] const std::vector<Held> &held() const { return m_held; }
    /// Slowdown that a held task suffers from its neighbours now, in thousandths.
    [[nodiscard]] std::int32_t slowdownPermille(const Held &held) const;

private:
    [[nodiscard]] Timestamp local(Timestamp now) const;
    bool basisHolds(Timestamp now, const LeaseBasis &basis, Timestamp *expiresAt) const;
    Held *find(const TaskName &task, LeaseEpoch epoch);
    void end(Held *held, TaskStatus status);
    void runTask(Held *held, Timestamp now);
    void saveProgress(Held *held);

    Options m_options;
    World *m_world;
    Timestamp m_at {};
    std::uint64_t m_seq = 0;
    /// When recent reports were sent, by this worker's clock.
    std::deque<std::pair<std::uint64_t, Timestamp>> m_sent;
    std::vector<Held> m_held;
    /// Highest epoch of each task that was started or stopped in this incarnation.
    std::unordered_map<TaskName, std::uint64_t> m_highestEpoch;
    std::size_t m_running = 0;
    Resources m_granted;
};

} // namespace acaciafork::batch::fakes
