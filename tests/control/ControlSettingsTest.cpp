#include <doctest/doctest.h>

#include <algorithm>

#include "acaciafork/control/ControlSettings.h"

using namespace acaciafork;
using namespace acaciafork::control;

namespace {

constexpr std::string_view rightSettings = "[process]\nid=1\ncluster=c\nzone=a\n"
                                           "[listen]\npeers=127.0.0.1:1\noperators=127.0.0.1:2\n"
                                           "[control]\nmembers=1@a@127.0.0.1:1\ndata-folder=/d\n"
                                           "[operators]\ntoken-file=/t\n";

/// Reads settings; the problems found go into `problems`.
ControlSettings read(const std::string &ini, std::vector<SettingsProblem> *problems)
{
    ControlSettings settings;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(settings, readControlSettings(ini, "control.ini"));
                return {};
            },
            [&](const SettingsProblems &all) { *problems = all.problems; },
            [] { FAIL("untyped failure"); });
    return settings;
}

} // namespace

TEST_CASE("sections of the agreement are read by its own table")
{
    std::vector<SettingsProblem> problems;
    const ControlSettings settings =
            read(std::string(rightSettings) + "[agreement]\nheartbeat-ms=80\n", &problems);
    CHECK(problems.empty());
    CHECK(settings.agreement.heartbeatInterval == std::chrono::milliseconds(80));
    CHECK(settings.members.size() == 1);
}

TEST_CASE("problems of every section are reported together")
{
    std::vector<SettingsProblem> problems;
    read(std::string(rightSettings)
                 + "[agreement]\nhurry=1\n[replacement]\nautomatic=maybe\n[log]\nformat=xml\n"
                   "[peers]\nlist=nobody\n[tasks]\nlease-ms=0\n",
         &problems);
    std::vector<std::string> keys;
    keys.reserve(problems.size());
    for (const SettingsProblem &it : problems)
        keys.push_back(it.section + '.' + it.key);
    std::sort(keys.begin(), keys.end());
    CHECK(keys
          == std::vector<std::string> { "agreement.hurry", "log.format", "peers.list",
                                        "replacement.automatic", "tasks.lease-ms" });
}

TEST_CASE("the memory for jobs follows that of the process")
{
    // Guards against a leader on a small machine that takes as much as one on a large machine may.
    const auto megabytes = [](const std::string &more) {
        std::vector<SettingsProblem> problems;
        const ControlSettings settings = read(std::string(rightSettings) + more, &problems);
        CHECK(problems.empty());
        return settings.jobMemoryBytes() >> 20U;
    };
    CHECK(megabytes("") == 64);
    CHECK(megabytes("[limits]\nmemory-mb=96\n") == 24);
    CHECK(megabytes("[limits]\nmemory-mb=1024\n") == 256);
    CHECK(megabytes("[limits]\nmemory-mb=1024\n[jobs]\nmemory-mb=40\n") == 40);
}
