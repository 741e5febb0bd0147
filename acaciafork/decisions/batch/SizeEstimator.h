#pragma once

#include <vector>

#include "acaciafork/decisions/batch/NameIndex.h"
#include "acaciafork/decisions/batch/QuantileSketch.h"
#include "acaciafork/decisions/batch/Types.h"

namespace acaciafork::batch {

/// Parameters for learning sizes and run times.
struct SizeSettings
{
    /// Number of ended jobs of a family before its history is used.
    std::int64_t minSamples = 8;
    /// Quantiles of the observed usage that a job is granted.
    double coresQuantile = 0.9;
    double memoryQuantile = 0.98;
    /// Granted cores relative to that quantile, in thousandths. A job that used less than its grant
    /// by this margin was not limited by it.
    std::int64_t coresMarginPermille = 1010;
    /// Granted memory relative to that quantile, in thousandths.
    std::int64_t memoryMarginPermille = 1100;
    /// Minimum grant relative to the declared size, in thousandths, regardless of how little a
    /// family uses.
    std::int64_t minGrantPermille = 50;
};

/// Learns the actual size and run time of each family of jobs, as ratios to the declared values.
class SizeEstimator
{
public:
    explicit SizeEstimator(const SizeSettings &settings);

    /// Records that a job used at most `peak` while it was granted `granted`.
    void learnUsage(Index family, const Resources &declared, const Resources &granted,
                    const Resources &peak);
    /// Records that a job finished after `runTime`.
    void learnRunTime(Index family, Duration declared, Duration runTime);

    /// Returns the size to grant: learned if there is enough history, else as declared.
    [[nodiscard]] Resources size(Index family, const Resources &declared) const;
    /// Returns the quantile `q` of the run time of the family, or the declared run time without
    /// enough history; zero if that is unknown as well.
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
