#include "Schedule.h"

#include <algorithm>
#include <cstdio>

namespace acaciafork::consensus {

namespace {

constexpr std::size_t clientCount = 3;
constexpr Duration clientTimeout = std::chrono::milliseconds(1500);
/// How long clients continue after all faults have ended.
constexpr Duration clientTimeAfterFaults = std::chrono::seconds(1);
constexpr Duration settleLimit = std::chrono::seconds(30);

/// Uses small sizes, so that a short schedule covers snapshots, several segments and chunks.
GroupSettings groupSettings(const ScheduleSettings &settings)
{
    GroupSettings group { .members = settings.members,
                          .spares = 1,
                          .seed = settings.seed,
                          .node = {},
                          .folder = { .segmentBytes = 2000 },
                          .link = { .lossRate = 0.03, .repeatRate = 0.03, .lateRate = 0.02 },
                          .faults = settings.faults,
                          .clockRateSpread = settings.clockRateSpread };
    // Writes within the iteration, writes that take some, and a disk that stalls.
    if (settings.seed % 4 != 0)
        group.maxWriteDelay = std::chrono::milliseconds(settings.seed % 4 == 3 ? 500 : 8);
    group.link.maxDelay = std::chrono::milliseconds(settings.seed % 3 == 0 ? 40 : 4);
    group.node.snapshotEntries = 30;
    group.node.trailingEntries = 10;
    group.node.snapshotChunkBytes = 4000;
    group.node.promoteLag = 5;
    group.node.deferredSnapshotEntries = 5000;
    // Bytes bind before the number of entries does.
    if (settings.seed % 5 < 2) {
        group.node.logBytes = 2000;
        group.node.trailingBytes = 500;
    }
    group.node.snapshotFromFollower = settings.seed % 2 == 0;
    group.node.followerSnapshotTimeout = std::chrono::seconds(1);
    group.replacement = { .automatic = settings.seed % 3 == 0,
                          .lostAfter = std::chrono::seconds(1) };
    return group;
}

} // namespace

Schedule::Schedule(const ScheduleSettings &settings)
    : m_settings(settings)
    , m_group(groupSettings(settings))
    , m_clients(clientCount)
{ }

std::uint64_t Schedule::randomBelow(std::uint64_t most)
{
    return m_group.random()() % most;
}

void Schedule::trace(const std::string &text)
{
    if (m_settings.trace)
        std::fprintf(stderr, "%lld %s\n",
                     static_cast<long long>(toMicroseconds(m_group.now()) / 1000), text.c_str());
}

ScheduleResult Schedule::run()
{
    m_group.awaitLeader();
    const Timestamp end = m_group.now() + m_settings.faultDuration;
    while (m_group.now() < end && m_group.violation().empty()) {
        stepAll();
        if (randomBelow(120) == 0)
            injectFault();
        if (randomBelow(500) == 0)
            m_group.checkLogs();
    }
    if (m_group.violation().empty())
        recoverAndCheck();
    m_result.violation = m_group.violation();
    m_result.acknowledged = m_acknowledged.size();
    return m_result;
}

void Schedule::stepAll()
{
    m_group.step();
    for (auto &it : m_clients)
        advanceClient(&it);
    for (auto &[id, member] : m_group.members()) {
        if (member->running())
            continue;
        // Group::step() handles a crash at a sync. Every stopped member is started again later.
        const auto [found, added] = m_down.emplace(
                id, m_group.now() + std::chrono::milliseconds(20 + randomBelow(1500)));
        if (!added && m_group.now() >= found->second) {
            m_down.erase(found);
            trace("start " + std::to_string(id.value));
            if (!member->start())
                member->crash();
        }
    }
}

void Schedule::crash(GroupMember *member)
{
    trace("crash " + std::to_string(member->id.value));
    member->crash();
    ++m_result.crashes;
}

void Schedule::injectFault()
{
    GroupMember *member = anyMember();
    switch (randomBelow(12)) {
    case 0:
    case 1:
        if (member->running())
            crash(member);
        break;
    case 2:
    case 3:
        member->disk.crashAtSync(1 + randomBelow(12));
        ++m_result.crashes;
        break;
    case 4:
        trace("isolate " + std::to_string(member->id.value));
        m_group.isolate(member->id);
        break;
    case 5:
        cutRandomLinks();
        break;
    case 6:
        trace("heal");
        m_group.heal();
        break;
    case 7:
        trace("set or clear disk full " + std::to_string(member->id.value));
        member->disk.setFull(randomBelow(2) == 0);
        break;
    case 8:
        if (GroupMember *leader = m_group.leader()) {
            trace("transfer to " + std::to_string(member->id.value));
            (void)leader->replica->transferLeadership(leader->clock(), member->id);
        }
        break;
    case 9:
        changeMembers();
        break;
    case 10:
        trace("freeze " + std::to_string(member->id.value));
        m_group.freeze(member->id, std::chrono::milliseconds(randomBelow(3000)));
        break;
    default:
        if (randomBelow(3) == 0)
            loseFolder();
        break;
    }
}

void Schedule::cutRandomLinks()
{
    for (auto &[from, left] : m_group.members()) {
        for (auto &[to, right] : m_group.members()) {
            if (randomBelow(4) == 0)
                m_group.cut(from, to);
        }
    }
    trace("cut random links");
}

void Schedule::changeMembers()
{
    GroupMember *leader = m_group.leader();
    if (leader == nullptr)
        return;
    const NodeStatus status = leader->replica->status(leader->clock()).node;
    const ProcessId spare = status.spares.empty() ? ProcessId {} : status.spares.front().id;
    const auto &members = status.membership.members;
    const ProcessId old = members[randomBelow(members.size())].id;
    bool accepted = false;
    if (spare && members.size() < m_settings.members)
        accepted = static_cast<bool>(leader->replica->addLearner(leader->clock(), spare));
    else if (spare)
        accepted = static_cast<bool>(leader->replica->replaceMember(leader->clock(), old, spare));
    else if (members.size() + 1 > m_settings.members && randomBelow(3) == 0)
        accepted = static_cast<bool>(leader->replica->removeMember(leader->clock(), old));
    if (!accepted)
        return;
    trace("change members: spare " + std::to_string(spare.value) + ", old "
          + std::to_string(old.value));
    ++m_result.membershipChanges;
    if (m_group.members().size() < m_settings.members + 4)
        m_group.addProcess();
}

void Schedule::loseFolder()
{
    // Loses a folder only if the leader reports that this is tolerated. This checks the report too.
    GroupMember *leader = m_group.leader();
    GroupMember *member = anyMember();
    if (leader == nullptr || member == leader || !leader->replica->canReadNow(leader->clock()))
        return;
    const ReplicaStatus status = leader->replica->status(leader->clock());
    const bool spare = status.redundancy.faultsTolerated > 0;
    const bool belongs = status.node.membership.find(member->id) != nullptr
            || status.node.committedMembership.find(member->id) != nullptr;
    if (!belongs || !spare || m_lostFolders.contains(member->id) || m_lostFolders.size() >= 2)
        return;
    trace("lose folder " + std::to_string(member->id.value));
    m_lostFolders.insert(member->id);
    member->crash();
    member->disk.wipe();
    m_group.addProcess();
}

GroupMember *Schedule::anyMember()
{
    auto it = m_group.members().begin();
    std::advance(it, static_cast<std::ptrdiff_t>(randomBelow(m_group.members().size())));
    return it->second.get();
}

GroupMember *Schedule::anyLeader()
{
    // Includes an outdated leader that does not know its successor yet.
    std::vector<GroupMember *> leaders;
    for (auto &[id, member] : m_group.members()) {
        if (member->running() && member->replica->isLeader())
            leaders.push_back(member.get());
    }
    return leaders.empty() ? nullptr : leaders[randomBelow(leaders.size())];
}

void Schedule::advanceClient(std::optional<Operation> *client)
{
    if (!client->has_value()) {
        if (m_group.now() < m_clientsEnd && randomBelow(8) == 0)
            *client = begin();
        return;
    }
    Operation &operation = **client;
    if (finish(operation)) {
        client->reset();
    } else if (m_group.now() - operation.startedAt > clientTimeout) {
        // The outcome is unknown: the client resends the same operation or gives up.
        if (operation.ticket || randomBelow(2) == 0)
            client->reset();
        else
            resend(&operation);
    }
}

std::optional<Schedule::Operation> Schedule::begin()
{
    GroupMember *leader = anyLeader();
    if (leader == nullptr)
        return std::nullopt;
    Operation operation { .id = ++m_lastOperation,
                          .member = leader->id,
                          .start = leader->starts,
                          .ticket = {},
                          .command = {},
                          .minVersion = m_seenVersion,
                          .startedAt = m_group.now() };
    const std::uint64_t kind = randomBelow(10);
    if (kind < 2) {
        // A read under the lease is answered immediately.
        if (leader->replica->canReadNow(leader->clock()))
            checkObserved(operation, leader->state.version(), leader->state.value(), false);
        return std::nullopt;
    }
    if (kind < 4) {
        auto ticket = leader->replica->readBarrier(leader->clock());
        if (!ticket)
            return std::nullopt;
        operation.ticket = *ticket;
        return operation;
    }
    const std::uint64_t expected = kind < 7 ? 0 : m_lastValue;
    operation.command = Register::command(operation.id, expected, operation.id);
    if (!leader->replica->propose(leader->clock(), operation.command))
        return std::nullopt;
    return operation;
}

void Schedule::resend(Operation *operation)
{
    GroupMember *leader = anyLeader();
    operation->startedAt = m_group.now();
    if (leader == nullptr || !leader->replica->propose(leader->clock(), operation->command))
        return;
    operation->member = leader->id;
    operation->start = leader->starts;
}

bool Schedule::finish(const Operation &operation)
{
    GroupMember &member = *m_group.members().at(operation.member);
    if (!member.running() || member.starts != operation.start)
        return false;
    if (!operation.ticket) {
        const RegisterOutcome *outcome = member.state.find(operation.id);
        if (outcome == nullptr)
            return false;
        m_acknowledged[operation.id] = *outcome;
        checkObserved(operation, outcome->version, outcome->value, outcome->changed);
        return true;
    }
    for (const ReadResult &it : member.reads) {
        if (it.ticket != operation.ticket)
            continue;
        if (it.ready)
            checkObserved(operation, member.state.version(), member.state.value(), false);
        return true;
    }
    return false;
}

void Schedule::checkObserved(const Operation &operation, std::uint64_t version, std::uint64_t value,
                             bool changed)
{
    // Versions order all operations; this order must be consistent with real time.
    if (version < operation.minVersion || (changed && version == operation.minVersion))
        m_group.reportViolation("operation " + std::to_string(operation.id) + " observed version "
                                + std::to_string(version) + " after a client had observed "
                                + std::to_string(operation.minVersion));
    const auto [found, added] = m_values.emplace(version, value);
    if (!added && found->second != value)
        m_group.reportViolation("two values observed for version " + std::to_string(version));
    if (!changed)
        ++m_result.reads;
    if (version > m_seenVersion) {
        m_seenVersion = version;
        m_lastValue = value;
    }
}

void Schedule::recoverAndCheck()
{
    trace("end of faults");
    m_group.heal();
    m_group.link().lossRate = 0;
    m_group.link().lateRate = 0;
    for (auto &[id, member] : m_group.members()) {
        member->disk.setFull(false);
        member->disk.crashAtSync(0);
    }
    const Timestamp end = m_group.now() + settleLimit;
    m_clientsEnd = m_group.now() + clientTimeAfterFaults;
    while (m_group.now() < end && m_group.violation().empty()) {
        stepAll();
        GroupMember *leader = m_group.leader();
        if (leader == nullptr || !leader->replica->canReadNow(leader->clock())
            || leader->replica->node().commitIndex() < leader->replica->node().lastIndex())
            continue;
        // Recovery is complete when the leader holds a lease and all members that still have their
        // folder hold the same state.
        bool equal = true;
        for (const Member &it : leader->replica->node().membership().members) {
            const GroupMember &member = *m_group.members().at(it.id);
            equal = equal
                    && (m_lostFolders.contains(it.id)
                        || (member.running() && member.state.version() == leader->state.version()));
        }
        if (equal && m_group.now() > m_clientsEnd && isEveryProcessPlaced(*leader)) {
            m_group.checkLogs();
            checkAcknowledged(*leader);
            return;
        }
    }
    for (auto &[id, member] : m_group.members()) {
        if (!member->running())
            continue;
        const NodeStatus status = member->replica->status(member->clock()).node;
        std::string members;
        for (const Member &it : status.membership.members)
            members += (it.voter ? " voter " : " learner ") + std::to_string(it.id.value);
        trace("member " + std::to_string(id.value) + " " + std::string(roleName(status.role))
              + " term " + std::to_string(status.term) + " commit " + std::to_string(status.commit)
              + " last " + std::to_string(status.last) + " durable "
              + std::to_string(status.durable) + " snapshot " + std::to_string(status.snapshot)
              + " version " + std::to_string(member->state.version())
              + (status.standing == Standing::Displaced ? " displaced" : "")
              + (member->replica->status(member->clock()).broken ? " broken" : "")
              + (member->replica->status(member->clock()).full ? " full" : "") + members);
    }
    m_group.reportViolation("the group did not recover within the time limit");
}

bool Schedule::isEveryProcessPlaced(const GroupMember &leader)
{
    const NodeStatus status = leader.replica->status(leader.clock()).node;
    return std::ranges::all_of(m_group.members(), [&](const auto &it) {
        const auto &[id, member] = it;
        if (!member->running())
            return false;
        if (member->replica->node().standing() == Standing::Displaced
            || status.membership.find(id) != nullptr)
            return true;
        const auto spare = std::ranges::find(status.spares, id, &Spare::id);
        return spare != status.spares.end()
                && leader.clock() - spare->lastHeardAt < std::chrono::seconds(2);
    });
}

void Schedule::checkAcknowledged(const GroupMember &leader)
{
    for (const auto &[id, outcome] : m_acknowledged) {
        const RegisterOutcome *kept = leader.state.find(id);
        if (kept == nullptr || !(*kept == outcome))
            m_group.reportViolation("acknowledged operation " + std::to_string(id) + " is lost");
    }
    if (leader.state.version() < m_seenVersion)
        m_group.reportViolation("the version decreased");
}

} // namespace acaciafork::consensus
