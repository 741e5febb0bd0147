#pragma once

#include <map>
#include <memory>
#include <vector>

#include "acaciafork/decisions/jobs/JobTable.h"
#include "acaciafork/decisions/jobs/LeaseClock.h"
#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// One life of a worker, as the scheduler believes.
struct Worker
{
    WorkerId id;
    WorkerLife life;
    /// Recorded in the replicated state: orders may go there.
    bool isRecorded = false;
    bool isRecording = false;
    /// Its lists have been seen in this tenure; until then it may run what an earlier leader began.
    bool isKnown = false;
    std::uint64_t sequence = 0;
    /// When it last said something of itself or answered.
    Timestamp lastHeardAt = distantPast();
    LeaseClock lease;

    /// Set aside for the runs here.
    Size used;
    /// Of that, millicores of serving tasks, which use a part of them only.
    std::int64_t servingMillicores = 0;
    /// Millicores that filling tasks here would like.
    std::int64_t backfillMillicores = 0;
    std::vector<RunRef> runs;

    /// @name Ends: seen in its lists, recorded in the replicated state, and confirmed to it.
    /// @{
    std::uint64_t seenEnds = 0;
    std::uint64_t recordedEnds = 0;
    std::uint64_t acknowledgedEnds = 0;
    /// Last batch of records that has an end of this worker.
    std::uint64_t lastBatch = 0;
    /// @}

    /// @name Renewals
    /// @{
    /// A renewal that may wait for an end is on its way, and one that is answered at once.
    bool renewalInFlight = false;
    bool immediateRenewalInFlight = false;
    /// Its last renewal was answered by the life that is believed in, and nothing has failed since:
    /// only then are ends confirmed, since another life counts its own from 1.
    bool isIncarnationConfirmed = false;
    /// Ends confirmed by the renewals on their way.
    std::uint64_t renewalCursor = 0;
    std::uint64_t immediateRenewalCursor = 0;
    Timestamp renewalAt = distantPast();
    Timestamp immediateRenewalAt = Timestamp::max();
    Timestamp lastRenewalSentAt = distantPast();
    std::uint32_t unansweredRenewals = 0;
    /// @}

    /// No new work until then, since it refused work or had no room.
    Timestamp avoidUntil = distantPast();
    /// Failed runs of different jobs in a row without a done one between.
    std::uint32_t consecutiveFailures = 0;
    JobId lastFailedJob;
    /// Share at which the tasks that fill work here, and when it was last set.
    std::int64_t backfillPercent = 100;
    Timestamp pacedAt = distantPast();

    static constexpr Timestamp distantPast() { return timestampFromMicroseconds(INT64_MIN / 4); }
    [[nodiscard]] Size freeCapacity() const
    {
        Size freeCapacity = life.capacity;
        freeCapacity -= used;
        return freeCapacity;
    }
    /// Share of its reservation that a serving task is reckoned to use, in percent: its mean load.
    /// At the peak of its swing what fills beside it runs slower; a reserve for the peak idles.
    static constexpr std::int64_t servingUsePercent = 45;
    /// Millicores that nothing here is reckoned to use.
    [[nodiscard]] std::int64_t unusedMillicores() const
    {
        const std::int64_t unusedByServing =
                servingMillicores * (wholePercent - servingUsePercent) / wholePercent;
        return life.capacity.millicores - used.millicores + unusedByServing - backfillMillicores;
    }
    /// Images that are served here, and by how many tasks.
    std::vector<std::pair<batch::Index, std::uint32_t>> servedImages;

    /// Sets a task's share aside, and gives it back.
    void reserve(const Step &step);
    void release(const Step &step);
    [[nodiscard]] std::uint32_t runsOf(const Step *step) const;
};

/// Share of a worker's processors that an amount is, or that a task of the step would like.
double shareOf(const Worker &worker, std::int64_t millicores);
double shareOf(const Worker &worker, const StepSpec &spec);

/// The workers by id and by name.
class WorkerTable
{
public:
    /// Adds a life of a worker; an earlier life of that name must be gone.
    Worker &add(const WorkerLife &life);
    /// The worker of that id, or null once it is forgotten.
    [[nodiscard]] Worker *find(WorkerId id) const;
    /// The latest life of that name, or null.
    [[nodiscard]] Worker *find(const WorkerName &name) const;
    void remove(WorkerId id);
    void clear();

    [[nodiscard]] const std::map<WorkerId, std::unique_ptr<Worker>> &all() const
    {
        return m_workers;
    }

private:
    std::map<WorkerId, std::unique_ptr<Worker>> m_workers;
    std::map<WorkerName, WorkerId> m_names;
    std::uint32_t m_lastId = 0;
};

} // namespace acaciafork::jobs
