#include <csignal>

#include <google/protobuf/stubs/logging.h>
#include <spdlog/spdlog.h>

#include "acaciafork/control/Control.h"
#include "daemons/common/CommandLine.h"
#include "platform/Platform.h"

using namespace acaciafork;

namespace {

/// Takes over what may change while the process runs; the rest waits for a restart.
void reloadSettings(const std::string &file, control::ControlProcess *process)
{
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(ini, readFile(file));
                BOOST_LEAF_AUTO(settings, control::readControlSettings(ini, file));
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

Result<void> runControl(const CommandLine &commandLine)
{
    BOOST_LEAF_AUTO(ini, readFile(commandLine.settingsFile));
    BOOST_LEAF_AUTO(settings, control::readControlSettings(ini, commandLine.settingsFile));
    if (commandLine.checkSettings)
        return {};

    initLogging({ .json = settings.logFormat == "json", .level = settings.logLevel },
                "acaciafork-control", ProcessId { static_cast<std::uint32_t>(settings.id) });
    net::Loop loop;
    control::ControlProcess process(&loop, settings);
    std::unique_ptr<platform::ControlBinding> binding;
    if (settings.binding == "platform")
        binding = std::make_unique<platform::ControlBinding>(
                &loop, &process,
                platform::ControlBindingSettings { .control = settings.bindingControl,
                                                   .metrics = settings.bindingMetrics });
    BOOST_LEAF_CHECK(process.start());
    if (binding) {
        BOOST_LEAF_CHECK(binding->start());
    }
    loop.onSignal([&](int signal) {
        if (signal == SIGHUP)
            reloadSettings(commandLine.settingsFile, &process);
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
