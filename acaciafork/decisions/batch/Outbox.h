#pragma once

#include <unordered_map>
#include <utility>
#include <vector>

#include "acaciafork/decisions/batch/Commands.h"
#include "acaciafork/decisions/batch/NameIndex.h"

namespace acaciafork::batch {

/// Durable change that awaits its commit, and the task or rack that it concerns.
struct PendingChange
{
    Index subject = noIndex;
    DurableChange change;
};

/// Numbers commands, appends them to the caller's vector, and keeps proposals until they are
/// answered.
class Outbox
{
public:
    /// Sets the vector to which the following commands are appended.
    void writeTo(std::vector<Command> *commands) { m_commands = commands; }

    /// Proposes a durable change that concerns the task or rack `subject`.
    void propose(Index subject, DurableChange change);
    /// Sends a worker call and assigns its identifier.
    template <typename Call>
    void call(Call command)
    {
        command.call = CallId { ++m_lastCall };
        m_commands->emplace_back(std::move(command));
    }
    /// Sends any other command.
    void send(Command command) { m_commands->push_back(std::move(command)); }

    /// Removes an answered proposal and returns its change in `pending`.
    /// @return false when the proposal is unknown or was already answered
    bool take(ProposalId proposal, PendingChange *pending);
    /// Number of proposals that await an answer.
    [[nodiscard]] std::size_t pendingCount() const { return m_pending.size(); }

private:
    std::vector<Command> *m_commands = nullptr;
    std::unordered_map<ProposalId, PendingChange> m_pending;
    std::uint64_t m_lastProposal = 0;
    std::uint64_t m_lastCall = 0;
};

} // namespace acaciafork::batch
