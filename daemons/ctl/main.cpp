/// acaciaforkctl: the operators' command line over the JSON interface, and the questionnaire.

#include <cstdio>
#include <iostream>
#include <random>
#include <thread>

#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>

#include "Configure.h"
#include "CtlSettings.h"
#include "acaciafork/core/Core.h"
#include "acaciafork/operators/client/BeastTransport.h"
#include "acaciafork/operators/client/ControlClient.h"
#include "acaciafork/operators/client/CtlCommand.h"
#include "acaciafork/operators/client/Explain.h"

namespace {

using namespace acaciafork;
namespace po = boost::program_options;

/// Options of the command line as they were written.
struct CtlOptions
{
    std::string settingsFile;
    bool checkSettings = false;
    /// Empty takes what the settings file says; so do the two below.
    std::string addresses;
    std::string tokenFile;
    std::string output;
    std::string file;
    std::string teamTokenFile;
    ctl::ConfigureOptions configure { .folder = "acaciafork-settings" };
    std::int64_t timeoutMs = 5000;
    std::uint64_t expectedVersion = 0;
    bool hasExpectedVersion = false;
    std::int64_t deadlineSeconds = 0;
    /// Files with the processes' logs.
    std::vector<std::string> logs;
    operators::CtlArguments arguments;
};

po::options_description describeOptions(CtlOptions *options)
{
    operators::CtlArguments &arguments = options->arguments;
    po::options_description description("Options");
    auto add = description.add_options();
    add("help", "show this help");
    add("version", "show the version");
    add("settings", po::value(&options->settingsFile), "settings file (INI, section [ctl])");
    add("check-settings", po::bool_switch(&options->checkSettings),
        "check the settings file and stop");
    add("address", po::value(&options->addresses),
        "operators' addresses, host:port with commas between, tried in turn (127.0.0.1:8401)");
    add("token-file", po::value(&options->tokenFile), "file that holds the bearer token");
    add("output", po::value(&options->output), "text or json");
    add("timeout-ms", po::value(&options->timeoutMs)->default_value(options->timeoutMs),
        "longest wait for one answer");
    add("request-id", po::value(&arguments.requestId),
        "id of the change; repeat it to get the first answer again");
    add("expected-version", po::value(&options->expectedVersion),
        "version that the change replaces (default: the one in force)");
    add("file", po::value(&options->file), "JSON document of the change");
    add("team-token-file", po::value(&options->teamTokenFile),
        "file that holds a team's token; only its digest is sent");
    add("answers", po::value(&options->configure.answersFile),
        "configure: answers file, in place of asking at the terminal");
    add("folder", po::value(&options->configure.folder)->default_value(options->configure.folder),
        "configure: folder for the files written");
    add("explain", po::bool_switch(&options->configure.explain),
        "configure: print why each value is what it is");
    add("building", po::value(&arguments.building), "building of a rack");
    add("zone", po::value(&arguments.zone), "availability zone of a rack or member");
    add("from", po::value(&arguments.fromBuilding), "building that a move leaves");
    add("to", po::value(&arguments.toBuilding), "building that a move goes to");
    add("deadline", po::value(&options->deadlineSeconds), "end of a move, in seconds since 1970");
    add("member", po::value(&arguments.member), "id of the member to add");
    add("member-address", po::value(&arguments.memberAddress), "its host:port for peers");
    add("replaced", po::value(&arguments.replaced), "id of the member that goes");
    add("query", po::value(&arguments.query), "field of the query, key=value");
    add("logs", po::value(&options->logs)->multitoken(),
        "explain: files with the logs of the processes");
    add("chrome", po::bool_switch(&arguments.chrome), "time line as Chrome trace-event JSON");
    return description;
}

void printHelp(const po::options_description &description)
{
    std::cout << "acaciaforkctl [options] COMMAND\n\nCommands:\n";
    for (const operators::CtlCommand &it : operators::ctlCommands()) {
        std::string line = "  " + std::string(it.name) + ' ' + std::string(it.operands);
        line.resize(std::max<std::size_t>(line.size(), 28), ' ');
        std::cout << line << it.meaning << '\n';
    }
    std::cout << "  timeline                  events of all processes, in order of cause\n"
              << "  explain ID --logs FILE... what became of a job, and why, from the logs\n"
              << "  configure                 the questionnaire; writes settings for every role\n\n"
              << description;
}

/// Request id that no other call has.
std::string drawRequestId()
{
    std::random_device random;
    std::string id = "ctl";
    for (int i = 0; i < 4; ++i)
        id += '-' + std::to_string(random());
    return id;
}

/// Reads a token from its file, without the line's end; empty without a file.
Result<std::string> readToken(const std::string &path)
{
    if (path.empty())
        return std::string();
    BOOST_LEAF_AUTO(token, readFile(path));
    token.erase(token.find_last_not_of(" \r\n") + 1);
    return token;
}

/// Fills in from the settings file what the command line left open.
Result<void> applySettings(CtlOptions *options)
{
    ctl::CtlSettings settings { .addresses = { "127.0.0.1:8401" } };
    if (!options->settingsFile.empty()) {
        BOOST_LEAF_AUTO(read, ctl::readCtlSettings(options->settingsFile));
        settings = std::move(read);
    }
    if (options->addresses.empty()) {
        for (const std::string &it : settings.addresses)
            options->addresses += it + ',';
    }
    if (options->tokenFile.empty())
        options->tokenFile = settings.tokenFile;
    if (options->output.empty())
        options->output = settings.output;
    if (options->output != "text" && options->output != "json")
        return fail(FailureKind::InvalidArgument, "output: must be text or json");
    return {};
}

/// Runs a command against the control group.
Result<void> runRemote(CtlOptions options)
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    operators::CtlArguments &arguments = options.arguments;
    arguments.json = options.output == "json";
    arguments.deadlineMicroseconds = options.deadlineSeconds * microsecondsPerSecond;
    if (options.hasExpectedVersion)
        arguments.expectedVersion = options.expectedVersion;
    BOOST_LEAF_AUTO(token, readToken(options.tokenFile));
    BOOST_LEAF_AUTO(teamToken, readToken(options.teamTokenFile));
    arguments.teamToken = teamToken;
    if (!options.file.empty()) {
        BOOST_LEAF_AUTO(document, readFile(options.file));
        arguments.document = std::move(document);
    }

    operators::BeastTransport transport { std::chrono::milliseconds(options.timeoutMs) };
    operators::ControlClient client({ .addresses = splitList(options.addresses), .token = token },
                                    transport,
                                    [](Duration pause) { std::this_thread::sleep_for(pause); });
    BOOST_LEAF_AUTO(text, operators::runCtl(arguments, &client, drawRequestId));
    std::cout << text;
    return {};
}

/// Explains a job from log files.
Result<void> explainJob(const CtlOptions &options)
{
    if (options.arguments.words.size() != 2 || options.logs.empty())
        return fail(FailureKind::InvalidArgument, "explain takes the id of a job and --logs");
    std::vector<std::string> logs;
    for (const std::string &it : options.logs) {
        BOOST_LEAF_AUTO(text, readFile(it));
        logs.push_back(std::move(text));
    }
    const operators::Explanation explanation =
            operators::explain(options.arguments.words.back(), logs);
    std::cout << (options.output == "json"
                          ? boost::json::serialize(operators::explanationJson(explanation)) + '\n'
                          : operators::explanationText(explanation));
    return {};
}

Result<int> run(CtlOptions options)
{
    if (options.arguments.words == std::vector<std::string> { "configure" }) {
        if (auto written = ctl::configure(options.configure); !written)
            return written.error();
        return 0;
    }
    if (auto settled = applySettings(&options); !settled)
        return settled.error();
    if (options.checkSettings)
        return 0;
    if (!options.arguments.words.empty() && options.arguments.words.front() == "explain") {
        if (auto done = explainJob(options); !done)
            return done.error();
        return 0;
    }
    if (auto done = runRemote(std::move(options)); !done)
        return done.error();
    return 0;
}

/// Says what went wrong, and gives the exit code for its kind.
int report(const Failure &failure, const std::string &body)
{
    std::cerr << "acaciaforkctl: " << failureKindName(failure.kind) << ": " << failure.detail
              << '\n';
    if (!body.empty())
        std::cerr << body << '\n';
    return exitCode(failure.kind);
}

} // namespace

int main(int argc, char **argv)
{
    CtlOptions options;
    const po::options_description visible = describeOptions(&options);
    po::options_description all;
    all.add(visible).add_options()("words", po::value(&options.arguments.words));
    po::positional_options_description positional;
    positional.add("words", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(),
                  values);
        po::notify(values);
    } catch (const po::error &e) {
        return report({ .kind = FailureKind::InvalidArgument, .detail = e.what() }, {});
    }
    if (values.count("version") > 0) {
        std::cout << "acaciaforkctl " << ACACIAFORK_VERSION << '\n';
        return 0;
    }
    if (values.count("help") > 0 || (options.arguments.words.empty() && !options.checkSettings)) {
        printHelp(visible);
        return 0;
    }
    options.hasExpectedVersion = values.count("expected-version") > 0;
    return leaf::try_handle_all(
            [&] { return run(options); },
            [](const operators::Refusal &refusal) { return report(refusal.failure, refusal.body); },
            [](const Failure &failure) { return report(failure, {}); },
            [](const SettingsProblems &problems) {
                return report({ .kind = FailureKind::InvalidArgument, .detail = "wrong settings" },
                              describe(problems));
            },
            [] { return report({ .detail = "unknown failure" }, {}); });
}
