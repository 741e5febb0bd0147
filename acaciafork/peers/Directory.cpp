#include "acaciafork/peers/Directory.h"

#include <algorithm>

namespace acaciafork::peers {
namespace {

/// Most members taken from one introduction; a cluster has a handful.
constexpr int mostTold = 64;

} // namespace

Directory::Directory(const DirectorySettings &settings, DirectoryIdentity identity,
                     std::vector<std::string> seeds)
    : m_settings(settings)
    , m_identity(std::move(identity))
    , m_seeds(std::move(seeds))
{ }

wire::Introduction Directory::introduce(Timestamp now, std::string dialled, bool wantsAnswer) const
{
    wire::Introduction message;
    message.set_dialled(std::move(dialled));
    message.set_wants_answer(wantsAnswer);
    message.set_zone(m_identity.zone);
    message.set_control_address(m_identity.controlAddress);
    for (const auto &[process, it] : m_members) {
        wire::KnownMember *member = message.add_members();
        member->set_process(process.value);
        member->set_address(it.address);
        member->set_control_address(it.controlAddress);
        member->set_zone(it.zone);
        member->set_age_ms((now - it.heardAt) / std::chrono::milliseconds(1));
    }
    return message;
}

std::vector<DirectoryMessage> Directory::heard(Timestamp now, ProcessId sender,
                                               std::string_view senderAddress,
                                               const wire::Introduction &introduction)
{
    if (!introduction.control_address().empty())
        learn(sender, std::string(senderAddress), introduction.control_address(),
              introduction.zone(), now);
    int n = 0;
    for (const wire::KnownMember &it : introduction.members()) {
        if (++n > mostTold)
            break;
        const Duration age = std::chrono::milliseconds(std::max<std::int64_t>(it.age_ms(), 0));
        if (age < m_settings.forgetAfter)
            learn({ it.process() }, it.address(), it.control_address(), it.zone(), now - age);
    }
    if (!introduction.wants_answer())
        return {};
    return { { .to = sender, .introduction = introduce(now, {}, false) } };
}

void Directory::learn(ProcessId process, const std::string &address,
                      const std::string &controlAddress, const std::string &zone, Timestamp heardAt)
{
    if (process == m_identity.self || !process || process.value >= firstContact)
        return;
    // A process at an address that another one had is its successor there.
    for (auto it = m_members.begin(); it != m_members.end();) {
        if (it->first == process || it->second.address != address) {
            ++it;
            continue;
        }
        if (it->second.heardAt > heardAt)
            return;
        it = m_members.erase(it);
        ++m_revision;
    }
    const auto [it, isNew] = m_members.try_emplace(process);
    DirectoryMember &member = it->second;
    if (!isNew && member.heardAt >= heardAt)
        return;
    if (isNew || member.address != address || member.controlAddress != controlAddress)
        ++m_revision;
    member = {
        .address = address, .controlAddress = controlAddress, .zone = zone, .heardAt = heardAt
    };
}

void Directory::noteAlive(Timestamp now, ProcessId member)
{
    const auto it = m_members.find(member);
    if (it != m_members.end())
        it->second.heardAt = now;
}

std::vector<DirectoryMessage> Directory::tick(Timestamp now)
{
    const std::size_t dropped = std::erase_if(m_members, [&](const auto &it) {
        return now - it.second.heardAt > m_settings.forgetAfter;
    });
    m_revision += dropped;

    std::vector<DirectoryMessage> messages;
    if (now >= m_nextSeeds) {
        m_nextSeeds = now + m_settings.seedInterval;
        for (std::size_t i = 0; i < m_seeds.size(); ++i) {
            const bool isKnown = std::ranges::any_of(
                    m_members, [&](const auto &it) { return it.second.address == m_seeds[i]; });
            if (isKnown || m_seeds[i] == m_identity.address)
                continue;
            messages.push_back(
                    { .to = contactOf(i), .introduction = introduce(now, m_seeds[i], true) });
        }
    }
    if (now >= m_nextGossip) {
        m_nextGossip = now + m_settings.gossipInterval;
        for (const auto &[process, it] : m_members)
            messages.push_back({ .to = process, .introduction = introduce(now, it.address, true) });
    }
    return messages;
}

} // namespace acaciafork::peers
