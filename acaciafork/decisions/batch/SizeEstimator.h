#pragma once

#include <vector>

#include "acaciafork/decisions/batch/NameIndex.h"
#include "acaciafork/decisions/batch/QuantileSketch.h"
#include "acaciafork/decisions/batch/Types.h"

namespace acaciafork::batch {

/// How sizes and run times are learned.
struct SizeSettings
{
    /// Ended jobs of a family before its history counts.
    std::int64_t minSamples = 8;
    /// Quantiles of use that a job is granted.
    double coresQuantile = 0.9;
    double memoryQuantile = 0.98;
    /// Granted cores over that quantile, in thousandths: what uses less than the grant by this much
    /// was not held back by it.
    std::int64_t coresMarginPermille = 1010;
    /// Granted memory over that quantile, in thousandths.
    std::int64_t memoryMarginPermille = 1100;
    /// Least grant over the declared size, in thousandths, however little a family uses.
    std::int64_t minGrantPermille = 50;
};

/// True size and run time of each family of jobs, as ratios to what was declared.
class SizeEstimator
{
public:
    explicit SizeEstimator(const SizeSettings &settings);

    /// A job used at most `peak` while it was granted `granted`.
    void learnUsage(Index family, const Resources &declared, const Resources &granted,
                    const Resources &peak);
    /// A job ran for `runTime` to its end.
    void learnRunTime(Index family, Duration declared, Duration runTime);

    /// Size to grant: learned where there is history, else as declared.
    [[nodiscard]] Resources size(Index family, const Resources &declared) const;
    /// Run time that the fraction `q` of the family stays within; zero when nothing is known.
    [[nodiscard]] Duration runTime(Index family, Duration declared, double q) const;

private:
    struct Family
    {
        QuantileSketch cores;
        QuantileSketch memory;
        QuantileSketch runTime;
    };

    Family &familyAt(Index family);
    [[nodiscard]] const Family *findFamily(Index family) const;
    [[nodiscard]] bool hasEnoughSamples(const QuantileSketch &sketch) const;

    SizeSettings m_settings;
    std::vector<Family> m_families;
};

} // namespace acaciafork::batch
