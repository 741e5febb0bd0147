#include "acaciafork/consensus/Replica.h"

#include <algorithm>

#include "acaciafork/consensus/MessageCodec.h"
#include "acaciafork/consensus/RecordCodec.h"

namespace acaciafork::consensus {

namespace {

/// Maximum rounds of node output handled in one flush; the rest waits for the next flush.
constexpr int roundsPerFlush = 8;

/// A write that takes longer is not waited for by what can do without it.
constexpr Duration stalledWrite = std::chrono::milliseconds(100);

/// Multiples of NodeSettings::logBytes at which a member that is busy waits for its disk to store a
/// snapshot, and at which a snapshot is stored although a member still fetches the last one.
constexpr std::uint64_t overdueFactor = 2;
constexpr std::uint64_t deferredFactor = 4;

/// Interval between checks for lost members.
constexpr Duration replacementCheckInterval = std::chrono::milliseconds(500);

/// Result of an operation on the data folder.
enum class Outcome : std::uint8_t { Done, Full, Corrupt, Failed };

/// Runs an operation and maps its failure to the cases that the replica distinguishes.
template <typename F>
Outcome outcomeOf(F &&call)
{
    return leaf::try_handle_all(
            [&]() -> Result<Outcome> {
                BOOST_LEAF_CHECK(call());
                return Outcome::Done;
            },
            [](const Failure &failure) {
                if (failure.kind == FailureKind::Full)
                    return Outcome::Full;
                return failure.kind == FailureKind::Corrupt ? Outcome::Corrupt : Outcome::Failed;
            },
            [] { return Outcome::Failed; });
}

} // namespace

Result<std::unique_ptr<Replica>> Replica::open(Timestamp now, ReplicaSettings settings,
                                               StorageFolder *files, ReplicaHandler *handler)
{
    RandomGenerator random(settings.seed);
    const FolderOwner owner { .cluster = settings.cluster,
                              .member = settings.identity.self,
                              .newFolder = FolderId { random() | 1U } };
    settings.seed = random();
    BOOST_LEAF_AUTO(folder, LogFolder::open(files, owner, settings.folder));
    if (folder->snapshot().index != 0) {
        BOOST_LEAF_AUTO(bytes, folder->loadSnapshot());
        if (!handler->loadSnapshot(bytes))
            return failCorrupt("snapshot", 0, "the state machine can't load it");
    }
    auto recovered = folder->takeRecovered();
    return std::unique_ptr<Replica>(new Replica(std::move(settings), std::move(folder),
                                                std::move(recovered), handler, now));
}

Replica::Replica(ReplicaSettings settings, std::unique_ptr<LogFolder> folder,
                 RecoveredState recovered, ReplicaHandler *handler, Timestamp now)
    : m_settings(std::move(settings))
    , m_counters(m_settings.counters != nullptr ? m_settings.counters : &m_ownRegistry)
    , m_folder(std::move(folder))
    , m_node(m_settings.node, m_settings.identity, std::move(recovered), now, m_settings.seed)
    , m_handler(handler)
    , m_replacement(m_settings.replacement)
    , m_writer(m_settings.writer != nullptr ? m_settings.writer : &m_inlineWriter)
{ }

void Replica::tick(Timestamp now)
{
    if (m_folder->broken())
        return;
    m_node.tick(now);
    replaceLostMember(now);
}

void Replica::replaceLostMember(Timestamp now)
{
    if (now < m_nextReplacementCheck)
        return;
    m_nextReplacementCheck = now + replacementCheckInterval;
    const NodeStatus status = m_node.status(now);
    m_counters.faultsTolerated.set(static_cast<std::int64_t>(redundancy(status).faultsTolerated));
    const auto liveVoters = std::ranges::count_if(
            status.members, [](const MemberStatus &it) { return it.member.voter && it.live; });
    const auto voters = std::ranges::count_if(
            status.members, [](const MemberStatus &it) { return it.member.voter; });
    m_counters.liveVoters.set(liveVoters);
    m_counters.lostVoters.set(voters - liveVoters);
    m_counters.spares.set(static_cast<std::int64_t>(status.spares.size()));
    const bool isOutside =
            status.standing == Standing::Outside || status.standing == Standing::Displaced;
    m_counters.outside.set(isOutside ? 1 : 0);
    const auto command = m_replacement.decide(now, status);
    // A change that is refused now is requested again at a later check.
    if (command && command->spare)
        (void)m_node.addLearner(now, command->spare, command->lost);
    else if (command)
        (void)m_node.removeMember(now, command->lost);
}

Result<void> Replica::receive(Timestamp now, std::string_view bytes)
{
    auto message = decodeMessage(bytes);
    if (!message) {
        m_counters.messagesRefused.add();
        return message.error();
    }
    // A displaced process waits for the end of its writes; the group needs nothing of it.
    if (!m_folder->broken() && m_node.standing() != Standing::Displaced)
        m_node.receive(now, std::move(*message));
    return {};
}

Result<LogPosition> Replica::propose(Timestamp now, std::string command)
{
    return m_node.propose(now, std::move(command));
}

Result<ReadTicket> Replica::readBarrier(Timestamp now)
{
    return m_node.readBarrier(now);
}

void Replica::flush(Timestamp now)
{
    endWrite(now);
    // A busy member begins the next write at once, so this is its time for a snapshot.
    storeSnapshot(now);
    for (int it = 0; it < roundsPerFlush && !m_folder->broken(); ++it) {
        NodeOutput output = m_node.takeOutput(now, isSnapshotOverdue(now));
        if (output.empty())
            break;
        // Messages that need no sync are sent first, so that followers write in parallel with this
        // member.
        sendMessages(output.messages);
        answerFetches(now, output.fetches);
        std::ranges::move(output.snapshotChunks, std::back_inserter(m_chunks));
        if (output.hasWrites())
            beginWrite(now, output);
        applyAll(output.committed);
        writeChunks(now);
        for (const ReadResult &read : output.reads)
            m_handler->readReady(read.ticket, read.ready);
        reportRole();
    }
    storeSnapshot(now);
    reportRole();
    updateGauges();
}

void Replica::updateGauges()
{
    m_counters.term.set(static_cast<std::int64_t>(m_node.term()));
    m_counters.commitIndex.set(static_cast<std::int64_t>(m_node.commitIndex()));
    m_counters.logMemory.set(static_cast<std::int64_t>(m_node.logBytes()));
    m_counters.snapshotBytes.set(static_cast<std::int64_t>(m_folder->snapshot().size));
    m_counters.full.set(m_diskFull ? 1 : 0);
    m_counters.broken.set(m_folder->broken() ? 1 : 0);
}

void Replica::beginWrite(Timestamp now, const NodeOutput &output)
{
    m_writeBeganAt = m_settings.clock ? m_settings.clock() : now;
    LogFolder::Group group;
    const Outcome outcome = outcomeOf([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(group, m_folder->beginWrite(output.hardState, output.entries));
        return {};
    });
    if (outcome != Outcome::Done) {
        writeEnded(now, false, outcome == Outcome::Full);
        return;
    }
    m_entriesInWrite = output.entries.size();
    m_isWriting = true;
    m_writer->write(std::move(group.file), std::move(group.bytes));
    endWrite(now);
}

void Replica::endWrite(Timestamp now)
{
    if (!m_isWriting)
        return;
    const std::optional<GroupOutcome> written = m_writer->takeOutcome();
    if (!written)
        return;
    m_isWriting = false;
    if (m_settings.clock) {
        const Duration took = m_settings.clock() - m_writeBeganAt;
        m_syncTime += took;
        m_counters.syncTime.observe(took);
    }
    const Outcome outcome = outcomeOf([&] { return m_folder->endWrite(*written); });
    writeEnded(now, outcome == Outcome::Done, outcome == Outcome::Full);
}

void Replica::writeEnded(Timestamp now, bool isStored, bool isFull)
{
    m_diskFull = isFull;
    if (isStored) {
        m_counters.groupCommits.add();
        m_counters.entriesWritten.add(static_cast<std::int64_t>(m_entriesInWrite));
        m_node.synced(now);
        return;
    }
    m_counters.writesFailed.add();
    m_node.writeFailed(now, isFull);
    if (!m_chunks.empty()) {
        m_chunks.clear();
        m_node.snapshotRejected(now);
    }
}

void Replica::sendMessages(const std::vector<Message> &messages)
{
    for (const Message &it : messages)
        sendMessage(it);
}

void Replica::sendMessage(const Message &message)
{
    std::string bytes = encodeMessage(message);
    m_counters.bytesSent.add(static_cast<std::int64_t>(bytes.size()));
    m_handler->send(message.to, std::move(bytes));
}

void Replica::answerFetches(Timestamp now, const std::vector<Message> &fetches)
{
    const SnapshotMeta &meta = m_folder->snapshot();
    if (meta.index == 0)
        return;
    for (const Message &it : fetches) {
        const auto &fetch = std::get<SnapshotFetch>(it.body);
        m_lastFetchAt = now;
        // When the stored snapshot is not the requested one, it is sent from its start.
        const bool same = fetch.index == meta.index && fetch.checksum == meta.checksum;
        const std::uint64_t offset = same ? std::min(fetch.offset, meta.size) : 0;
        auto bytes = m_folder->readSnapshot(
                offset, static_cast<std::uint64_t>(m_settings.node.snapshotChunkBytes));
        if (!bytes)
            continue;
        Message answer { .from = it.to,
                         .to = it.from,
                         .fromFolder = m_node.folder(),
                         .term = 0,
                         .body = SnapshotChunk {
                                 .meta = meta, .offset = offset, .data = std::move(*bytes) } };
        sendMessage(answer);
    }
}

void Replica::writeChunks(Timestamp now)
{
    // A chunk of a term that is not synced yet must not be stored.
    if (m_isWriting || !m_node.isHardStateSynced())
        return;
    const std::vector<SnapshotChunk> chunks = std::exchange(m_chunks, {});
    for (const SnapshotChunk &it : chunks) {
        // The log may have overtaken the snapshot while its chunks waited.
        const bool isOvertaken = it.meta.index <= m_node.commitIndex();
        if (isOvertaken || outcomeOf([&] { return m_folder->writeChunk(it); }) != Outcome::Done) {
            m_node.snapshotRejected(now);
            return;
        }
        if (it.offset + it.data.size() == it.meta.size)
            installSnapshot(now, it.meta);
    }
}

void Replica::installSnapshot(Timestamp now, const SnapshotMeta &meta)
{
    const Outcome outcome =
            outcomeOf([&] { return m_folder->finishPartial(!m_node.covers(meta)); });
    auto bytes = outcome == Outcome::Done ? m_folder->loadSnapshot() : std::string();
    if (outcome != Outcome::Done || !bytes || !m_handler->loadSnapshot(*bytes)) {
        m_node.snapshotRejected(now);
        return;
    }
    m_counters.snapshotsFetched.add();
    m_node.snapshotInstalled(now, meta);
}

void Replica::applyAll(const std::vector<Entry> &committed)
{
    for (const Entry &it : committed) {
        if (it.kind != EntryKind::Command)
            continue;
        m_counters.commandsApplied.add();
        m_handler->apply({ .index = it.index, .term = it.term }, *it.payload);
    }
}

bool Replica::hasOutgrownSnapshot(std::int64_t entries, std::uint64_t factor) const
{
    const SnapshotMeta &snapshot = m_folder->snapshot();
    const std::uint64_t bytes =
            std::max(static_cast<std::uint64_t>(m_settings.node.logBytes), snapshot.size);
    return m_node.appliedIndex() >= snapshot.index + static_cast<LogIndex>(entries)
            || m_node.bytesSinceSnapshot() >= factor * bytes;
}

bool Replica::isSnapshotOverdue(Timestamp now) const
{
    const Timestamp writeNow = m_settings.clock ? m_settings.clock() : now;
    const bool isStalled = m_isWriting && writeNow - m_writeBeganAt > stalledWrite;
    return !isStalled && !m_diskFull
            && hasOutgrownSnapshot(2 * m_settings.node.snapshotEntries + 1, overdueFactor);
}

void Replica::storeSnapshot(Timestamp now)
{
    if (m_isWriting || m_folder->broken())
        return;
    if (!hasOutgrownSnapshot(m_settings.node.snapshotEntries, 1)
        || m_node.appliedIndex() > m_node.durableIndex())
        return;
    // A snapshot that is being fetched is kept, because a slow fetch would never finish otherwise.
    const bool fetched = now - m_lastFetchAt < m_settings.node.snapshotFetchTimeout;
    if ((fetched || m_node.hasSnapshotReceiver(now))
        && !hasOutgrownSnapshot(m_settings.node.deferredSnapshotEntries, deferredFactor))
        return;
    SnapshotMeta meta = m_node.describeSnapshot();
    const std::string bytes = m_handler->makeSnapshot();
    if (outcomeOf([&] { return m_folder->storeSnapshot(&meta, bytes); }) != Outcome::Done)
        return;
    m_counters.snapshotsStored.add();
    m_node.snapshotStored(meta);
    // Segments that can't be removed now are removed after the next snapshot.
    (void)outcomeOf([&] { return m_folder->compactTo(m_node.baseIndex()); });
}

void Replica::reportRole()
{
    if (m_role == m_node.role() && m_leader == m_node.leader())
        return;
    if (m_node.role() == Role::Leader && m_role != Role::Leader)
        m_counters.leaderships.add();
    m_role = m_node.role();
    m_leader = m_node.leader();
    m_handler->roleChanged(m_role, m_leader);
}

ReplicaStatus Replica::status(Timestamp now) const
{
    ReplicaStatus status { .node = m_node.status(now),
                           .redundancy = {},
                           .full = m_diskFull,
                           .broken = m_folder->broken(),
                           .logBytes = m_folder->logBytes(),
                           .snapshotBytes = m_folder->snapshot().size };
    status.redundancy = redundancy(status.node);
    return status;
}

Result<LogPosition> Replica::addLearner(Timestamp now, ProcessId id)
{
    return m_node.addLearner(now, id);
}

Result<LogPosition> Replica::replaceMember(Timestamp now, ProcessId old, ProcessId spare)
{
    return m_node.addLearner(now, spare, old);
}

Result<LogPosition> Replica::removeMember(Timestamp now, ProcessId id)
{
    return m_node.removeMember(now, id);
}

Result<void> Replica::transferLeadership(Timestamp now, ProcessId to)
{
    return m_node.transferLeadership(now, to);
}

} // namespace acaciafork::consensus
