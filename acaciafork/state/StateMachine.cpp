#include "acaciafork/state/StateMachine.h"

#include <algorithm>

#include <xxhash.h>

#include "acaciafork/core/Assert.h"
#include "acaciafork/state/ClosedZones.h"
#include "acaciafork/state/Configuration.h"
#include "acaciafork/state/Jobs.h"
#include "acaciafork/state/Ledger.h"
#include "acaciafork/state/Moves.h"
#include "acaciafork/state/Placements.h"
#include "acaciafork/state/Queues.h"
#include "acaciafork/state/Racks.h"
#include "acaciafork/state/RequestLog.h"
#include "acaciafork/state/Snapshot.h"
#include "acaciafork/state/Tasks.h"
#include "acaciafork/state/Teams.h"
#include "acaciafork/state/WorkerRecords.h"

namespace acaciafork::state {
namespace {

/// Hash of a command without its time, since a resent command differs only in its time.
std::uint64_t contentHash(const wire::Command &command)
{
    wire::Command content = command;
    content.clear_time_us();
    const std::string bytes = content.SerializeAsString();
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace

/// All state that is stored in a snapshot.
struct StateMachine::Tables
{
    explicit Tables(const StateLimits &limits)
        : configuration(limits)
        , racks(limits)
        , placements(limits)
        , teams(limits)
        , tasks(limits, teams)
        , moves(limits, racks)
        , ledger(limits)
        , requests(limits)
        , queues(limits)
        , jobs(limits)
        , workers(limits)
        , closedZones(limits)
    { }

    std::uint64_t appliedIndex = 0;
    std::int64_t nowMicroseconds = 0;
    Configuration configuration;
    Racks racks;
    Placements placements;
    Teams teams;
    Tasks tasks;
    Moves moves;
    Ledger ledger;
    RequestLog requests;
    Queues queues;
    Jobs jobs;
    WorkerRecords workers;
    ClosedZones closedZones;
};

StateMachine::StateMachine(CellId cell, const StateLimits &limits)
    : m_cell(cell)
    , m_limits(limits)
    , m_tables(std::make_unique<Tables>(m_limits))
{ }

StateMachine::~StateMachine() = default;

ApplyResult StateMachine::apply(std::uint64_t index, std::span<const std::byte> command)
{
    ACACIAFORK_ASSERT(index > m_tables->appliedIndex);
    m_tables->appliedIndex = index;

    wire::Command parsed;
    if (!parsed.ParseFromArray(command.data(), static_cast<int>(command.size())))
        return makeResult(wire::OUTCOME_MALFORMED, 0, "the command can't be decoded");
    if (parsed.cell() != m_cell.value)
        return makeResult(wire::OUTCOME_INVALID, 0, "the command belongs to another cell");

    // Time never goes back, even if a new leader's clock is behind that of the previous leader.
    Tables &tables = *m_tables;
    tables.nowMicroseconds = std::max(tables.nowMicroseconds, parsed.time_us());
    tables.tasks.expire(tables.nowMicroseconds);
    tables.ledger.expire(tables.nowMicroseconds);
    tables.requests.expire(tables.nowMicroseconds);
    tables.jobs.expire(tables.nowMicroseconds);
    return applyOnce(parsed);
}

ApplyResult StateMachine::applyOnce(const wire::Command &command)
{
    if (command.request_id().empty())
        return dispatch(command);
    if (!isName(command.request_id()))
        return makeResult(wire::OUTCOME_INVALID, 0, "a request id is a name");

    // A resent request gets its original result, even if the state has changed since.
    RequestLog &requests = m_tables->requests;
    const std::uint64_t hash = contentHash(command);
    if (const ApplyResult *first = requests.find(command.request_id(), hash); first != nullptr)
        return *first;
    if (!requests.hasRoom())
        return makeResult(wire::OUTCOME_FULL, 0, "too many operator requests within the window");
    ApplyResult result = dispatch(command);
    requests.add(command.request_id(), hash, result, m_tables->nowMicroseconds);
    return result;
}

ApplyResult StateMachine::dispatch(const wire::Command &command)
{
    Tables &tables = *m_tables;
    const std::int64_t now = tables.nowMicroseconds;
    switch (command.body_case()) {
    case wire::Command::kBatch:
        return applyBatch(command.batch());
    case wire::Command::kProposeConfig:
        return tables.configuration.propose(command.propose_config(), now);
    case wire::Command::kPutRack:
        return tables.racks.put(command.put_rack(), now);
    case wire::Command::kChangeRack:
        return tables.racks.change(command.change_rack(), now);
    case wire::Command::kPutPlacement:
        return tables.placements.put(command.put_placement());
    case wire::Command::kRemovePlacement:
        return tables.placements.remove(command.remove_placement());
    case wire::Command::kPutTeam:
        return tables.teams.put(command.put_team());
    case wire::Command::kSubmitTask:
        return tables.tasks.submit(command.submit_task(), now);
    case wire::Command::kLeaseTask:
        return tables.tasks.lease(command.lease_task(), now);
    case wire::Command::kTaskStarted:
        return tables.tasks.started(command.task_started(), now);
    case wire::Command::kTaskCheckpointed:
        return tables.tasks.checkpointed(command.task_checkpointed(), now);
    case wire::Command::kTaskStopped:
        return tables.tasks.stopped(command.task_stopped(), now);
    case wire::Command::kTaskFinished:
        return tables.tasks.finished(command.task_finished(), now);
    case wire::Command::kTaskFailed:
        return tables.tasks.failed(command.task_failed(), now);
    case wire::Command::kCancelTask:
        return tables.tasks.cancel(command.cancel_task(), now);
    case wire::Command::kTaskUnschedulable:
        return tables.tasks.unschedulable(command.task_unschedulable(), now);
    case wire::Command::kPlanMove:
        return tables.moves.plan(command.plan_move(), now);
    case wire::Command::kChangeMove:
        return tables.moves.change(command.change_move(), now);
    case wire::Command::kFinishMoveStep:
        return tables.moves.finishStep(command.finish_move_step(), now);
    case wire::Command::kLedgerBegin:
        return tables.ledger.begin(command.ledger_begin(), now);
    case wire::Command::kLedgerEnd:
        return tables.ledger.end(command.ledger_end());
    case wire::Command::kProposeQueues: {
        ApplyResult result = tables.queues.propose(command.propose_queues());
        if (result.outcome() == wire::OUTCOME_APPLIED)
            tables.jobs.configure(tables.queues.current());
        return result;
    }
    case wire::Command::kSubmitJob:
        return tables.jobs.submit(command.submit_job(), tables.queues.current(), now);
    case wire::Command::kCancelJob:
        return tables.jobs.cancel(command.cancel_job(), now);
    case wire::Command::kRecordTaskEnds:
        return tables.jobs.recordEnds(command.record_task_ends(), now);
    case wire::Command::kRecordCrashExposures:
        return tables.jobs.recordExposures(command.record_crash_exposures());
    case wire::Command::kChangeWorkers:
        return tables.workers.change(command.change_workers());
    case wire::Command::kBeginTenure:
        return tables.workers.beginTenure();
    case wire::Command::kRecordDisturbance:
        return tables.workers.recordDisturbance(command.record_disturbance());
    case wire::Command::kChangeZone:
        return tables.closedZones.change(command.change_zone(), tables.appliedIndex, now);
    case wire::Command::BODY_NOT_SET:
        break;
    }
    return makeResult(wire::OUTCOME_MALFORMED, 0, "a command without a body");
}

ApplyResult StateMachine::applyBatch(const wire::CommandBatch &batch)
{
    if (static_cast<std::size_t>(batch.commands_size()) > m_limits.batchCommands)
        return makeResult(wire::OUTCOME_INVALID, 0, "too many commands in a batch");
    ApplyResult result = makeResult(wire::OUTCOME_APPLIED);
    result.mutable_parts()->Reserve(batch.commands_size());
    for (const wire::Command &it : batch.commands()) {
        const bool isNested = it.body_case() == wire::Command::kBatch;
        *result.add_parts() = isNested
                ? makeResult(wire::OUTCOME_INVALID, 0, "a batch inside a batch")
                : applyOnce(it);
    }
    return result;
}

std::string StateMachine::snapshot() const
{
    const Tables &tables = *m_tables;
    SnapshotWriter writer;
    wire::SnapshotHeader *header = writer.record().mutable_header();
    header->set_format(snapshotFormat);
    header->set_cell(m_cell.value);
    header->set_applied_index(tables.appliedIndex);
    header->set_now_us(tables.nowMicroseconds);
    tables.configuration.save(&writer);
    tables.racks.save(&writer);
    tables.placements.save(&writer);
    tables.teams.save(&writer);
    tables.tasks.save(&writer);
    tables.moves.save(&writer);
    tables.ledger.save(&writer);
    tables.requests.save(&writer);
    tables.queues.save(&writer);
    tables.jobs.save(&writer);
    tables.workers.save(&writer);
    tables.closedZones.save(&writer);
    return writer.finish();
}

Result<void> StateMachine::restore(std::span<const std::byte> bytes)
{
    BOOST_LEAF_AUTO(reader, SnapshotReader::open(bytes));
    wire::SnapshotRecord record;
    BOOST_LEAF_AUTO(hasHeader, reader.next(&record));
    if (!hasHeader || !record.has_header())
        return fail(FailureKind::Corrupt, "the snapshot does not begin with a header record");
    const wire::SnapshotHeader &header = record.header();
    if (header.format() != snapshotFormat)
        return fail(FailureKind::InvalidArgument,
                    "unsupported snapshot format " + std::to_string(header.format()));
    if (header.cell() != m_cell.value)
        return fail(FailureKind::InvalidArgument, "the snapshot belongs to another cell");

    // Load into new tables, so that an invalid record leaves the current state unchanged.
    auto tables = std::make_unique<Tables>(m_limits);
    tables->appliedIndex = header.applied_index();
    tables->nowMicroseconds = header.now_us();
    for (;;) {
        BOOST_LEAF_AUTO(hasMore, reader.next(&record));
        if (!hasMore)
            break;
        if (!loadRecord(record, tables.get()))
            return fail(FailureKind::Corrupt, "the snapshot contains an invalid record");
    }
    m_tables = std::move(tables);
    return {};
}

bool StateMachine::loadRecord(const wire::SnapshotRecord &record, Tables *tables)
{
    switch (record.body_case()) {
    case wire::SnapshotRecord::kConfig:
        return tables->configuration.load(record.config());
    case wire::SnapshotRecord::kRack:
        return tables->racks.load(record.rack());
    case wire::SnapshotRecord::kPlacement:
        return tables->placements.load(record.placement());
    case wire::SnapshotRecord::kTeam:
        return tables->teams.load(record.team());
    case wire::SnapshotRecord::kTask:
        return tables->tasks.load(record.task());
    case wire::SnapshotRecord::kMove:
        return tables->moves.load(record.move());
    case wire::SnapshotRecord::kLedger:
        return tables->ledger.load(record.ledger());
    case wire::SnapshotRecord::kRequest:
        return tables->requests.load(record.request());
    case wire::SnapshotRecord::kQueues:
        return tables->queues.load(record.queues());
    case wire::SnapshotRecord::kJob:
        return tables->jobs.load(record.job());
    case wire::SnapshotRecord::kWorker:
        return tables->workers.load(record.worker());
    case wire::SnapshotRecord::kTenure:
        return tables->workers.load(record.tenure());
    case wire::SnapshotRecord::kDisturbance:
        return tables->workers.load(record.disturbance());
    case wire::SnapshotRecord::kZoneClosure:
        return tables->closedZones.load(record.zone_closure());
    case wire::SnapshotRecord::kHeader:
    case wire::SnapshotRecord::BODY_NOT_SET:
        break;
    }
    return false;
}

std::uint64_t StateMachine::appliedIndex() const
{
    return m_tables->appliedIndex;
}

std::int64_t StateMachine::nowMicroseconds() const
{
    return m_tables->nowMicroseconds;
}

const Configuration &StateMachine::configuration() const
{
    return m_tables->configuration;
}

const Racks &StateMachine::racks() const
{
    return m_tables->racks;
}

const Placements &StateMachine::placements() const
{
    return m_tables->placements;
}

const Teams &StateMachine::teams() const
{
    return m_tables->teams;
}

const Tasks &StateMachine::tasks() const
{
    return m_tables->tasks;
}

const Moves &StateMachine::moves() const
{
    return m_tables->moves;
}

const Ledger &StateMachine::ledger() const
{
    return m_tables->ledger;
}

const RequestLog &StateMachine::requests() const
{
    return m_tables->requests;
}

const Queues &StateMachine::queues() const
{
    return m_tables->queues;
}

const Jobs &StateMachine::jobs() const
{
    return m_tables->jobs;
}

const WorkerRecords &StateMachine::workers() const
{
    return m_tables->workers;
}

const ClosedZones &StateMachine::closedZones() const
{
    return m_tables->closedZones;
}

} // namespace acaciafork::state
