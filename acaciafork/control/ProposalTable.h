#pragma once

#include <functional>
#include <map>
#include <optional>

#include "acaciafork/consensus/Consensus.h"
#include "acaciafork/state/State.h"

namespace acaciafork::control {

/// Proposals of this leader that wait for their commit.
class ProposalTable
{
public:
    /// Gets the result of the command, or nothing when it is not known whether it was committed.
    using Handler = std::function<void(Moment at, const state::ApplyResult *result)>;

    /// Adds a proposal at its place in the log.
    void add(const consensus::LogPosition &position, Handler handler);

    /// The entry at `position` was applied with `result`. A proposal that stood at that index in
    /// another term is lost and ends without a result.
    void applied(Moment at, const consensus::LogPosition &position,
                 const state::ApplyResult &result);

    /// The leadership is over: every proposal ends without a result.
    void abandon(Moment at);

    /// How many wait.
    [[nodiscard]] std::size_t size() const { return m_pending.size(); }

private:
    struct Pending
    {
        consensus::Term term = 0;
        Handler handler;
    };

    std::map<consensus::LogIndex, Pending> m_pending;
};

} // namespace acaciafork::control
