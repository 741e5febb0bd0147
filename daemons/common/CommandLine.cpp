#include "daemons/common/CommandLine.h"

#include <iostream>

#include <boost/program_options.hpp>

namespace acaciafork {
namespace {

namespace po = boost::program_options;

po::options_description makeOptions()
{
    po::options_description options("Options");
    options.add_options()("help,h", "print this help")("version", "print the version")(
            "settings,s", po::value<std::string>(),
            "path of the INI file")("check-settings", "check the settings file and end");
    return options;
}

/// Runs the program; a typed failure becomes a message and its exit code.
int runChecked(const DaemonProgram &program, const CommandLine &commandLine)
{
    return leaf::try_handle_all(
            [&]() -> Result<int> {
                BOOST_LEAF_CHECK(program.run(commandLine));
                if (commandLine.checkSettings)
                    std::cout << commandLine.settingsFile << ": settings are right\n";
                return 0;
            },
            [](const SettingsProblems &problems) {
                std::cerr << describe(problems);
                return exitCode(FailureKind::InvalidArgument);
            },
            [&](const Failure &failure) {
                std::cerr << program.name << ": " << failureKindName(failure.kind) << ": "
                          << failure.detail << '\n';
                return exitCode(failure.kind);
            },
            [&](const leaf::error_info &info) {
                std::cerr << program.name << ": internal: unexpected failure " << info << '\n';
                return exitCode(FailureKind::Internal);
            });
}

} // namespace

int runDaemon(const DaemonProgram &program, int argc, const char *const *argv)
{
    const po::options_description options = makeOptions();
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
    } catch (const po::error &e) {
        std::cerr << program.name << ": invalid-argument: " << e.what() << '\n';
        return exitCode(FailureKind::InvalidArgument);
    }

    if (values.contains("help")) {
        std::cout << program.name << ": " << program.purpose << "\n\n"
                  << options << "\nSettings:\n"
                  << program.settingsHelp;
        return 0;
    }
    if (values.contains("version")) {
        std::cout << program.name << ' ' << ACACIAFORK_VERSION << '\n';
        return 0;
    }
    if (!values.contains("settings")) {
        std::cerr << program.name << ": invalid-argument: --settings FILE is needed\n";
        return exitCode(FailureKind::InvalidArgument);
    }
    return runChecked(program,
                      { .settingsFile = values["settings"].as<std::string>(),
                        .checkSettings = values.contains("check-settings") });
}

} // namespace acaciafork
