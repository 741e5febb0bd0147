#include <csignal>

#include <google/protobuf/stubs/logging.h>
#include <spdlog/spdlog.h>

#include "acaciafork/entry/Entry.h"
#include "daemons/common/CommandLine.h"
#include "platform/Platform.h"

using namespace acaciafork;

namespace {

/// Takes over what may change while the process runs; the rest waits for a restart.
void reloadSettings(const std::string &file, entry::EntryProcess *process)
{
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(ini, readFile(file));
                BOOST_LEAF_AUTO(settings, entry::readEntrySettings(ini, file));
                return process->reload(settings);
            },
            [](const SettingsProblems &problems) {
                spdlog::error("event=reload-refused problems=\"{}\"", describe(problems));
            },
            [](const Failure &failure) {
                spdlog::error("event=reload-refused detail=\"{}\"", failure.detail);
            },
            [] { spdlog::error("event=reload-refused"); });
}

Result<void> runEntry(const CommandLine &commandLine)
{
    BOOST_LEAF_AUTO(ini, readFile(commandLine.settingsFile));
    BOOST_LEAF_AUTO(settings, entry::readEntrySettings(ini, commandLine.settingsFile));
    if (commandLine.checkSettings)
        return {};

    initLogging({ .json = settings.logFormat == "json", .level = settings.logLevel },
                "acaciafork-entry", ProcessId { static_cast<std::uint32_t>(settings.id) });
    net::Loop loop;
    entry::EntryProcess process(&loop, settings);
    BOOST_LEAF_CHECK(process.start());
    if (settings.binding == "platform") {
        platform::EntryBinding binding(&loop, &process,
                                       { .clients = settings.bindingClients,
                                         .ready = settings.bindingReady,
                                         .metrics = settings.bindingMetrics });
        BOOST_LEAF_CHECK(binding.start());
        loop.onSignal([&](int signal) {
            if (signal == SIGHUP)
                reloadSettings(commandLine.settingsFile, &process);
            else
                binding.drain();
        });
        loop.run();
        flushLog();
        return {};
    }
    loop.onSignal([&](int signal) {
        if (signal == SIGHUP)
            reloadSettings(commandLine.settingsFile, &process);
        else
            process.drain();
    });
    loop.run();
    flushLog();
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    // What is malformed on the wire is counted, not printed.
    google::protobuf::SetLogHandler(nullptr);
    return runDaemon({ .name = "acaciafork-entry",
                       .purpose = "takes callers' requests and brings them to endpoints",
                       .settingsHelp = describeFields(entry::entryFields()),
                       .run = runEntry },
                     argc, argv);
}
