#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <thread>

#include <boost/program_options.hpp>

#include "ThreadedGroup.h"
#include "tests/consensus/Group.h"

// Measures the agreement: `measure_consensus --topic commit|failover|recovery|catchup`.

using namespace acaciafork;
using namespace acaciafork::consensus;
namespace options = boost::program_options;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// What the command line asked for.
struct Arguments
{
    std::string topic = "commit";
    std::string path;
    std::uint64_t seed = 1;
    std::int64_t runSeconds = 2;
    std::size_t stateMegabytes = 64;
    std::int64_t syncDelayUs = 0;
    std::size_t rate = 8000;
    int rounds = 3;
};

/// Value below which `share` of the sorted values lie, in milliseconds.
double quantileMs(std::vector<std::int64_t> &values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return static_cast<double>(values[at]) / 1000.0;
}

/// Empty folder for one run.
std::string freshFolder(const Arguments &arguments)
{
    std::string path = arguments.path + "/acaciafork-measure";
    std::filesystem::remove_all(path);
    std::filesystem::create_directories(path);
    return path;
}

void awaitLeader(const ThreadedGroup &group)
{
    while (group.leader() == 0)
        std::this_thread::sleep_for(milliseconds(10));
}

/// Runs one load on a fresh group and prints a row of its latencies.
void runLoad(const Arguments &arguments, std::size_t members, const LoadSettings &load)
{
    ThreadedGroup group({ .members = members,
                          .path = freshFolder(arguments),
                          .syncDelay = Duration(arguments.syncDelayUs) });
    awaitLeader(group);
    group.load(load);
    std::this_thread::sleep_for(milliseconds(500));
    (void)group.take();
    const auto start = Clock::now();
    std::this_thread::sleep_for(seconds(arguments.runSeconds));
    LoadResult result = group.take();
    const double elapsed = std::chrono::duration<double>(Clock::now() - start).count();
    const auto count = static_cast<double>(result.latenciesUs.size());
    std::printf("| %zu | %zu | %.0f | %.2f | %.2f | %.0f |\n", members,
                load.rate != 0 ? load.rate : load.window, count / elapsed,
                quantileMs(result.latenciesUs, 0.5), quantileMs(result.latenciesUs, 0.99),
                static_cast<double>(result.bytesToFollowers) / count
                        / static_cast<double>(members - 1));
    std::fflush(stdout);
}

void printLoadHeader(const char *load)
{
    std::printf("| members | %s | commits/s | p50 ms | p99 ms | bytes a command a follower |\n"
                "|---|---|---|---|---|---|\n",
                load);
}

void measureCommit(const Arguments &arguments)
{
    printLoadHeader("window");
    for (const std::size_t members : { 3, 5 }) {
        for (const std::size_t window : { 1, 8, 64, 256, 1024, 4096 })
            runLoad(arguments, members, { .window = window });
    }
}

void measureRate(const Arguments &arguments)
{
    printLoadHeader("offered/s");
    for (const std::size_t members : { 3, 5 })
        runLoad(arguments, members, { .rate = arguments.rate });
}

/// Time from the loss of the leader to the first commit under the next one, in virtual time.
std::int64_t failoverUs(std::size_t members, std::uint64_t seed)
{
    GroupSettings settings { .members = members, .seed = seed };
    settings.link.minDelay = milliseconds(1);
    settings.link.maxDelay = milliseconds(2);
    Group group(settings);
    group.awaitLeader();
    group.run(milliseconds(static_cast<std::int64_t>(500 + seed % 97)));
    GroupMember *lost = group.leader();
    lost->crash();
    const Timestamp start = group.now();
    bool proposed = false;
    while (true) {
        group.step();
        GroupMember *leader = group.leader();
        if (leader == nullptr)
            continue;
        if (!proposed)
            proposed = static_cast<bool>(
                    leader->replica->propose(leader->clock(), Register::command(1, 0, 1)));
        if (leader->state.find(1) != nullptr)
            return (group.now() - start).count();
    }
}

void measureFailover(const Arguments &arguments)
{
    constexpr std::uint64_t kills = 100;
    std::printf("| members | kills | p50 ms | p99 ms | longest ms |\n|---|---|---|---|---|\n");
    for (const std::size_t members : { 3, 5 }) {
        std::vector<std::int64_t> times;
        times.reserve(kills);
        for (std::uint64_t it = 0; it < kills; ++it)
            times.push_back(failoverUs(members, arguments.seed + it));
        std::printf("| %zu | %llu | %.0f | %.0f | %.0f |\n", members,
                    static_cast<unsigned long long>(kills), quantileMs(times, 0.5),
                    quantileMs(times, 0.99), quantileMs(times, 1.0));
    }
}

/// Counts what is applied.
class Counting : public ReplicaHandler
{
public:
    void send(ProcessId /*to*/, std::string /*bytes*/) override { }
    void apply(const LogPosition & /*position*/, std::string_view /*command*/) override
    {
        ++applied;
    }
    std::string makeSnapshot() override { return std::to_string(applied); }
    bool loadSnapshot(std::string_view bytes) override
    {
        applied = std::stoull(std::string(bytes));
        return true;
    }
    void roleChanged(Role /*role*/, ProcessId /*leader*/) override { }
    void readReady(ReadTicket /*ticket*/, bool /*ready*/) override { }

    std::uint64_t applied = 0;
};

/// Opens a group of one, gives it `count` commands in all, and returns the time from opening until
/// what was there before is applied again.
double openAndApplyMs(const std::string &path, std::uint64_t count)
{
    const ProcessId self { 1 };
    ReplicaSettings settings { .cluster = "measure", .identity = { .self = self }, .seed = 1 };
    settings.identity.initialMembers = { { .id = self, .voter = true } };
    settings.node.snapshotEntries = 1'000'000;
    Counting handler;
    const auto start = Clock::now();
    auto files = PosixFolder::open(path);
    ACACIAFORK_ASSERT(files.has_value());
    Timestamp now = timestampFromMicroseconds(0);
    auto replica = Replica::open(now, settings, files->get(), &handler);
    ACACIAFORK_ASSERT(replica.has_value());
    const std::uint64_t kept = (*replica)->node().lastIndex();
    // The loop's time is virtual: only work counts, not the election timeout.
    while (!(*replica)->canReadNow(now)) {
        now += milliseconds(50);
        (*replica)->tick(now);
        (*replica)->flush(now);
    }
    const double elapsed = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
    ACACIAFORK_ASSERT(kept < 3 || handler.applied + 16 > kept);
    while (handler.applied < count) {
        for (int it = 0; it < 500; ++it)
            (void)(*replica)->propose(now, std::string(200, 'c'));
        (*replica)->flush(now);
    }
    return elapsed;
}

void measureRecovery(const Arguments &arguments)
{
    std::printf("| changes since the snapshot | restart ms |\n|---|---|\n");
    for (const std::uint64_t count : { 1'000, 10'000, 100'000, 300'000 }) {
        const std::string path = freshFolder(arguments);
        openAndApplyMs(path, count);
        std::vector<std::int64_t> times;
        times.reserve(5);
        for (int it = 0; it < 5; ++it)
            times.push_back(static_cast<std::int64_t>(openAndApplyMs(path, 0) * 1000));
        std::printf("| %llu | %.1f |\n", static_cast<unsigned long long>(count),
                    quantileMs(times, 0.5));
    }
}

void printLatencies(const char *label, int round, const char *phase, LoadResult result,
                    double elapsedSeconds)
{
    std::printf("| %s | %d | %s | %.2f | %.2f | %.2f | %.2f |\n", label, round, phase,
                quantileMs(result.latenciesUs, 0.5), quantileMs(result.latenciesUs, 0.99),
                quantileMs(result.latenciesUs, 1.0), elapsedSeconds);
    std::fflush(stdout);
}

void catchUpOnce(const Arguments &arguments, bool fromFollower, int round)
{
    const char *label = fromFollower ? "follower" : "leader";
    NodeSettings node { .snapshotEntries = 2'000, .trailingEntries = 100 };
    node.snapshotFromFollower = fromFollower;
    ThreadedGroup group({ .members = 3,
                          .spares = 1,
                          .path = freshFolder(arguments),
                          .stateBytes = arguments.stateMegabytes * 1024 * 1024,
                          .syncDelay = Duration(arguments.syncDelayUs),
                          .node = node });
    awaitLeader(group);
    // Once every member has its snapshot, the load begins, and then the learner comes.
    group.load({ .window = 64 });
    while (group.applied(1) < 2'100 || group.applied(2) < 2'100 || group.applied(3) < 2'100)
        std::this_thread::sleep_for(milliseconds(10));
    group.load({ .window = 0 });
    std::this_thread::sleep_for(seconds(2));
    group.load({ .rate = 500 });
    std::this_thread::sleep_for(milliseconds(300));
    (void)group.take();
    std::this_thread::sleep_for(seconds(1));
    printLatencies(label, round, "before", group.take(), 1.0);

    const auto start = Clock::now();
    group.start(4);
    group.addLearner(4);
    while (group.applied(4) < 2'000)
        std::this_thread::sleep_for(milliseconds(1));
    const double elapsed = std::chrono::duration<double>(Clock::now() - start).count();
    printLatencies(label, round, "catch-up", group.take(), elapsed);
}

void measureCatchUp(const Arguments &arguments)
{
    std::printf("| fed by | round | phase | p50 ms | p99 ms | longest ms | seconds |\n"
                "|---|---|---|---|---|---|---|\n");
    for (int round = 1; round <= arguments.rounds; ++round) {
        catchUpOnce(arguments, false, round);
        catchUpOnce(arguments, true, round);
    }
}

/// Time of one small write with its sync.
void measureSync(const Arguments &arguments)
{
    constexpr int writes = 1000;
    auto folder = PosixFolder::open(freshFolder(arguments));
    ACACIAFORK_ASSERT(folder.has_value());
    auto file = (*folder)->openFile("log");
    ACACIAFORK_ASSERT(file.has_value());
    std::vector<std::int64_t> times;
    times.reserve(writes);
    for (int it = 0; it < writes; ++it) {
        const auto start = Clock::now();
        ACACIAFORK_ASSERT(static_cast<bool>((*file)->append(std::string(256, 'x'))));
        ACACIAFORK_ASSERT(static_cast<bool>((*file)->sync()));
        times.push_back(std::chrono::duration_cast<Duration>(Clock::now() - start).count());
    }
    std::printf("| writes | p50 ms | p99 ms |\n|---|---|---|\n| %d | %.3f | %.3f |\n", writes,
                quantileMs(times, 0.5), quantileMs(times, 0.99));
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    arguments.path = std::filesystem::temp_directory_path();
    options::options_description described("Options");
    described.add_options()("help",
                            "shows this text")("topic", options::value(&arguments.topic),
                                               "commit, rate, sync, failover, recovery or catchup")(
            "path", options::value(&arguments.path), "folder on the disk to measure")(
            "seed", options::value(&arguments.seed), "seed of failover")(
            "seconds", options::value(&arguments.runSeconds), "length of one run of commit")(
            "sync-delay-us", options::value(&arguments.syncDelayUs),
            "added to each sync in commit, to stand for a slower disk")(
            "rate", options::value(&arguments.rate), "commands a second in rate")(
            "rounds", options::value(&arguments.rounds), "rounds of catchup")(
            "state-mb", options::value(&arguments.stateMegabytes), "size of the state in catchup");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, described), given);
    options::notify(given);
    if (given.contains("help")) {
        std::cout << described;
        return 0;
    }
    if (arguments.topic == "commit")
        measureCommit(arguments);
    else if (arguments.topic == "failover")
        measureFailover(arguments);
    else if (arguments.topic == "recovery")
        measureRecovery(arguments);
    else if (arguments.topic == "catchup")
        measureCatchUp(arguments);
    else if (arguments.topic == "rate")
        measureRate(arguments);
    else if (arguments.topic == "sync")
        measureSync(arguments);
    else
        return 2;
    std::filesystem::remove_all(arguments.path + "/acaciafork-measure");
    return 0;
}
