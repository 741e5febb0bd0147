#pragma once

#include <vector>

#include "acaciafork/decisions/batch/Model.h"

namespace acaciafork::batch {

/// Takes in late accounts of use: sizes of tasks, and disturbance attributed to those that ran
/// together at the time of the measurement.
class UsageReports
{
public:
    explicit UsageReports(Model *model);

    /// Takes one account.
    /// @return the worker it is about, or noIndex when it is a repeat, unknown or too old
    Index onReport(const UsageReport &report);

private:
    [[nodiscard]] static bool isDuplicate(Worker *worker, std::uint64_t seq);
    /// Families that ran at the worker when it sent report `seq`, with their counts.
    void collectCoRunners(const Worker &worker, std::uint64_t seq);
    void addCoRunner(Index family);
    void learnFromReport(Index worker, const UsageReport &report);
    void learnSlowdown(const Task &victim, Index level, double slowdown);

    Model *m_model;
    /// Families of the measurement in progress, and those without the victim.
    std::vector<CoRunner> m_coRunners;
    std::vector<CoRunner> m_otherCoRunners;
};

} // namespace acaciafork::batch
