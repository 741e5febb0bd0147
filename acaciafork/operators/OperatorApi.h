#pragma once

#include <string>

#include "acaciafork/operators/ApiCall.h"
#include "acaciafork/operators/LiveViews.h"
#include "acaciafork/state/StateMachine.h"

namespace acaciafork::operators {

/// The JSON interface of operators and teams. Pure: it reads the state and the live views, and
/// turns a change into a command for the replicated log; it sends and stores nothing.
class OperatorApi
{
public:
    /// @param[in] operatorDigest tokenDigest() of the operators' bearer token
    /// @param[in] machine replicated state; must outlive this object
    /// @param[in] live the rest of what operators may see; must outlive this object
    OperatorApi(std::string operatorDigest, const state::StateMachine &machine,
                const LiveViews &live);

    /// Decides a call: a reply now, a command to propose, or a change of membership to carry out.
    [[nodiscard]] ApiOutcome handle(const ApiCall &call) const;

private:
    std::string m_operatorDigest;
    const state::StateMachine &m_machine;
    const LiveViews &m_live;
};

} // namespace acaciafork::operators
