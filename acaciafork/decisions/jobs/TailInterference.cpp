#include "acaciafork/decisions/jobs/TailInterference.h"

#include <algorithm>
#include <cmath>

namespace acaciafork::jobs {
namespace {

/// Typical ratio of tail latency to target without interference: the middle of its range, since the
/// ratio varies with the load of the serving task.
constexpr double undisturbedRatio = 0.45;
/// Ratios are clamped to this value; larger ones only show that the tail latency is far over its
/// target.
constexpr double maxTailRatio = 6;
/// Prior deviation of the increase for use of a whole worker, in the range seen for pairs that
/// interfere; and the lower limit of the deviation, which allows for drift.
constexpr float priorDeviation = 8;
constexpr double minDeviation = 0.8;
constexpr double ratioNoise = 0.25;
/// Increase of a tail latency, as a share of its target, that counts as harmless.
constexpr double harmlessGrowth = 0.25;
/// Increases for use of a whole worker. Pairs that interfere show 4 to 19, all others less than
/// 0.8; the bounds leave room for the error of an estimate, which must not exceed the last one.
constexpr double harmlessBelow = 3;
constexpr double harmfulAbove = 1.5;
constexpr double maxKnownDeviation = 3;
/// A harmful pair is explored again after this time: each exploration costs about 10 s of serving
/// time over target, so 31 pairs cost about one task-second a second in the whole fleet.
constexpr Duration harmfulLifetime = std::chrono::minutes(5);
/// The model is used with a single load level.
constexpr batch::Index level = 0;

} // namespace

TailInterference::TailInterference()
    : m_model({ .measurementNoise = ratioNoise,
                .priorMean = 0,
                .priorDeviation = priorDeviation,
                .minDeviation = minDeviation })
{ }

batch::Index TailInterference::indexOf(std::string_view image)
{
    const auto next = static_cast<batch::Index>(m_indexes.size());
    return m_indexes.try_emplace(std::string(image), next).first->second;
}

batch::Index TailInterference::findIndex(std::string_view image) const
{
    const auto it = m_indexes.find(std::string(image));
    return it == m_indexes.end() ? batch::noIndex : it->second;
}

void TailInterference::observe(std::string_view serving, double tailRatio,
                               std::span<const BackfillNeighbour> neighbours)
{
    if (neighbours.empty())
        return;
    m_coRunners.clear();
    for (const BackfillNeighbour &it : neighbours) {
        const batch::Index index = indexOf(it.image);
        const auto found = std::ranges::find(m_coRunners, index, &batch::CoRunner::family);
        if (found != m_coRunners.end())
            found->count += static_cast<float>(it.share);
        else
            m_coRunners.push_back({ .family = index, .count = static_cast<float>(it.share) });
    }
    const batch::Index victim = indexOf(serving);
    for (const batch::CoRunner &it : m_coRunners)
        m_observedPairs.emplace(victim, it.family);
    m_model.observe(victim, m_coRunners, level,
                    std::min(tailRatio, maxTailRatio) - undisturbedRatio);
}

void TailInterference::observe(batch::Index serving, double growth,
                               std::span<const batch::CoRunner> neighbours)
{
    for (const batch::CoRunner &it : neighbours)
        m_observedPairs.emplace(serving, it.family);
    m_model.observe(serving, neighbours, level, std::min(growth, maxTailRatio));
}

void TailInterference::learn(batch::Index serving, batch::Index filling, double share,
                             double growth, double deviation)
{
    m_observedPairs.emplace(serving, filling);
    batch::PairEstimate pair = m_model.pair(serving, filling, level);
    const double gain =
            pair.variance * share / (share * share * pair.variance + deviation * deviation);
    pair.mean += static_cast<float>(gain * (std::min(growth, maxTailRatio) - share * pair.mean));
    pair.variance = std::max(static_cast<float>(minDeviation * minDeviation),
                             static_cast<float>(pair.variance * (1 - gain * share)));
    m_model.setPair(serving, filling, level, pair);
}

void TailInterference::learnAtLeast(batch::Index serving, batch::Index filling, double share,
                                    double growth)
{
    m_observedPairs.emplace(serving, filling);
    batch::PairEstimate pair = m_model.pair(serving, filling, level);
    pair.mean = std::max(pair.mean, static_cast<float>(std::min(growth, maxTailRatio) / share));
    pair.variance = std::min(pair.variance, 1.0F);
    m_model.setPair(serving, filling, level, pair);
}

void TailInterference::doubt(batch::Index serving, batch::Index filling)
{
    m_observedPairs.emplace(serving, filling);
    m_model.setPair(serving, filling, level,
                    { .mean = 0, .variance = priorDeviation * priorDeviation });
}

void TailInterference::fade(Duration elapsed)
{
    const auto growth = static_cast<float>(
            maxKnownDeviation * maxKnownDeviation * std::chrono::duration<double>(elapsed).count()
            / std::chrono::duration<double>(harmfulLifetime).count());
    for (const auto &[victim, aggressor] : m_observedPairs) {
        if (stateOf(victim, aggressor) != PairState::Harmful)
            continue;
        batch::PairEstimate pair = m_model.pair(victim, aggressor, level);
        pair.variance += growth;
        m_model.setPair(victim, aggressor, level, pair);
    }
}

PairState TailInterference::stateOf(batch::Index serving, batch::Index filling) const
{
    const batch::PairEstimate &pair = m_model.pair(serving, filling, level);
    const double deviation = std::sqrt(pair.variance);
    if (deviation > maxKnownDeviation)
        return PairState::Unknown;
    if (pair.mean + deviation < harmlessBelow)
        return PairState::Harmless;
    return pair.mean - deviation > harmfulAbove ? PairState::Harmful : PairState::Unknown;
}

std::vector<InterferenceEstimate> TailInterference::estimates() const
{
    std::vector<std::string_view> names(m_indexes.size());
    for (const auto &[name, index] : m_indexes)
        names[index] = name;
    std::vector<InterferenceEstimate> pairs;
    for (const auto &[victim, aggressor] : m_observedPairs) {
        const batch::PairEstimate &pair = m_model.pair(victim, aggressor, level);
        pairs.push_back({ .serving = std::string(names[victim]),
                          .filling = std::string(names[aggressor]),
                          .mean = pair.mean,
                          .variance = pair.variance });
    }
    return pairs;
}

bool TailInterference::isObserved(batch::Index serving, batch::Index filling) const
{
    return m_model.pair(serving, filling, level).variance < priorDeviation * priorDeviation;
}

std::pair<std::size_t, std::size_t> TailInterference::countPairs(double growth) const
{
    constexpr double taskShare = 0.1;
    const auto exceeds = [&](const auto &it) {
        return expected(it.first, it.second, taskShare) > growth;
    };
    const auto n = std::ranges::count_if(m_observedPairs, exceeds);
    return { m_observedPairs.size(), static_cast<std::size_t>(n) };
}

void TailInterference::restore(std::span<const InterferenceEstimate> pairs)
{
    for (const InterferenceEstimate &it : pairs) {
        const batch::Index victim = indexOf(it.serving);
        const batch::Index aggressor = indexOf(it.filling);
        m_observedPairs.emplace(victim, aggressor);
        m_model.setPair(victim, aggressor, level, { .mean = it.mean, .variance = it.variance });
    }
}

bool TailInterference::isHarmless(std::string_view serving, std::string_view filling,
                                  double share) const
{
    const batch::Index victim = findIndex(serving);
    const batch::Index aggressor = findIndex(filling);
    return victim != batch::noIndex && aggressor != batch::noIndex
            && isHarmless(victim, aggressor, share);
}

bool TailInterference::isHarmless(batch::Index serving, batch::Index filling, double share) const
{
    const batch::PairEstimate &pair = m_model.pair(serving, filling, level);
    return (std::max(pair.mean, 0.0F) + std::sqrt(pair.variance)) * share < harmlessGrowth;
}

double TailInterference::expected(std::string_view serving, std::string_view filling,
                                  double share) const
{
    const batch::Index victim = findIndex(serving);
    const batch::Index aggressor = findIndex(filling);
    if (victim == batch::noIndex || aggressor == batch::noIndex)
        return 0;
    return m_model.expected(victim, aggressor, level) * share;
}

} // namespace acaciafork::jobs
