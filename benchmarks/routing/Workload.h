#pragma once

#include <cstdint>
#include <vector>

#include "acaciafork/core/Random.h"
#include "acaciafork/core/Time.h"

namespace acaciafork::routing::bench {

/// One deployment of the brief.
struct Deployment
{
    const char *name = "";
    int endpoints = 0;
    int endpointsPerRack = 0;
    int entries = 0;
    int slots = 8;
    int connections = 64;
};

/// Kind of work of an arrival; also its route.
enum class WorkKind : std::uint8_t { Check, Layout, Straggler };

/// One request of the workload.
struct Arrival
{
    /// Microseconds from the start of the run.
    std::int64_t time = 0;
    int entry = 0;
    Duration work {};
    WorkKind kind = WorkKind::Check;
    Duration timeout {};
};

/// Load over one stretch of a run, as parts of the deployment's slots kept busy.
struct Stretch
{
    double seconds = 0;
    /// By short checks and layouts, nine and one in ten arrivals.
    double load = 0;
    /// By stragglers, on top.
    double stragglerLoad = 0;
};

/// Shape of a workload.
struct WorkloadOptions
{
    Deployment deployment;
    std::vector<Stretch> stretches;
    /// When the first stretch begins.
    double startSeconds = 8;
    Duration timeout = std::chrono::seconds(20);
    /// Time allowed to stragglers.
    Duration stragglerTimeout = std::chrono::seconds(120);
    /// Times the share of the others that the first entry gets.
    double skew = 1;
    std::uint64_t seed = 1;
};

/// Draws the arrivals of a run, in order of time.
std::vector<Arrival> drawArrivals(const WorkloadOptions &options);

/// What one policy made of a workload.
struct Outcome
{
    int arrivals = 0;
    int answered = 0;
    int refused = 0;
    int unknown = 0;
    /// Answered within their timeout.
    int useful = 0;
    /// Slot time of the useful answers, of all slot time.
    double usefulShare = 0;
    /// Useful answers, of the arrivals that the slots could carry.
    double usefulCountShare = 0;
    /// Time that 99 of 100 answers took beyond their own work.
    double waitP99Ms = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double checkP99Ms = 0;
    int overshoots = 0;
    /// Attempts beyond the first, of the requests that had one, in percent.
    double extraAttemptsPercent = 0;
    double controlMessagesPerSecond = 0;
};

/// How one arrival ended, for the summary.
struct Ended
{
    const Arrival *arrival = nullptr;
    /// Microseconds from arrival to answer; below zero when there was none.
    std::int64_t latency = -1;
    bool refused = false;
    int attempts = 1;
};

/// Sums up the arrivals of [from, to) seconds.
Outcome summarize(const std::vector<Ended> &ended, const Deployment &deployment, double from,
                  double to);

} // namespace acaciafork::routing::bench
