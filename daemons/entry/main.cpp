#include <google/protobuf/stubs/logging.h>

#include "acaciafork/entry/Entry.h"
#include "daemons/common/CommandLine.h"
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
        loop.onSignal([&binding](int) { binding.drain(); });
        loop.run();
        return {};
    }
    loop.onSignal([&process](int) { process.drain(); });
    loop.run();
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
