#include "acaciafork/control/ControlSettings.h"

namespace acaciafork::control {
namespace {

using Field = SettingField<ControlSettings>;

const std::array ownFields {
    Field { .section = "listen",
            .key = "operators",
            .member = &ControlSettings::listenOperators,
            .required = true,
            .meaning = "host:port for operators" },
    Field { .section = "control",
            .key = "data-folder",
            .member = &ControlSettings::dataFolder,
            .required = true,
            .meaning = "folder of the replicated log and its snapshots" },
    Field { .section = "operators",
            .key = "token-file",
            .member = &ControlSettings::tokenFile,
            .meaning = "file that holds the operators' bearer token; empty refuses them all" },
    Field { .section = "binding",
            .key = "kind",
            .member = &ControlSettings::binding,
            .meaning = "interface that operators and workers see: own or platform" },
    Field { .section = "binding",
            .key = "control",
            .member = &ControlSettings::bindingControl,
            .meaning = "host:port for operators and workers of the platform" },
    Field { .section = "binding",
            .key = "metrics",
            .member = &ControlSettings::bindingMetrics,
            .meaning = "host:port for metrics of the platform; empty for none" },
    Field { .section = "binding",
            .key = "advisor",
            .member = &ControlSettings::bindingAdvisor,
            .meaning = "host:port of who knows which workers may run a step; empty for none" },
    Field { .section = "discovery",
            .key = "found",
            .member = &ControlSettings::mayFound,
            .meaning = "the first of the seeds founds the cluster if its data folder is empty" },
    Field { .section = "jobs",
            .key = "stop-timeout-ms",
            .member = &ControlSettings::stopTimeout,
            .least = 10,
            .most = 60'000,
            .meaning = "longest time that a worker takes to stop a task" },
    Field { .section = "jobs",
            .key = "worker-contact-ms",
            .member = &ControlSettings::workerContact,
            .least = 1'000,
            .most = 600'000,
            .meaning = "how long what a silent worker last reported may be relied on" },
    Field { .section = "jobs",
            .key = "worker-report-interval-ms",
            .member = &ControlSettings::workerReports,
            .least = 100,
            .most = 600'000,
            .meaning = "interval between the reports of a worker" },
    Field { .section = "jobs",
            .key = "tail-harm-ms",
            .member = &ControlSettings::tailHarm,
            .least = 1'000,
            .most = 600'000,
            .meaning = "time over its target after which a tail counts as harmed by other tasks" },
    Field { .section = "jobs",
            .key = "lease-ms",
            .member = &ControlSettings::jobLease,
            .least = 500,
            .most = 600'000,
            .meaning = "how long a worker may run a job's tasks without a renewal" },
    Field { .section = "jobs",
            .key = "relay-from-workers",
            .member = &ControlSettings::relayFromWorkers,
            .least = 0,
            .most = 1'000'000,
            .meaning =
                    "workers from which on all control members carry orders; 0: only the leader" },
    Field { .section = "jobs",
            .key = "prompt-take-over",
            .member = &ControlSettings::promptTakeOver,
            .meaning = "a new leader starts later steps at once that no earlier one can have "
                       "started" },
    Field { .section = "jobs",
            .key = "cautious-backfill",
            .member = &ControlSettings::cautiousBackfill,
            .meaning = "starts few backfill tasks beside serving tasks of an image that they have "
                       "not been observed with" },
    Field { .section = "jobs",
            .key = "look-ahead",
            .member = &ControlSettings::lookAhead,
            .meaning = "keeps room for large tasks that wait, by what will end soon" },
    Field { .section = "jobs",
            .key = "learn-durations",
            .member = &ControlSettings::learnDurations,
            .meaning = "corrects estimated durations by those of finished tasks" },
    Field { .section = "jobs",
            .key = "memory-mb",
            .member = &ControlSettings::jobMemoryMb,
            .least = 0,
            .most = 1'000'000,
            .meaning = "memory for the jobs of a leader, besides that of running tasks; 0: a "
                       "quarter of that of the process" },
    Field { .section = "zones",
            .key = "evacuation",
            .member = &ControlSettings::evacuation,
            .meaning = "operators may close an availability zone to new starts" },
    Field { .section = "zones",
            .key = "names",
            .member = &ControlSettings::zoneNames,
            .meaning = "availability zones that operators may name, beside those of the workers" },
    Field { .section = "limits",
            .key = "descriptors",
            .member = &ControlSettings::descriptors,
            .least = 256,
            .most = 10'000'000,
            .meaning = "descriptors that the process may have open, for connections and files" },
    Field { .section = "limits",
            .key = "memory-mb",
            .member = &ControlSettings::memoryMb,
            .least = 64,
            .most = 10'000'000,
            .meaning = "memory that the process may use" },
    Field { .section = "config",
            .key = "lease-ms",
            .member = &ControlSettings::configLease,
            .least = 500,
            .most = 10'000,
            .meaning = "how long an entry serves without news; the same as in the entries" },
    Field { .section = "tasks",
            .key = "lease-ms",
            .member = &ControlSettings::taskLease,
            .least = 1'000,
            .most = 600'000,
            .meaning = "how long a worker may run a task without a renewal" },
    Field { .section = "tasks",
            .key = "worker-silence-ms",
            .member = &ControlSettings::workerSilence,
            .least = 1'000,
            .most = 600'000,
            .meaning = "silence after which a worker gets no new work" },
};

/// The rows of every process and the member's own.
std::vector<Field> makeFields()
{
    static constexpr auto common = peers::processFields<ControlSettings>();
    std::vector<Field> fields(common.begin(), common.end());
    fields.insert(fields.end(), ownFields.begin(), ownFields.end());
    return fields;
}

/// Moves one section out of `from`, if it is there.
void takeSection(const std::string &name, IniSections *from, IniSections *to)
{
    auto node = from->extract(name);
    if (!node.empty())
        to->insert(std::move(node));
}

/// Adds the problems that a step of reading finds.
template <typename Step>
void gather(SettingsProblems *all, Step step)
{
    leaf::try_handle_all([&]() -> Result<void> { return step(); },
                         [&](const SettingsProblems &found) {
                             all->problems.insert(all->problems.end(), found.problems.begin(),
                                                  found.problems.end());
                         },
                         [] { ACACIAFORK_ASSERT(false); });
}

} // namespace

std::size_t ControlSettings::jobMemoryBytes() const
{
    constexpr std::int64_t jobShare = 4;
    const std::int64_t mb = jobMemoryMb > 0 ? jobMemoryMb : memoryMb / jobShare;
    return static_cast<std::size_t>(mb) << 20U;
}

std::span<const Field> controlFields()
{
    static const std::vector<Field> fields = makeFields();
    return fields;
}

Result<ControlSettings> readControlSettings(std::string_view ini, std::string_view file)
{
    ControlSettings settings;
    BOOST_LEAF_AUTO(sections, parseIni(ini, file));

    // Sections of the consensus library are read by its own tables; what is wrong anywhere is
    // reported together.
    IniSections agreement;
    IniSections replacement;
    takeSection("agreement", &sections, &agreement);
    takeSection("replacement", &sections, &replacement);
    SettingsProblems all;
    gather(&all, [&] {
        return readSettings<ControlSettings>(sections, file, controlFields(), &settings);
    });
    gather(&all, [&] {
        return readSettings<consensus::NodeSettings>(
                agreement, file, consensus::nodeSettingFields(), &settings.agreement);
    });
    gather(&all, [&] {
        return readSettings<consensus::ReplacementSettings>(
                replacement, file, consensus::replacementSettingFields(), &settings.replacement);
    });
    gather(&all, [&] { return peers::checkProcessSettings(settings, file); });
    gather(&all, [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(settings.entries,
                          peers::parsePeers(settings.peerList, false, file, "peers", "list"));
        return {};
    });
    gather(&all, [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(
                settings.members,
                peers::parsePeers(settings.controlMembers, true, file, "control", "members"));
        return {};
    });
    if (!all.problems.empty())
        return leaf::new_error(std::move(all));
    BOOST_LEAF_CHECK(consensus::checkNodeSettings(settings.agreement));
    return settings;
}

} // namespace acaciafork::control
