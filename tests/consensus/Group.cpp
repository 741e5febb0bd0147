#include "Group.h"

#include <algorithm>

namespace acaciafork::consensus {

namespace {

constexpr Duration stepLength = std::chrono::milliseconds(1);

/// True with the given probability.
bool chance(RandomGenerator *random, double rate)
{
    return rate > 0 && std::uniform_real_distribution<>(0, 1)(*random) < rate;
}

} // namespace

void DelayedGroupWriter::write(std::shared_ptr<StorageFile> file, std::string group)
{
    m_file = std::move(file);
    m_bytes = std::move(group);
    std::uniform_int_distribution<std::int64_t> delay(0, m_group->settings().maxWriteDelay.count());
    m_dueAt = m_group->now() + Duration(delay(m_group->random()));
    m_appended.reset();
    if (m_group->random()() % 2 == 0)
        m_appended = appendGroup(m_file.get(), m_bytes);
}

std::optional<GroupOutcome> DelayedGroupWriter::takeOutcome()
{
    if (m_file == nullptr || m_group->now() < std::max(m_dueAt, m_stalledUntil))
        return std::nullopt;
    GroupOutcome outcome = m_appended ? *m_appended : appendGroup(m_file.get(), m_bytes);
    if (outcome == GroupOutcome::Synced)
        outcome = syncGroup(m_file.get());
    m_file.reset();
    return outcome;
}

GroupMember::GroupMember(Group *group, ProcessId member, ZoneName memberZone, std::uint64_t seed,
                         double clockRate)
    : id(member)
    , zone(std::move(memberZone))
    , disk(seed, group->settings().faults)
    , m_group(group)
    , m_clockRate(clockRate)
{ }

Timestamp GroupMember::clock() const
{
    const double elapsed = static_cast<double>(toMicroseconds(m_group->now())) * m_clockRate;
    return timestampFromMicroseconds(static_cast<std::int64_t>(elapsed) + id.value * 1'000'000LL);
}

bool GroupMember::start()
{
    ++starts;
    state = {};
    reads.clear();
    folder = std::make_unique<MemoryFolder>(&disk);
    if (m_group->settings().maxWriteDelay > Duration {})
        writer = std::make_unique<DelayedGroupWriter>(m_group);
    leaf::try_handle_all(
            [&]() -> Result<void> {
                ReplicaSettings settings {
                    .cluster = "test",
                    .identity = { .self = id, .zone = zone, .initialMembers = m_group->m_initial },
                    .node = m_group->settings().node,
                    .folder = m_group->settings().folder,
                    .replacement = m_group->settings().replacement,
                    .seed = m_group->random()(),
                    .counters = &counters,
                    .clock = [this] { return clock(); },
                    .writer = writer.get()
                };
                BOOST_LEAF_ASSIGN(replica,
                                  Replica::open(clock(), std::move(settings), folder.get(), this));
                return {};
            },
            [&](const Failure &failure) {
                // A new folder can't be formatted on a full disk.
                if (!disk.poweredOff() && failure.kind != FailureKind::Full)
                    m_group->reportViolation("member " + std::to_string(id.value)
                                             + " failed to start: " + failure.detail);
            },
            [&] {
                if (!disk.poweredOff())
                    m_group->reportViolation("member failed to start without a Failure");
            });
    return running();
}

void GroupMember::crash()
{
    replica.reset();
    writer.reset();
    folder.reset();
    disk.restart();
}

void GroupMember::send(ProcessId to, std::string bytes)
{
    if (!disk.poweredOff())
        m_group->post(id, to, std::move(bytes));
}

void GroupMember::apply(const LogPosition &position, std::string_view command)
{
    if (disk.poweredOff())
        return;
    m_group->checkApplied(*this, position, command);
    state.apply(command);
}

bool GroupMember::loadSnapshot(std::string_view bytes)
{
    const std::uint64_t before = state.version();
    const bool loaded = state.load(bytes);
    if (state.version() < before)
        m_group->reportViolation("a snapshot reset member " + std::to_string(id.value)
                                 + " to an older version");
    return loaded;
}

void GroupMember::roleChanged(Role role, ProcessId /*leader*/)
{
    if (role == Role::Leader && !disk.poweredOff())
        m_group->checkLeader(*this);
}

void GroupMember::readReady(ReadTicket ticket, bool ready)
{
    reads.push_back({ .ticket = ticket, .ready = ready });
}

Group::Group(GroupSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_now(timestampFromMicroseconds(1'000'000))
{
    for (std::uint32_t it = 1; it <= m_settings.members; ++it)
        m_initial.push_back({ .id = ProcessId { it },
                              .zone = ZoneName { "z" + std::to_string(it % 3) },
                              .voter = true,
                              .folder = {},
                              .replaces = {} });
    for (std::size_t it = 0; it < m_settings.members + m_settings.spares; ++it)
        addProcess();
}

GroupMember &Group::addProcess()
{
    const auto id = static_cast<std::uint32_t>(m_members.size() + 1);
    std::uniform_int_distribution<std::int64_t> spread(-m_settings.clockRateSpread,
                                                       m_settings.clockRateSpread);
    double rate = 1.0 + static_cast<double>(spread(m_random)) / 1000.0;
    if (id <= m_settings.clockRates.size())
        rate = m_settings.clockRates[id - 1];
    auto member = std::make_unique<GroupMember>(
            this, ProcessId { id }, ZoneName { "z" + std::to_string(id % 3) }, m_random(), rate);
    GroupMember &added = *member;
    m_members.emplace(added.id, std::move(member));
    added.start();
    return added;
}

void Group::reportViolation(std::string text)
{
    if (m_violation.empty())
        m_violation = std::move(text);
}

void Group::isolate(ProcessId id)
{
    for (const auto &[other, member] : m_members) {
        cut(id, other);
        cut(other, id);
    }
}

void Group::post(ProcessId from, ProcessId to, std::string bytes)
{
    m_bytesSent += bytes.size();
    const LinkSettings &link = m_settings.link;
    if (m_cuts.contains({ from, to }) || chance(&m_random, link.lossRate))
        return;
    const Duration most = chance(&m_random, link.lateRate) ? link.maxLateDelay : link.maxDelay;
    std::uniform_int_distribution<std::int64_t> delay(link.minDelay.count(), most.count());
    if (chance(&m_random, link.repeatRate))
        m_packets.emplace(m_now + Duration(delay(m_random)), Packet { to, bytes });
    m_packets.emplace(m_now + Duration(delay(m_random)), Packet { to, std::move(bytes) });
}

std::set<ProcessId> Group::readers() const
{
    std::set<ProcessId> readers;
    for (const auto &[id, member] : m_members) {
        if (member->running() && member->replica->canReadNow(member->clock()))
            readers.insert(id);
    }
    return readers;
}

void Group::step()
{
    m_now += stepLength;
    const std::set<ProcessId> before = readers();
    while (!m_packets.empty() && m_packets.begin()->first <= m_now) {
        const Packet packet = std::move(m_packets.begin()->second);
        m_packets.erase(m_packets.begin());
        if (isFrozen(packet.to)) {
            m_packets.emplace(m_frozenUntil.at(packet.to), packet);
            continue;
        }
        GroupMember &to = *m_members.at(packet.to);
        if (to.running() && !to.replica->receive(to.clock(), packet.bytes))
            reportViolation("a message could not be parsed");
    }
    const std::set<ProcessId> after = readers();
    for (const ProcessId it : before)
        m_interruptedReads += after.contains(it) ? 0 : 1;
    for (auto &[id, member] : m_members) {
        if (!member->running() || isFrozen(id))
            continue;
        member->replica->tick(member->clock());
        member->replica->flush(member->clock());
        if (member->disk.poweredOff())
            member->crash();
    }
    if (m_settings.rejoins)
        rejoinDisplaced();
    checkLeases();
}

bool Group::isFrozen(ProcessId id) const
{
    const auto found = m_frozenUntil.find(id);
    return found != m_frozenUntil.end() && m_now < found->second;
}

void Group::rejoinDisplaced()
{
    std::size_t rejoining = 0;
    for (auto &[id, member] : m_members) {
        if (!member->running() || member->replica->isWriting()
            || member->replica->node().standing() != Standing::Displaced)
            continue;
        member->crash();
        member->disk.wipe();
        ++rejoining;
    }
    for (; rejoining > 0; --rejoining)
        addProcess();
}

void Group::checkLeases()
{
    // The leases of two leaders must never overlap.
    int leases = 0;
    for (auto &[id, member] : m_members)
        leases += member->running() && member->replica->canReadNow(member->clock()) ? 1 : 0;
    if (leases > 1)
        reportViolation("two members hold a read lease at the same time");
}

void Group::run(Duration length)
{
    const Timestamp end = m_now + length;
    while (m_now < end)
        step();
}

GroupMember *Group::leader()
{
    GroupMember *best = nullptr;
    for (auto &[id, member] : m_members) {
        if (member->running() && member->replica->isLeader()
            && (best == nullptr || member->replica->node().term() > best->replica->node().term()))
            best = member.get();
    }
    return best;
}

bool Group::awaitLeader(Duration limit)
{
    const Timestamp end = m_now + limit;
    while (m_now < end) {
        step();
        GroupMember *best = leader();
        if (best != nullptr && best->replica->canReadNow(best->clock()))
            return true;
    }
    return false;
}

void Group::checkLeader(GroupMember &member)
{
    // Election safety: at most one leader per term. Leader completeness: a new leader has all
    // committed entries.
    const Node &node = member.replica->node();
    const auto [found, added] = m_leaders.emplace(node.term(), member.id);
    if (!added && found->second != member.id)
        reportViolation("two leaders in term " + std::to_string(node.term()));
    for (const auto &[index, applied] : m_applied) {
        if (index > node.log().baseIndex() && node.log().termAt(index) != applied.term) {
            reportViolation("leader " + std::to_string(member.id.value) + " of term "
                            + std::to_string(node.term()) + " lacks entry "
                            + std::to_string(index));
            return;
        }
    }
}

void Group::checkApplied(const GroupMember &member, const LogPosition &position,
                         std::string_view command)
{
    // State machine safety: all members apply the same command at the same index.
    const auto [found, added] =
            m_applied.emplace(position.index, Applied { position.term, std::string(command) });
    if (!added && (found->second.term != position.term || found->second.command != command))
        reportViolation("member " + std::to_string(member.id.value)
                        + " applied a different command at index "
                        + std::to_string(position.index));
}

void Group::checkLogs()
{
    // Log matching: if two logs have an entry with the same index and term, all entries up to it
    // are equal.
    for (auto left = m_members.begin(); left != m_members.end(); ++left) {
        for (auto right = std::next(left); right != m_members.end(); ++right) {
            if (!left->second->running() || !right->second->running())
                continue;
            const EntryLog &a = left->second->replica->node().log();
            const EntryLog &b = right->second->replica->node().log();
            LogIndex it = std::min(a.lastIndex(), b.lastIndex());
            const LogIndex base = std::max(a.baseIndex(), b.baseIndex());
            while (it > base && a.termAt(it) != b.termAt(it))
                --it;
            for (; it > base; --it) {
                if (a.termAt(it) != b.termAt(it) || *a.at(it).payload != *b.at(it).payload)
                    reportViolation("two logs differ before an entry that both have");
            }
        }
    }
}

} // namespace acaciafork::consensus
