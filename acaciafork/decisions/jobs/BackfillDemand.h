#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "acaciafork/decisions/jobs/StepOrder.h"
#include "acaciafork/decisions/jobs/WorkerTable.h"

namespace acaciafork::jobs {

/// Processor time that the backfill tasks of each image ask for, smoothed over some ten seconds.
class BackfillDemand
{
public:
    /// Share of the demand that one image has.
    struct ImageShare
    {
        batch::Index image = batch::noIndex;
        double share = 0;
    };

    /// Adds what runs and what waits now; called in equal intervals.
    void update(const StepOrder &order, const WorkerTable &workers);
    void clear();

    /// Images with any demand, and their shares of it.
    [[nodiscard]] std::span<const ImageShare> images() const { return m_images; }
    /// Changes with each update.
    [[nodiscard]] std::uint64_t version() const { return m_version; }

private:
    /// Smoothed millicores by image index.
    std::vector<double> m_millicores;
    std::vector<ImageShare> m_images;
    std::uint64_t m_version = 0;
};

} // namespace acaciafork::jobs
