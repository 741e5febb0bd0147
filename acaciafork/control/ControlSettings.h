#pragma once

#include <string_view>

#include "acaciafork/consensus/Consensus.h"
#include "acaciafork/peers/Peers.h"

namespace acaciafork::control {

/// Settings of a control member, from its INI file.
struct ControlSettings : peers::ProcessSettings
{
    /// `host:port` of the operators' interface.
    std::string listenOperators;
    /// Folder of the log and the snapshots.
    std::string dataFolder;
    /// File with the operators' bearer token.
    std::string tokenFile;
    /// The entries' readiness lease.
    Duration configLease = std::chrono::seconds(3);
    /// Lease of tasks at workers.
    Duration taskLease = std::chrono::seconds(30);
    /// Silence after which a worker gets no new work.
    Duration workerSilence = std::chrono::seconds(5);
    /// The first of the seeds may found the cluster.
    bool mayFound = false;
    /// Longest time that a worker takes to stop a task of a job.
    Duration stopTimeout = std::chrono::milliseconds(400);
    /// Time for which a silent worker counts as in touch, and interval between a worker's reports.
    Duration workerContact = std::chrono::milliseconds(3000);
    Duration workerReports = std::chrono::milliseconds(1100);
    /// Time over its target after which a serving task's tail counts as harmed by what fills.
    Duration tailHarm = std::chrono::milliseconds(4000);
    /// Number of workers from which on other control members carry orders to them; 0 is never.
    std::int64_t relayFromWorkers = 256;
    /// Lease of the tasks of jobs.
    Duration jobLease = std::chrono::milliseconds(5800);
    /// Parts of the job scheduler that are on; see jobs::JobSchedulerSettings.
    bool promptTakeOver = false;
    bool cautiousBackfill = false;
    bool lookAhead = false;
    bool learnDurations = false;
    /// See jobs::JobMemorySettings::budget; 0 for a quarter of memoryMb.
    std::int64_t jobMemoryMb = 0;

    /// Operators may close an availability zone to new starts.
    bool evacuation = false;
    /// Zones that operators may name; workers' zones are known in addition.
    std::vector<std::string> zoneNames;

    /// Interface that operators and workers see: the product's own, or the users' platform's.
    std::string binding = "own";
    /// `host:port` of the binding's interfaces, where it is not the product's own.
    std::string bindingControl;
    std::string bindingMetrics;
    /// `host:port` of the advisor on where steps may run; empty for none.
    std::string bindingAdvisor;

    /// Descriptors that this process may have open.
    std::int64_t descriptors = 4096;
    /// Memory that this process may use.
    std::int64_t memoryMb = 256;

    /// Timing of the agreement, and when a lost member is replaced: sections of their own.
    consensus::NodeSettings agreement;
    consensus::ReplacementSettings replacement;

    /// The lists of the base struct, parsed.
    std::vector<peers::PeerAddress> entries;
    std::vector<peers::PeerAddress> members;

    /// Memory for the jobs of a leader, in bytes.
    [[nodiscard]] std::size_t jobMemoryBytes() const;
};

/// The table of keys.
std::span<const SettingField<ControlSettings>> controlFields();

/// Reads and checks a control member's settings. Fails with SettingsProblems.
Result<ControlSettings> readControlSettings(std::string_view ini, std::string_view file);

} // namespace acaciafork::control
