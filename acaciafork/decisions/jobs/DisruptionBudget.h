#pragma once

#include "acaciafork/decisions/jobs/JobTable.h"

namespace acaciafork::jobs {

/// Decides whether a long-running task may be stopped by choice.
///
/// A job states for each long-running step how many of its tasks may be unavailable at a time as a
/// result of the scheduler's decisions. A task without a run at work counts as unavailable whatever
/// the cause is, so that a stop never adds to a failure beyond the budget.
class DisruptionBudget
{
public:
    /// A run counts as at work once it was ordered or adopted this long ago. Orders of an earlier
    /// leader may still end it until then.
    static constexpr Duration settlingTime = std::chrono::seconds(2);
    /// It no longer does when its worker has not listed it for this long: two renewals.
    static constexpr Duration maxListAge = std::chrono::seconds(3);

    /// True when the run may be stopped now. Tasks that are not long-running, and runs that their
    /// worker has not confirmed, may always be.
    [[nodiscard]] static bool allows(Timestamp now, const RunRef &run);
};

} // namespace acaciafork::jobs
