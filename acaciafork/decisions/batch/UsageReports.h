#pragma once

#include <vector>

#include "acaciafork/decisions/batch/Model.h"

namespace acaciafork::batch {

/// Processes usage reports, which arrive late: updates the peak usage of tasks, and attributes
/// slowdown to the tasks that ran together at the time of the measurement.
class UsageReports
{
public:
    explicit UsageReports(Model *model);

    /// Processes one report.
    /// @return the worker that it describes, or noIndex when the report is a duplicate, from an
    /// unknown worker or an earlier incarnation, or too old
    Index onReport(const UsageReport &report);

private:
    [[nodiscard]] static bool isDuplicate(Worker *worker, std::uint64_t seq);
    /// Collects the families that ran on the worker when it sent report `seq`, with their counts.
    void collectCoRunners(const Worker &worker, std::uint64_t seq);
    void addCoRunner(Index family);
    void learnFromReport(Index worker, const UsageReport &report);
    void learnSlowdown(const Task &victim, Index level, double slowdown);

    Model *m_model;
    /// Families that ran together in the current report, and the same without the victim.
    std::vector<CoRunner> m_coRunners;
    std::vector<CoRunner> m_otherCoRunners;
};

} // namespace acaciafork::batch
