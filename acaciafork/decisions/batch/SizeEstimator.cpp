#include "acaciafork/decisions/batch/SizeEstimator.h"

namespace acaciafork::batch {

namespace {

constexpr std::int64_t permilleScale = 1000;
/// Stands for the declared run time of jobs that declared none.
constexpr Duration undeclaredRunTime = std::chrono::minutes(10);

double ratio(std::int64_t part, std::int64_t whole)
{
    return static_cast<double>(part) / static_cast<double>(std::max<std::int64_t>(whole, 1));
}

Duration baseRunTime(Duration declared)
{
    return declared > Duration::zero() ? declared : undeclaredRunTime;
}

} // namespace

SizeEstimator::SizeEstimator(const SizeSettings &settings)
    : m_settings(settings)
{ }

SizeEstimator::Family &SizeEstimator::familyAt(Index family)
{
    if (family >= m_families.size())
        m_families.resize(family + 1);
    return m_families[family];
}

const SizeEstimator::Family *SizeEstimator::findFamily(Index family) const
{
    return family < m_families.size() ? &m_families[family] : nullptr;
}

bool SizeEstimator::hasEnoughSamples(const QuantileSketch &sketch) const
{
    return sketch.weight() >= static_cast<double>(m_settings.minSamples);
}

void SizeEstimator::learnUsage(Index family, const Resources &declared, const Resources &granted,
                               const Resources &peak)
{
    // Use that fills the grant may have been held back by it: the need is taken to be larger.
    constexpr std::int64_t limitedPermille = 995;
    constexpr std::int64_t growthPermille = 1500;
    const bool limitedByGrant = peak.millicores * permilleScale
            >= std::int64_t { granted.millicores } * limitedPermille;
    const bool grantedBelowDeclared = granted.millicores < declared.millicores;
    const std::int64_t cores = limitedByGrant && grantedBelowDeclared
            ? std::min<std::int64_t>(declared.millicores,
                                     peak.millicores * growthPermille / permilleScale)
            : peak.millicores;
    Family &it = familyAt(family);
    it.cores.add(ratio(cores, declared.millicores));
    it.memory.add(ratio(peak.memoryMb, declared.memoryMb));
}

void SizeEstimator::learnRunTime(Index family, Duration declared, Duration runTime)
{
    familyAt(family).runTime.add(ratio(runTime.count(), baseRunTime(declared).count()));
}

Resources SizeEstimator::size(Index family, const Resources &declared) const
{
    Resources size = declared;
    size.slots = std::max(size.slots, 1);
    const Family *it = findFamily(family);
    if (it == nullptr || !hasEnoughSamples(it->cores))
        return size;
    const auto grant = [&](std::int32_t amount, double factor) {
        const double minFactor = ratio(m_settings.minGrantPermille, permilleScale);
        return std::max(static_cast<std::int32_t>(amount * std::max(factor, minFactor)), 1);
    };
    const double coresMargin = ratio(m_settings.coresMarginPermille, permilleScale);
    const double memoryMargin = ratio(m_settings.memoryMarginPermille, permilleScale);
    size.millicores =
            grant(declared.millicores, it->cores.quantile(m_settings.coresQuantile) * coresMargin);
    size.memoryMb =
            grant(declared.memoryMb, it->memory.quantile(m_settings.memoryQuantile) * memoryMargin);
    return size;
}

Duration SizeEstimator::runTime(Index family, Duration declared, double q) const
{
    const Family *it = findFamily(family);
    if (it == nullptr || !hasEnoughSamples(it->runTime))
        return declared;
    const double time =
            static_cast<double>(baseRunTime(declared).count()) * it->runTime.quantile(q);
    return Duration(static_cast<Duration::rep>(time));
}

} // namespace acaciafork::batch
