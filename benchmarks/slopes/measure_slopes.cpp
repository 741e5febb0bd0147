#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <malloc.h>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include "acaciafork/control/BatchRecords.h"
#include "acaciafork/control/EntryRegistry.h"
#include "acaciafork/peers/Peers.h"
#include "acaciafork/workers/Workers.h"
#include "benchmarks/slopes/LineFit.h"

using namespace acaciafork;
using namespace acaciafork::slopes;

namespace {

/// Processor time that a piece of work takes, in nanoseconds: the least of five rounds.
double costNs(const std::function<void()> &work)
{
    constexpr int rounds = 5;
    double least = 1e18;
    for (int i = 0; i < rounds; ++i) {
        const auto began = std::chrono::steady_clock::now();
        work();
        const std::chrono::duration<double, std::nano> took =
                std::chrono::steady_clock::now() - began;
        least = std::min(least, took.count());
    }
    return least;
}

/// Bytes that the process has allocated.
double allocatedBytes()
{
    return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

std::string numbered(std::string_view prefix, std::size_t n)
{
    return std::string(prefix) + std::to_string(n);
}

routing::EndpointAnnouncement announcement(std::size_t n, std::uint64_t sequence)
{
    return { .endpoint = { numbered("@loopdraw/", n) },
             .service = { "loopdraw" },
             .address = "10.1.23.45:8080",
             .zone = { numbered("tw-north-", n % 11) },
             .rack = { numbered("rack-", n / 11) },
             .incarnation = { 1'764'800'000'000'000 },
             .sequence = sequence,
             .slots = 8,
             .connections = 64,
             .requestsInProgress = 5 };
}

/// Fills an envelope as PeerLink does, and gives its size on the wire.
double wireBytes(wire::Envelope envelope)
{
    envelope.set_schema(1);
    envelope.set_cluster("warm-floors");
    envelope.set_cell(1);
    envelope.set_sender(104);
    envelope.set_incarnation(1'764'800'000'000'000);
    envelope.mutable_time()->set_wall_us(1'764'800'000'000'000);
    return static_cast<double>(envelope.ByteSizeLong());
}

// ---- one measurement each: value at a size

double announcementBytes(std::size_t size)
{
    wire::Envelope envelope;
    for (std::size_t i = 0; i < size; ++i)
        peers::encodeAnnouncement(announcement(i, 1000),
                                  envelope.mutable_endpoint_announcements()->add_announcements());
    return wireBytes(envelope);
}

double reportBytes(std::size_t size)
{
    routing::CreditReport report { .zone = { "tw-north-a" }, .term = 7, .number = 100'000 };
    for (std::size_t i = 0; i < size; ++i)
        report.holdings.push_back({ .endpoint = { numbered("@loopdraw/", i) },
                                    .service = { "loopdraw" },
                                    .grantNumber = 10'000 + i,
                                    .slots = 4,
                                    .inUse = 3,
                                    .connections = 8 });
    wire::Envelope envelope;
    peers::encodeReport(report, envelope.mutable_credit_report());
    return wireBytes(envelope);
}

/// Heartbeat's reply to an entry that holds the current list of entries.
wire::Envelope unchangedReply()
{
    wire::Envelope envelope;
    wire::HeartbeatReply *reply = envelope.mutable_heartbeat_reply();
    reply->set_sequence(100'000);
    reply->set_config_version(5'000);
    reply->set_term(7);
    reply->set_entries_revision((std::uint64_t { 7 } << 32) | 100);
    return envelope;
}

/// One heartbeat and its reply, whatever the number of entries.
double heartbeatBytes(std::size_t)
{
    wire::Envelope envelope;
    wire::EntryHeartbeat *heartbeat = envelope.mutable_entry_heartbeat();
    heartbeat->set_sequence(100'000);
    heartbeat->set_zone("tw-north-a");
    heartbeat->set_callers_address("10.1.23.45:8080");
    heartbeat->set_operators_address("10.1.23.45:8411");
    heartbeat->set_config_version(5'000);
    heartbeat->set_entries_revision((std::uint64_t { 7 } << 32) | 100);
    envelope.set_sender_address("10.1.23.45:8412");
    return wireBytes(envelope) + wireBytes(unchangedReply());
}

double heartbeatReplyBytes(std::size_t size)
{
    wire::Envelope envelope = unchangedReply();
    wire::HeartbeatReply *reply = envelope.mutable_heartbeat_reply();
    for (std::size_t i = 0; i < size; ++i) {
        wire::EntryPeer *peer = reply->add_entries();
        peer->set_process(static_cast<std::uint32_t>(101 + i));
        peer->set_zone(numbered("tw-north-", i % 11));
        peer->set_callers_address("10.1.23.45:8080");
    }
    return wireBytes(envelope);
}

double workerReportBytes(std::size_t size)
{
    workers::WorkerReport report { .worker = { "rack-17-worker-3" },
                                   .incarnation = { 1'764'800'000'000'000 },
                                   .sequence = 100'000,
                                   .rack = { "rack-17" },
                                   .building = { "north" },
                                   .zone = { "tw-north-a" },
                                   .millicores = 32'000,
                                   .memoryMb = 125'000,
                                   .address = { .host = "10.1.23.45", .port = 9000 } };
    for (std::size_t i = 0; i < size; ++i)
        report.tasks.push_back({ .task = { numbered("architects/building-", i) }, .epoch = { 2 } });
    return static_cast<double>(workers::encodeWorkerReport(report).size());
}

double workerReportCost(std::size_t size)
{
    workers::WorkerReport report { .worker = { "w" },
                                   .incarnation = { 1 },
                                   .sequence = 1,
                                   .rack = { "r" },
                                   .building = { "b" },
                                   .zone = { "z" },
                                   .millicores = 1,
                                   .memoryMb = 1,
                                   .address = { .host = "10.1.23.45", .port = 9000 } };
    for (std::size_t i = 0; i < size; ++i)
        report.tasks.push_back({ .task = { numbered("architects/building-", i) }, .epoch = { 2 } });
    const std::string json = workers::encodeWorkerReport(report);
    constexpr int repeats = 200;
    return costNs([&] {
               for (int i = 0; i < repeats; ++i)
                   leaf::try_handle_all(
                           [&]() -> Result<void> {
                               BOOST_LEAF_AUTO(decoded, workers::decodeWorkerReport("w", json));
                               ACACIAFORK_ASSERT(decoded.tasks.size() == size);
                               return {};
                           },
                           [] { ACACIAFORK_ASSERT(false); });
           })
            / repeats;
}

/// Announces every endpoint once more at a grantor that knows them; the cost of one round.
double announceRoundCost(std::size_t size)
{
    routing::CreditGrantor grantor(peers::creditTiming());
    routing::GrantorCommands commands;
    grantor.becameLeader(Timestamp(), 1, {}, true, &commands);
    std::uint64_t sequence = 0;
    const auto round = [&] {
        ++sequence;
        const Timestamp now =
                timestampFromMicroseconds(static_cast<std::int64_t>(sequence) * 1'000'000);
        for (std::size_t i = 0; i < size; ++i) {
            commands.clear();
            grantor.endpointAnnounced(now, announcement(i, sequence), &commands);
        }
    };
    round();
    return costNs(round);
}

double grantorMemory(std::size_t size)
{
    const double before = allocatedBytes();
    routing::CreditGrantor grantor(peers::creditTiming());
    routing::GrantorCommands commands;
    grantor.becameLeader(Timestamp(), 1, {}, true, &commands);
    for (std::size_t i = 0; i < size; ++i) {
        commands.clear();
        grantor.endpointAnnounced(timestampFromMicroseconds(1), announcement(i, 1), &commands);
    }
    return allocatedBytes() - before;
}

wire::Command submitted(std::size_t i)
{
    wire::Command command;
    command.set_cell(1);
    command.set_time_us(1'764'800'000'000'000);
    wire::SubmitTask *task = command.mutable_submit_task();
    task->set_service("loopdraw");
    task->set_task(numbered("@loopdraw/", i));
    task->set_family("loopdraw");
    task->mutable_size()->set_millicores(1000);
    task->mutable_size()->set_memory_mb(1000);
    return command;
}

double stateMemory(std::size_t size)
{
    const double before = allocatedBytes();
    state::StateMachine machine(CellId { 1 });
    for (std::size_t i = 0; i < size; ++i)
        machine.apply(i + 1, state::bytesOf(state::encodeCommand(submitted(i))));
    ACACIAFORK_ASSERT(machine.tasks().all().size() == size);
    return allocatedBytes() - before;
}

/// What a new leader does before its scheduler starts: copying the live tasks out of the state.
double takeOverCost(std::size_t size)
{
    state::StateMachine machine(CellId { 1 });
    for (std::size_t i = 0; i < size; ++i)
        machine.apply(i + 1, state::bytesOf(state::encodeCommand(submitted(i))));
    return costNs([&] {
        const batch::RestoredState restored = control::restoredState(machine, {});
        ACACIAFORK_ASSERT(restored.tasks.size() == size);
    });
}

/// The leader's work for one heartbeat of each entry.
double heartbeatRoundCost(std::size_t size)
{
    control::EntryRegistry registry({});
    registry.becameLeader(Timestamp());
    return costNs([&] {
        for (std::size_t i = 0; i < size; ++i)
            registry.heartbeat(timestampFromMicroseconds(1),
                               { .process = { static_cast<std::uint32_t>(i + 1) },
                                 .incarnation = { 1 },
                                 .version = { 1 } });
    });
}

/// One slope: what is measured, over which sizes, and the size of two years ahead.
struct Slope
{
    std::string_view name;
    std::string_view unit;
    std::string_view per;
    double (*measure)(std::size_t size);
    std::vector<std::size_t> sizes;
    double target = 0;
};

std::vector<Slope> makeSlopes()
{
    const std::vector<std::size_t> endpoints { 65, 500, 2'000, 8'200 };
    const std::vector<std::size_t> tasks { 5'000, 20'000, 80'000, 277'000 };
    return {
        { "announcements", "bytes", "endpoints in one message", announcementBytes, endpoints,
          47'000 },
        { "credit-report", "bytes", "holdings that changed", reportBytes, { 1, 8, 32, 128 }, 128 },
        { "heartbeat", "bytes", "entries", heartbeatBytes, { 3, 9, 16, 23 }, 23 },
        { "heartbeat-reply", "bytes", "entries", heartbeatReplyBytes, { 3, 9, 16, 23 }, 23 },
        { "worker-report", "bytes", "tasks of a worker", workerReportBytes, { 1, 8, 34, 100 }, 34 },
        { "worker-report-cpu", "ns", "tasks of a worker", workerReportCost, { 1, 8, 34, 100 }, 34 },
        { "announce-round", "ns", "endpoints", announceRoundCost, endpoints, 47'000 },
        { "grantor-memory", "bytes", "endpoints", grantorMemory, endpoints, 47'000 },
        { "state-memory", "bytes", "live tasks", stateMemory, tasks, 277'000 },
        { "take-over", "ns", "live tasks", takeOverCost, tasks, 277'000 },
        { "heartbeat-round", "ns", "entries", heartbeatRoundCost, { 9, 16, 23, 46 }, 23 },
    };
}

/// Writes the points and the line as a gnuplot script that draws one SVG.
void writePlot(const std::string &folder, const Slope &slope, std::span<const Point> points,
               const LineFit &fit)
{
    std::ofstream plot(folder + "/" + std::string(slope.name) + ".gnuplot");
    plot << "set terminal svg size 480,320\nset output '" << folder << '/' << slope.name
         << ".svg'\nset title '" << slope.name << "'\nset xlabel '" << slope.per
         << "'\nset ylabel '" << slope.unit << "'\nset key left\n$points << END\n";
    for (const Point &it : points)
        plot << it.size << ' ' << it.value << '\n';
    plot << "END\nplot $points with points pt 7 title 'measured', " << fit.constant << '+'
         << fit.slope << "*x title 'line'\n";
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("measure_slopes: value over size, fitted by a line");
    options.add_options()("help", "print this help")(
            "plots", po::value<std::string>(), "folder for gnuplot scripts, one for each slope");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.contains("help")) {
        std::cout << options;
        return 0;
    }

    std::cout << "| slope | sizes | slope, "
              << "constant | worst error | at the size ahead |\n"
              << "|---|---|---|---|---|\n";
    for (const Slope &slope : makeSlopes()) {
        std::vector<Point> points;
        std::string sizes;
        for (const std::size_t it : slope.sizes) {
            points.push_back({ .size = static_cast<double>(it), .value = slope.measure(it) });
            sizes += (sizes.empty() ? "" : ", ") + std::to_string(it);
        }
        const LineFit fit = fitLine(points);
        const bool extrapolated = slope.target > static_cast<double>(slope.sizes.back());
        std::cout << "| " << slope.name << " | " << sizes << ' ' << slope.per << " | " << fit.slope
                  << ' ' << slope.unit << " each, " << fit.constant << " | " << 100 * fit.worstError
                  << " % | " << fit.at(slope.target) << ' ' << slope.unit << " at " << slope.target
                  << (extrapolated ? " (extrapolated)" : "") << " |\n";
        if (values.contains("plots"))
            writePlot(values["plots"].as<std::string>(), slope, points, fit);
    }
    return 0;
}
