#include "acaciafork/peers/MemberFinder.h"

#include <spdlog/spdlog.h>

namespace acaciafork::peers {
namespace {

/// Pause between two looks for silent connections.
constexpr Duration watchInterval = std::chrono::milliseconds(250);

} // namespace

MemberFinder::MemberFinder(const DirectoryIdentity &identity, std::vector<std::string> seeds,
                           net::MessageLink *messages, PeerLink *link)
    : m_directory({}, identity, std::move(seeds))
    , m_messages(messages)
    , m_link(link)
{ }

void MemberFinder::dial(ProcessId peer, const std::string &address)
{
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(parsed, net::parseAddress(address));
                return m_messages->addPeer(peer, parsed);
            },
            [&](const Failure &failure) {
                spdlog::warn("event=dial-failed peer={} address={} detail=\"{}\"", peer.value,
                             address, failure.detail);
            },
            [&] { spdlog::warn("event=dial-failed peer={} address={}", peer.value, address); });
}

void MemberFinder::dialSeeds()
{
    if (m_dialledSeeds == m_directory.seeds())
        return;
    for (std::size_t i = 0; i < m_dialledSeeds.size(); ++i)
        m_messages->removePeer(Directory::contactOf(i));
    m_dialledSeeds = m_directory.seeds();
    for (std::size_t i = 0; i < m_dialledSeeds.size(); ++i)
        dial(Directory::contactOf(i), m_dialledSeeds[i]);
}

void MemberFinder::heard(Moment at, const wire::Envelope &envelope)
{
    const ProcessId sender { envelope.sender() };
    if (m_directory.seeds().empty() || sender == m_link->identity().process)
        return;
    if (m_watch.heard(at.now, sender))
        spdlog::info("event=peer-heard peer={}", sender.value);
    m_directory.noteAlive(at.now, sender);
    if (envelope.body_case() != wire::Envelope::kIntroduction)
        return;
    dial(sender, envelope.sender_address());
    send(at, m_directory.heard(at.now, sender, envelope.sender_address(), envelope.introduction()));
}

void MemberFinder::send(Moment at, std::vector<DirectoryMessage> messages)
{
    for (DirectoryMessage &it : messages) {
        wire::Envelope envelope;
        *envelope.mutable_introduction() = std::move(it.introduction);
        m_link->send(it.to, &envelope, at.wallMicroseconds);
    }
}

bool MemberFinder::tick(Moment at)
{
    if (m_directory.seeds().empty())
        return false;
    dialSeeds();
    send(at, m_directory.tick(at.now));
    if (at.now >= m_nextWatch) {
        m_nextWatch = at.now + watchInterval;
        redialSilent(at.now);
    }
    if (m_revision == m_directory.revision())
        return false;
    m_revision = m_directory.revision();
    for (const auto &[process, member] : m_directory.members())
        dial(process, member.address);
    spdlog::info("event=members-found count={} revision={}", m_directory.members().size(),
                 m_revision);
    return true;
}

void MemberFinder::redialSilent(Timestamp now)
{
    std::vector<ProcessId> expected;
    for (const auto &[process, member] : m_directory.members())
        expected.push_back(process);
    for (const SilentPeer &it : m_watch.silent(now, expected)) {
        const DirectoryMember &member = m_directory.members().at(it.process);
        if (it.isNew)
            spdlog::info("event=peer-silent peer={} address={}", it.process.value, member.address);
        m_messages->removePeer(it.process);
        dial(it.process, member.address);
    }
    for (const ProcessId it : m_watch.gone(now)) {
        if (!m_directory.members().contains(it))
            m_messages->removePeer(it);
    }
}

Result<void> MemberFinder::reload(const ProcessSettings &settings)
{
    BOOST_LEAF_AUTO(seeds, seedPeers(settings));
    spdlog::info("event=reloaded seeds={}", seeds.size());
    m_directory.setSeeds(std::move(seeds));
    return {};
}

} // namespace acaciafork::peers
