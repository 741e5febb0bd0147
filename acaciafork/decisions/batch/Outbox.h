#pragma once

#include <unordered_map>
#include <utility>
#include <vector>

#include "acaciafork/decisions/batch/Commands.h"
#include "acaciafork/decisions/batch/NameIndex.h"

namespace acaciafork::batch {

/// Durable change whose commit is awaited, and the task or rack that it is about.
struct PendingChange
{
    Index subject = noIndex;
    DurableChange change;
};

/// Writes commands to the caller's vector, numbers them, and remembers proposals until they are
/// answered.
class Outbox
{
public:
    /// Directs what follows to `commands`.
    void writeTo(std::vector<Command> *commands) { m_commands = commands; }

    /// Proposes a durable change about the task or rack `subject`.
    void propose(Index subject, DurableChange change);
    /// Sends a worker call; its number is filled in.
    template <typename Call>
    void call(Call command)
    {
        command.call = CallId { ++m_lastCall };
        m_commands->emplace_back(std::move(command));
    }
    /// Sends any other command.
    void send(Command command) { m_commands->push_back(std::move(command)); }

    /// Takes the change that a proposal was about.
    /// @return false when the proposal is unknown or was answered before
    bool take(ProposalId proposal, PendingChange *pending);
    /// How many proposals wait for their answer.
    [[nodiscard]] std::size_t pendingCount() const { return m_pending.size(); }

private:
    std::vector<Command> *m_commands = nullptr;
    std::unordered_map<ProposalId, PendingChange> m_pending;
    std::uint64_t m_lastProposal = 0;
    std::uint64_t m_lastCall = 0;
};

} // namespace acaciafork::batch
