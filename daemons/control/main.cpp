#include <csignal>

#include <google/protobuf/stubs/logging.h>
#include <spdlog/spdlog.h>

#include "acaciafork/control/Control.h"
#include "daemons/common/CommandLine.h"
#include "daemons/common/ProcessName.h"
#include "daemons/common/Reload.h"
#include "platform/Platform.h"

using namespace acaciafork;

namespace {

Result<void> runControl(const CommandLine &commandLine)
{
    BOOST_LEAF_AUTO(ini, readFile(commandLine.settingsFile));
    BOOST_LEAF_AUTO(settings, control::readControlSettings(ini, commandLine.settingsFile));
    if (commandLine.checkSettings)
        return {};

    initLogging({ .json = settings.logFormat == "json", .level = settings.logLevel },
                processName("acaciafork-control", settings.id, settings.listenPeers));
    net::Loop loop;
    control::ControlProcess process(&loop, settings);
    std::unique_ptr<platform::ControlBinding> binding;
    if (settings.binding == "platform")
        binding = std::make_unique<platform::ControlBinding>(
                &loop, &process,
                platform::ControlBindingSettings { .control = settings.bindingControl,
                                                   .metrics = settings.bindingMetrics,
                                                   .advisor = settings.bindingAdvisor,
                                                   .evacuation = settings.evacuation,
                                                   .descriptors = settings.descriptors });
    BOOST_LEAF_CHECK(process.start());
    if (binding) {
        BOOST_LEAF_CHECK(binding->start());
    }
    loop.onSignal([&](int signal) {
        if (signal == SIGHUP)
            reloadSettings(commandLine.settingsFile, &process, control::readControlSettings);
        else
            process.drain();
    });
    loop.run();
    flushLog();
    if (process.broken())
        return fail(FailureKind::Storage, "the data folder " + settings.dataFolder + " is broken");
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    // What is malformed on the wire is counted, not printed.
    google::protobuf::SetLogHandler(nullptr);
    return runDaemon({ .name = "acaciafork-control",
                       .purpose = "holds the agreed state, hands out credits, leases and plans",
                       .settingsHelp = describeFields(control::controlFields()),
                       .run = runControl },
                     argc, argv);
}
