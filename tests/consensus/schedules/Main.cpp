#include <cstdio>
#include <iostream>

#include <boost/program_options.hpp>

#include "../Schedule.h"

// Runs many fault schedules: `consensus_schedules --seed 1 --schedules 100000`.

using namespace acaciafork::consensus;
namespace options = boost::program_options;

int main(int argc, char **argv)
{
    ScheduleSettings settings;
    std::uint64_t schedules = 1000;
    options::options_description described("Options");
    described.add_options()("help", "shows this text")("seed", options::value(&settings.seed),
                                                       "seed of the first schedule")(
            "schedules", options::value(&schedules), "number of seeds to run")(
            "trace", options::bool_switch(&settings.trace), "writes each event to standard error")(
            "skip-sync", options::bool_switch(&settings.faults.skipSync),
            "disks report syncs that they did not do")(
            "drop-vote", options::bool_switch(&settings.faults.dropVote),
            "disks lose votes")("clock-spread", options::value(&settings.clockRateSpread),
                                "clock rates differ by up to this many parts in a thousand");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, described), given);
    options::notify(given);
    if (given.contains("help")) {
        std::cout << described;
        return 0;
    }

    ScheduleResult total;
    int failed = 0;
    for (std::uint64_t it = 0; it < schedules; ++it, ++settings.seed) {
        settings.members = settings.seed % 2 == 0 ? 5 : 3;
        const ScheduleResult result = Schedule(settings).run();
        total.acknowledged += result.acknowledged;
        total.reads += result.reads;
        total.crashes += result.crashes;
        total.membershipChanges += result.membershipChanges;
        if (result.violation.empty())
            continue;
        ++failed;
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(settings.seed),
                    result.violation.c_str());
    }
    std::printf("%llu schedules, %d failed, %zu acknowledged, %zu reads, %zu crashes, %zu changes "
                "of members\n",
                static_cast<unsigned long long>(schedules), failed, total.acknowledged, total.reads,
                total.crashes, total.membershipChanges);
    return failed == 0 ? 0 : 1;
}
