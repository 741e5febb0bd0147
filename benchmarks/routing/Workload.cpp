#include "benchmarks/routing/Workload.h"

#include <algorithm>
#include <cmath>

namespace acaciafork::routing::bench {
namespace {

constexpr double secondUs = 1e6;
/// Mean work of the kinds, in seconds.
constexpr double checkMean = 0.08;
constexpr double layoutMean = 0.5;
constexpr double stragglerMean = 6;
/// Share of checks among checks and layouts.
constexpr double checkShare = 0.9;
/// Spread of the lognormal work of checks and layouts.
constexpr double spread = 0.7;

/// Lognormal with the mean given: a heavy tail on the right.
Duration drawWork(RandomGenerator *generator, double mean)
{
    std::lognormal_distribution<double> draw(std::log(mean) - spread * spread / 2, spread);
    return Duration(static_cast<std::int64_t>(draw(*generator) * secondUs));
}

double quantileMs(std::vector<std::int64_t> *latencies, double quantile)
{
    if (latencies->empty())
        return 0;
    const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(latencies->size()));
    const std::size_t place = std::min(rank, latencies->size() - 1);
    std::nth_element(latencies->begin(), latencies->begin() + static_cast<std::ptrdiff_t>(place),
                     latencies->end());
    return static_cast<double>((*latencies)[place]) / 1000;
}

/// Poisson arrivals of one kind over a stretch.
void drawKind(const WorkloadOptions &options, double from, double seconds, double rate,
              WorkKind kind, RandomGenerator *generator, std::vector<Arrival> *arrivals)
{
    if (rate <= 0)
        return;
    std::exponential_distribution<double> gap(rate);
    std::vector<double> weights(options.deployment.entries, 1);
    weights[0] = options.skew;
    std::discrete_distribution<int> entry(weights.begin(), weights.end());
    const double means[] = { checkMean, layoutMean, stragglerMean };
    const double mean = means[static_cast<std::size_t>(kind)];
    for (double at = gap(*generator); at < seconds; at += gap(*generator)) {
        const bool straggler = kind == WorkKind::Straggler;
        arrivals->push_back(
                Arrival { .time = static_cast<std::int64_t>((from + at) * secondUs),
                          .entry = entry(*generator),
                          .work = drawWork(generator, mean),
                          .kind = kind,
                          .timeout = straggler ? options.stragglerTimeout : options.timeout });
    }
}

} // namespace

std::vector<Arrival> drawArrivals(const WorkloadOptions &options)
{
    RandomGenerator generator(options.seed);
    std::vector<Arrival> arrivals;
    const int slots = options.deployment.endpoints * options.deployment.slots;
    const double mean = checkShare * checkMean + (1 - checkShare) * layoutMean;
    double from = options.startSeconds;
    for (const Stretch &it : options.stretches) {
        const double rate = it.load * slots / mean;
        drawKind(options, from, it.seconds, rate * checkShare, WorkKind::Check, &generator,
                 &arrivals);
        drawKind(options, from, it.seconds, rate * (1 - checkShare), WorkKind::Layout, &generator,
                 &arrivals);
        drawKind(options, from, it.seconds, it.stragglerLoad * slots / stragglerMean,
                 WorkKind::Straggler, &generator, &arrivals);
        from += it.seconds;
    }
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const Arrival &a, const Arrival &b) { return a.time < b.time; });
    return arrivals;
}

Outcome summarize(const std::vector<Ended> &ended, const Deployment &deployment, double from,
                  double to)
{
    Outcome outcome;
    std::vector<std::int64_t> all;
    std::vector<std::int64_t> checks;
    std::vector<std::int64_t> waits;
    int attempted = 0;
    int attempts = 0;
    double usefulWork = 0;
    double arrivedWork = 0;
    for (const Ended &it : ended) {
        const double at = static_cast<double>(it.arrival->time) / secondUs;
        if (at < from || at >= to)
            continue;
        ++outcome.arrivals;
        arrivedWork += static_cast<double>(it.arrival->work.count()) / secondUs;
        attempted += it.attempts > 0 ? 1 : 0;
        attempts += it.attempts;
        if (it.latency < 0) {
            ++(it.refused ? outcome.refused : outcome.unknown);
            continue;
        }
        ++outcome.answered;
        if (it.latency <= it.arrival->timeout.count()) {
            ++outcome.useful;
            usefulWork += static_cast<double>(it.arrival->work.count()) / secondUs;
        }
        if (it.arrival->kind != WorkKind::Straggler)
            all.push_back(it.latency);
        if (it.arrival->kind != WorkKind::Straggler)
            waits.push_back(it.latency - it.arrival->work.count());
        if (it.arrival->kind == WorkKind::Check)
            checks.push_back(it.latency);
    }
    const double capacity = deployment.endpoints * deployment.slots * (to - from);
    outcome.usefulShare = usefulWork / capacity;
    const double carried = outcome.arrivals * std::min(capacity / arrivedWork, 1.0);
    outcome.usefulCountShare = outcome.useful / carried;
    outcome.extraAttemptsPercent = attempted > 0 ? 100.0 * (attempts - attempted) / attempted : 0;
    outcome.waitP99Ms = quantileMs(&waits, 0.99);
    outcome.p50Ms = quantileMs(&all, 0.5);
    outcome.p99Ms = quantileMs(&all, 0.99);
    outcome.checkP99Ms = quantileMs(&checks, 0.99);
    return outcome;
}

} // namespace acaciafork::routing::bench
