#pragma once

#include "acaciafork/core/Counters.h"

namespace acaciafork::consensus {

/// Counters that a replica exports at /metrics.
struct ReplicaCounters
{
    /// Registers all counters.
    explicit ReplicaCounters(CounterRegistry *registry)
        : groupCommits(registry->counter("consensus_group_commits_total"))
        , entriesWritten(registry->counter("consensus_entries_written_total"))
        , writesFailed(registry->counter("consensus_writes_failed_total"))
        , commandsApplied(registry->counter("consensus_commands_applied_total"))
        , snapshotsStored(registry->counter("consensus_snapshots_stored_total"))
        , snapshotsFetched(registry->counter("consensus_snapshots_fetched_total"))
        , leaderships(registry->counter("consensus_leaderships_total"))
        , messagesRefused(registry->counter("consensus_messages_refused_total"))
        , bytesSent(registry->counter("consensus_bytes_sent_total"))
        , term(registry->counter("consensus_term", MetricKind::Gauge))
        , commitIndex(registry->counter("consensus_commit_index", MetricKind::Gauge))
        , logMemory(registry->counter("consensus_log_memory_bytes", MetricKind::Gauge))
        , snapshotBytes(registry->counter("consensus_snapshot_bytes", MetricKind::Gauge))
        , full(registry->counter("consensus_disk_full", MetricKind::Gauge))
        , broken(registry->counter("consensus_disk_broken", MetricKind::Gauge))
        , faultsTolerated(registry->counter("consensus_faults_tolerated", MetricKind::Gauge))
        , liveVoters(registry->counter("consensus_live_voters", MetricKind::Gauge))
        , lostVoters(registry->counter("consensus_lost_voters", MetricKind::Gauge))
        , spares(registry->counter("consensus_spares", MetricKind::Gauge))
        , outside(registry->counter("consensus_outside", MetricKind::Gauge))
        , syncTime(registry->histogram("consensus_sync_seconds"))
    { }

    Counter &groupCommits;
    Counter &entriesWritten;
    Counter &writesFailed;
    Counter &commandsApplied;
    Counter &snapshotsStored;
    Counter &snapshotsFetched;
    /// Number of times that this member became the leader.
    Counter &leaderships;
    /// Messages that could not be parsed.
    Counter &messagesRefused;
    Counter &bytesSent;
    Counter &term;
    Counter &commitIndex;
    /// Memory of the entries that are kept, and size of the stored snapshot.
    Counter &logMemory;
    Counter &snapshotBytes;
    Counter &full;
    Counter &broken;
    /// Computed on the leader only; 0 on other members.
    Counter &faultsTolerated;
    /// Voters that answer, voters that don't, and processes that could join; 0 on other members
    /// than the leader.
    Counter &liveVoters;
    Counter &lostVoters;
    Counter &spares;
    /// 1 while this process is not in the group.
    Counter &outside;
    /// From the write of a group to the end of its sync.
    Histogram &syncTime;
};

} // namespace acaciafork::consensus
