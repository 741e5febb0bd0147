#pragma once

#include <map>
#include <memory>
#include <vector>

#include "acaciafork/decisions/jobs/JobTable.h"
#include "acaciafork/decisions/jobs/LeaseClock.h"
#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// Run with an open exposure to crashes of its worker.
struct ExposedRun
{
    RunKey run;
    /// When this leader ordered its start or adopted it; Timestamp::max() if it has done neither.
    Timestamp startedAt = Timestamp::max();
};

/// State of one worker as known to the scheduler.
struct Worker
{
    WorkerId id;
    WorkerLife life;
    /// Its current incarnation is recorded in the replicated state: orders may be sent.
    bool isRecorded = false;
    bool isRecording = false;
    /// Its lists of runs have been received in this tenure. Until then it may have runs that an
    /// earlier leader started.
    bool isKnown = false;
    /// Rows of its latest lists could not be read.
    bool hasUnreadableRows = false;
    std::uint64_t sequence = 0;
    /// When it last reported or answered.
    Timestamp lastHeardAt = distantPast();
    /// When its capacity was last reported in this tenure, and whether its life is known only from
    /// its birth: then nothing else of it is known until it reports.
    Timestamp lastReportedAt = distantPast();
    bool awaitsReport = false;
    /// Until then it runs tasks more slowly than usual, by its last report.
    Timestamp warmAt = distantPast();
    /// It rejects what exceeds its capacity.
    bool guardsCapacity = true;
    /// It has, or may have, runs that are not in the table. They are told to stop, and their size
    /// is not known: nothing starts until a list made after this time has none.
    Timestamp strayRunsUntil = distantPast();
    /// Until then, it may be at work on runs that an earlier leader has told to stop: these are on
    /// no list.
    Timestamp stoppedRunsUntil = distantPast();
    /// Number of its incarnation in this tenure, see OrderTarget::life, and whether that one has
    /// answered an order with its own fencing token: from then on it refuses what was meant for an
    /// earlier one.
    std::uint32_t lifeNumber = 0;
    bool isFenced = false;
    LeaseClock lease;
    /// When an order that brings a lease was last sent to any of its incarnations.
    Timestamp leaseOrderedAt;

    /// Resources reserved for its runs.
    Size used;
    /// Resources held for serving tasks that are being moved here.
    Size held;
    /// Part of `used` that is reserved by serving tasks, which use only a share of it.
    std::int64_t servingMillicores = 0;
    /// Millicores that the backfill tasks on this worker would use.
    std::int64_t backfillMillicores = 0;
    std::vector<RunRef> runs;

    /// @name Numbers of its latest run ends
    /// Seen in its lists, recorded in the replicated state, and acknowledged to it.
    /// @{
    std::uint64_t seenEnds = 0;
    std::uint64_t recordedEnds = 0;
    std::uint64_t acknowledgedEnds = 0;
    /// Latest batch of run ends to record that includes one of this worker.
    std::uint64_t lastBatch = 0;
    /// @}

    /// @name Renewals
    /// @{
    /// A long-polling renewal is in flight; a renewal that is answered immediately is in flight.
    bool renewalInFlight = false;
    bool immediateRenewalInFlight = false;
    /// The expected incarnation answered the last renewal, and nothing has failed since. Run ends
    /// are acknowledged only then, since another incarnation numbers its own run ends from 1.
    bool isIncarnationConfirmed = false;
    /// Numbers of the run ends acknowledged by the renewals in flight.
    std::uint64_t renewalCursor = 0;
    std::uint64_t immediateRenewalCursor = 0;
    Timestamp renewalAt = distantPast();
    Timestamp immediateRenewalAt = Timestamp::max();
    Timestamp lastRenewalSentAt = distantPast();
    std::uint32_t unansweredRenewals = 0;
    /// @}

    /// @name Crashes
    /// @{
    /// When it was last heard of before it fell silent, when the first renewal failed, and whether
    /// a trial was in progress; valid while renewals are unanswered.
    Timestamp heardBeforeSilence = distantPast();
    Timestamp silentSince = distantPast();
    bool wasInTrial = false;
    /// Its incarnation is known to have crashed.
    bool hasCrashed = false;
    /// Runs on this incarnation that have an open exposure.
    std::vector<ExposedRun> exposedRuns;
    /// Trials in progress, of one step: nothing else starts until they have passed.
    std::vector<RunKey> trials;
    Timestamp trialBeganAt;
    Timestamp trialEndsAt;
    /// Nothing but a trial of this step, named by its first task, starts until then.
    TaskKey reservedFor;
    Timestamp reservedUntil = distantPast();
    /// @}

    /// When it said that it ends; Timestamp::max() while it has not. Its lists from then on are the
    /// last ones.
    Timestamp leftAt = Timestamp::max();

    /// No new work until then, because the worker refused work or its runs failed.
    Timestamp avoidUntil = distantPast();
    /// Consecutive starts that it refused or left unanswered, where those in flight together count
    /// once; when the last of them failed, and when it last confirmed a start.
    std::uint32_t failedStarts = 0;
    Timestamp startFailedAt = distantPast();
    Timestamp startConfirmedAt = distantPast();
    /// Consecutive failed runs of different jobs, without a successful one in between.
    std::uint32_t consecutiveFailures = 0;
    JobId lastFailedJob;
    /// Share in percent at which backfill tasks run here, and when it was last changed.
    std::int64_t backfillPercent = 100;
    /// A serving task here exceeds its target, by the worker's last list.
    bool isTailInDanger = false;
    Timestamp pacedAt = distantPast();

    static constexpr Timestamp distantPast() { return timestampFromMicroseconds(INT64_MIN / 4); }
    [[nodiscard]] Size freeCapacity() const
    {
        Size freeCapacity = life.capacity;
        freeCapacity -= used;
        freeCapacity -= held;
        return freeCapacity;
    }
    /// Share of its reservation that a serving task is assumed to use, in percent: its average
    /// load. Backfill tasks slow down when serving tasks peak; capacity reserved for the peak would
    /// sit idle.
    static constexpr std::int64_t servingUsePercent = 45;
    /// Millicores that no task on this worker is expected to use.
    [[nodiscard]] std::int64_t unusedMillicores() const
    {
        const std::int64_t unusedByServing =
                servingMillicores * (wholePercent - servingUsePercent) / wholePercent;
        return life.capacity.millicores - used.millicores + unusedByServing - backfillMillicores;
    }
    /// Resources that no task on this worker is expected to use.
    [[nodiscard]] Size unusedCapacity() const
    {
        Size unused = freeCapacity();
        unused.millicores = unusedMillicores();
        return unused;
    }
    /// Backfill images to which the worker is open: serving tasks that do not bear them keep away.
    std::vector<batch::Index> openTo;
    /// Images of the serving tasks on this worker, each with its number of tasks.
    std::vector<std::pair<batch::Index, std::uint32_t>> servedImages;

    /// @param[in] orderedAt when the start was ordered
    void startFailed(Timestamp now, Timestamp orderedAt);
    void startConfirmed(Timestamp now);
    /// Nothing else starts for the length of a trial that begins now.
    void holdForTrial(Timestamp now, Duration length);
    /// What a start order changes besides runs and reserved resources, so that a start which is
    /// not ordered after all can be taken back.
    struct OrderState
    {
        bool isIncarnationConfirmed = false;
        Timestamp immediateRenewalAt;
        LeaseClock lease;
        Timestamp leaseOrderedAt;
        Timestamp trialBeganAt;
        Timestamp trialEndsAt;
        Timestamp reservedUntil;
    };
    [[nodiscard]] OrderState orderState() const;
    void restore(const OrderState &state);
    /// Returns the end, on the worker's clock, of a lease that is ordered now.
    std::int64_t grantLease(Timestamp now, Duration length);
    /// Reserve and release the resources of one task of the step.
    void reserve(const Step &step);
    void release(const Step &step);
    [[nodiscard]] std::uint32_t runsOf(const Step *step) const;
};

/// Share of a worker's processor capacity that the given millicores, or one task of the step, would
/// use.
double shareOf(const Worker &worker, std::int64_t millicores);
double shareOf(const Worker &worker, const StepSpec &spec);

/// Table of workers, by id and by name.
class WorkerTable
{
public:
    /// Adds a worker; an earlier entry with the same name must have been removed.
    Worker &add(const WorkerLife &life);
    /// Worker with that id, or null when it has been removed.
    [[nodiscard]] Worker *find(WorkerId id) const;
    /// Worker with that name, or null.
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
