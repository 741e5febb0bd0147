#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Ids.h"
#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class ClosedZones;
class Configuration;
class Jobs;
class Ledger;
class Moves;
class Placements;
class Queues;
class Racks;
class RequestLog;
class Tasks;
class Teams;
class WorkerRecords;

/// The replicated state of one cell. Deterministic: members that apply the same commands in the
/// same order have the same state, return the same results and write byte-identical snapshots.
class StateMachine
{
public:
    explicit StateMachine(CellId cell, const StateLimits &limits = {});
    ~StateMachine();
    StateMachine(const StateMachine &) = delete;
    StateMachine &operator=(const StateMachine &) = delete;

    /// Applies the committed command at `index`. Never fails: a command that can't be decoded or is
    /// rejected changes nothing, and the result states the reason.
    /// @param[in] index position in the log; must be higher than in the previous call
    ApplyResult apply(std::uint64_t index, std::span<const std::byte> command);

    /// Returns the complete state, serialized.
    [[nodiscard]] std::string snapshot() const;

    /// Replaces the complete state by that of a snapshot; on failure the state is unchanged.
    /// Fails with Failure of kind Corrupt, or InvalidArgument for another cell or format.
    Result<void> restore(std::span<const std::byte> bytes);

    /// Index of the last command applied; 0 before the first.
    [[nodiscard]] std::uint64_t appliedIndex() const;
    /// Latest command time seen, in wall-clock microseconds; retention windows are measured by it.
    [[nodiscard]] std::int64_t nowMicroseconds() const;
    /// Cell to which the state belongs.
    [[nodiscard]] CellId cell() const { return m_cell; }

    /// @name Views
    /// Valid until the next restore().
    /// @{
    [[nodiscard]] const Configuration &configuration() const;
    [[nodiscard]] const Racks &racks() const;
    [[nodiscard]] const Placements &placements() const;
    [[nodiscard]] const Teams &teams() const;
    [[nodiscard]] const Tasks &tasks() const;
    [[nodiscard]] const Moves &moves() const;
    [[nodiscard]] const Ledger &ledger() const;
    [[nodiscard]] const RequestLog &requests() const;
    [[nodiscard]] const Queues &queues() const;
    [[nodiscard]] const Jobs &jobs() const;
    [[nodiscard]] const WorkerRecords &workers() const;
    [[nodiscard]] const ClosedZones &closedZones() const;
    /// @}

private:
    struct Tables;

    ApplyResult applyOnce(const wire::Command &command);
    ApplyResult dispatch(const wire::Command &command);
    ApplyResult applyBatch(const wire::CommandBatch &batch);
    static bool loadRecord(const wire::SnapshotRecord &record, Tables *tables);

    CellId m_cell;
    StateLimits m_limits;
    std::unique_ptr<Tables> m_tables;
};

} // namespace acaciafork::state
