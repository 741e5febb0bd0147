#include <csignal>

#include <google/protobuf/stubs/logging.h>
#include <spdlog/spdlog.h>

#include "acaciafork/entry/Entry.h"
#include "daemons/common/CommandLine.h"
#include "daemons/common/ProcessName.h"
#include "daemons/common/Reload.h"
#include "platform/Platform.h"

using namespace acaciafork;

namespace {

Result<void> runEntry(const CommandLine &commandLine)
{
    BOOST_LEAF_AUTO(ini, readFile(commandLine.settingsFile));
    BOOST_LEAF_AUTO(settings, entry::readEntrySettings(ini, commandLine.settingsFile));
    if (commandLine.checkSettings)
        return {};

    initLogging({ .json = settings.logFormat == "json", .level = settings.logLevel },
                processName("acaciafork-entry", settings.id, settings.listenPeers));
    net::Loop loop;
    entry::EntryProcess process(&loop, settings);
    BOOST_LEAF_CHECK(process.start());
    std::unique_ptr<platform::EntryBinding> binding;
    if (settings.binding == "platform") {
        binding = std::make_unique<platform::EntryBinding>(
                &loop, &process,
                platform::EntryBindingSettings { .clients = settings.bindingClients,
                                                 .ready = settings.bindingReady,
                                                 .metrics = settings.bindingMetrics });
        BOOST_LEAF_CHECK(binding->start());
    }
    loop.onSignal([&](int signal) {
        if (signal == SIGHUP)
            reloadSettings(commandLine.settingsFile, &process, entry::readEntrySettings);
        else if (binding)
            binding->drain();
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
