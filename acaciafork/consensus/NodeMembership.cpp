#include <algorithm>

#include "acaciafork/consensus/Node.h"

// Membership: forming a group, Hello messages, single-step changes, leadership transfer.

namespace acaciafork::consensus {

namespace {

/// Maximum number of processes outside the group that are remembered.
constexpr std::size_t maxHelloSenders = 64;
/// Maximum number of processes that get a Hello besides the members known.
constexpr std::size_t maxContacts = 64;
/// How long the log is still replicated to a removed member, so that it learns of its removal.
constexpr Duration removedMemberRetention = std::chrono::seconds(2);

} // namespace

void Node::pushMembership(const Entry &entry)
{
    if (entry.kind != EntryKind::Membership)
        return;
    auto decoded = decodeMembership(*entry.payload);
    ACACIAFORK_ASSERT(decoded.has_value());
    m_memberships.push_back({ .index = entry.index, .membership = std::move(*decoded) });
}

void Node::updateTrackedMembers(Timestamp now)
{
    for (const Member &it : membership().members) {
        if (it.id == m_identity.self || m_progress.contains(it.id))
            continue;
        Progress progress;
        progress.next = m_log.lastIndex() + 1;
        m_progress.emplace(it.id, progress);
    }
    for (auto &[id, progress] : m_progress) {
        if (progress.removalIndex != 0 || membership().find(id) != nullptr)
            continue;
        progress.removalIndex = m_memberships.back().index;
        progress.removedAt = now;
    }
}

Result<LogPosition> Node::proposeMembership(Timestamp now, const Membership &changed)
{
    if (!committedInTerm() || m_transfer)
        return fail(FailureKind::NotReady,
                    "this member is not the leader, has not committed in its term or transfers "
                    "leadership");
    if (m_memberships.back().index > m_commit)
        return fail(FailureKind::NotReady, "another membership change is not committed yet");
    if (m_diskFull)
        return fail(FailureKind::Full, "the leader's disk is full");
    const LogPosition position = appendAsLeader(EntryKind::Membership, encodeMembership(changed));
    updateTrackedMembers(now);
    return position;
}

Result<LogPosition> Node::addLearner(Timestamp now, ProcessId id, ProcessId replaces)
{
    if (m_role != Role::Leader)
        return fail(FailureKind::NotReady, "this member is not the leader");
    if (membership().find(id) != nullptr || membership().isRetired(id))
        return fail(FailureKind::Conflict,
                    "member id " + std::to_string(id.value) + " is in use or was used before");
    if (replaces && membership().find(replaces) == nullptr)
        return fail(FailureKind::NotFound,
                    "member to replace " + std::to_string(replaces.value) + " is not in the group");
    const auto spare = m_helloSenders.find(id);
    if (spare == m_helloSenders.end())
        return fail(FailureKind::NotFound,
                    "process " + std::to_string(id.value) + " has not sent a Hello to the leader");

    Membership changed = membership();
    changed.members.push_back({ .id = id,
                                .zone = spare->second.zone,
                                .voter = false,
                                .folder = spare->second.folder,
                                .replaces = replaces });
    return proposeMembership(now, changed);
}

Result<LogPosition> Node::removeMember(Timestamp now, ProcessId id)
{
    const Member *member = membership().find(id);
    if (member == nullptr)
        return fail(FailureKind::NotFound,
                    "no member of the group has id " + std::to_string(id.value));
    if (member->voter && membership().voterCount() == 1)
        return fail(FailureKind::Conflict, "the last voter can't be removed");
    Membership changed = membership();
    changed.remove(id);
    return proposeMembership(now, changed);
}

void Node::advanceMembership(Timestamp now)
{
    std::erase_if(m_progress, [&](const auto &it) {
        const Progress &progress = it.second;
        return progress.removalIndex != 0 && m_commit >= progress.removalIndex
                && now - progress.removedAt > removedMemberRetention;
    });
    if (!committedInTerm() || m_memberships.back().index > m_commit || m_transfer || m_diskFull)
        return;

    // A learner becomes a voter once it has synced almost all entries; then the member that it
    // replaces is removed.
    for (const Member &it : membership().members) {
        Membership changed = membership();
        if (it.voter) {
            if (!it.replaces)
                continue;
            changed.find(it.id)->replaces = {};
            if (changed.find(it.replaces) != nullptr)
                changed.remove(it.replaces);
        } else {
            const auto found = m_progress.find(it.id);
            if (found == m_progress.end())
                continue;
            const Progress &progress = found->second;
            const bool live = now - progress.lastHeardAt < m_settings.minElectionTimeout;
            const auto lag = static_cast<LogIndex>(m_settings.promoteLag);
            if (!live || progress.full || progress.match == 0
                || progress.match + lag < m_log.lastIndex())
                continue;
            changed.find(it.id)->voter = true;
        }
        (void)proposeMembership(now, changed);
        return;
    }
}

ProcessId Node::mostAdvancedVoter() const
{
    ProcessId best;
    LogIndex match = 0;
    for (const auto &[id, progress] : m_progress) {
        if (!membership().isVoter(id) || progress.match < match)
            continue;
        best = id;
        match = progress.match;
    }
    return best;
}

void Node::transferIfDiskFull(Timestamp now)
{
    // A leader whose disk is full transfers the leadership to a voter that can write.
    if (!m_diskFull || m_transfer || now - m_diskFullSince < m_settings.maxElectionTimeout)
        return;
    for (const auto &[id, progress] : m_progress) {
        const bool live = now - progress.lastHeardAt < m_settings.minElectionTimeout;
        if (!live || progress.full || progress.match + 1 < m_log.lastIndex())
            continue;
        if (transferLeadership(now, id))
            return;
    }
}

void Node::stepDownIfRemoved(Timestamp now)
{
    const bool removed = membership().find(m_identity.self) == nullptr;
    if (!removed || m_memberships.back().index > m_commit)
        return;
    // The next election starts without waiting for the election timeout.
    if (const ProcessId successor = mostAdvancedVoter())
        send(successor, m_hardState.term, TimeoutNow {});
    becomeFollower(now, m_hardState.term, {});
}

Result<void> Node::transferLeadership(Timestamp now, ProcessId to)
{
    if (m_role != Role::Leader)
        return fail(FailureKind::NotReady, "this member is not the leader");
    if (to == m_identity.self)
        return {};
    if (!membership().isVoter(to))
        return fail(FailureKind::NotFound,
                    "no voter of the group has id " + std::to_string(to.value));
    m_transfer =
            Transfer { .to = to, .deadline = now + m_settings.transferTimeout, .retryAt = now };
    return {};
}

void Node::addContacts(std::span<const ProcessId> contacts)
{
    for (const ProcessId it : contacts) {
        if (it != m_identity.self && std::ranges::find(m_contacts, it) == m_contacts.end())
            m_contacts.push_back(it);
    }
    if (m_contacts.size() > maxContacts)
        m_contacts.erase(m_contacts.begin(), m_contacts.end() - maxContacts);
}

bool Node::mayBeOutside(Timestamp now) const
{
    // A latest membership that names this process proves nothing while no leader is heard: it may
    // be uncommitted and undone, or all its members may have been replaced.
    return m_role != Role::Leader
            && (membership().find(m_identity.self) == nullptr
                || now - m_heardLeaderAt > m_settings.helloSilence);
}

void Node::noteCommitted(const Membership &committed)
{
    // Ids are never reused and a member keeps its folder, so later memberships say the same.
    const Member *self = committed.find(m_identity.self);
    const bool otherFolder = self != nullptr && self->folder != m_folder;
    m_displaced = m_displaced || otherFolder || committed.isRetired(m_identity.self);
}

void Node::sendHellos(Timestamp now)
{
    if (now < m_nextHello)
        return;
    m_nextHello = now + m_settings.helloInterval;
    std::set<ProcessId> contacts(m_contacts.begin(), m_contacts.end());
    contacts.insert(m_answeredMembers.begin(), m_answeredMembers.end());
    for (const Member &it : m_identity.initialMembers)
        contacts.insert(it.id);
    for (const Member &it : membership().members)
        contacts.insert(it.id);
    contacts.erase(m_identity.self);
    const bool hasState = !membership().members.empty();
    for (const ProcessId it : contacts)
        send(it, 0,
             Hello { .zone = m_identity.zone,
                     .membership = {},
                     .committed = false,
                     .hasState = hasState });
    if (!hasState)
        formGroup(now);
}

void Node::formGroup(Timestamp now)
{
    // Only the first initial member writes the first entry, once all others have announced an empty
    // folder by a Hello. This prevents two groups from forming, and a member that lost its folder
    // from taking part in its old group.
    const auto &initial = m_identity.initialMembers;
    if (m_groupExists || initial.empty() || initial.front().id != m_identity.self)
        return;
    Membership formed;
    for (Member it : initial) {
        it.voter = true;
        it.replaces = {};
        if (it.id == m_identity.self) {
            it.folder = m_folder;
        } else {
            const auto found = m_helloSenders.find(it.id);
            if (found == m_helloSenders.end())
                return;
            it.folder = found->second.folder;
        }
        formed.members.push_back(std::move(it));
    }
    if (m_log.lastIndex() != 0 || m_hardState.term > 1)
        return;
    if (m_hardState.term == 0)
        adoptTerm(1);
    appendAsLeader(EntryKind::Membership, encodeMembership(formed));
    m_electionDeadline = now;
}

void Node::sendMembership(ProcessId to)
{
    // Only a committed membership may displace the receiver: an election can undo any other. After
    // a restart the snapshot's is the latest that is known to be committed.
    const Membership &committed = membershipAt(m_commit);
    const bool isKnown = !committed.members.empty();
    send(to, 0,
         Hello { .zone = m_identity.zone,
                 .membership = isKnown ? committed : membership(),
                 .committed = isKnown,
                 .hasState = true });
}

void Node::onHello(Timestamp now, const Message &message, const Hello &hello)
{
    m_groupExists = m_groupExists || hello.hasState || hello.membership;
    if (hello.membership) {
        if (hello.committed)
            noteCommitted(*hello.membership);
        m_answeredMembers.clear();
        for (const Member &it : hello.membership->members)
            m_answeredMembers.push_back(it.id);
        return;
    }

    if (m_helloSenders.size() >= maxHelloSenders && !m_helloSenders.contains(message.from))
        m_helloSenders.erase(std::ranges::min_element(
                m_helloSenders, {}, [](const auto &it) { return it.second.lastHeardAt; }));
    m_helloSenders[message.from] = {
        .id = message.from, .zone = hello.zone, .folder = message.fromFolder, .lastHeardAt = now
    };
    if (!membership().members.empty())
        sendMembership(message.from);
}

} // namespace acaciafork::consensus
