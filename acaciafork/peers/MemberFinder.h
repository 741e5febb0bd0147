#pragma once

#include <set>
#include <string>
#include <vector>

#include "acaciafork/net/Net.h"
#include "acaciafork/peers/Directory.h"
#include "acaciafork/peers/LinkWatch.h"
#include "acaciafork/peers/PeerLink.h"
#include "acaciafork/peers/ProcessSettings.h"

namespace acaciafork::peers {

/// Keeps the connections of one process to the control members that its directory knows: dials the
/// seeds and the members found, dials anew where a connection has gone silent, and forgets peers
/// that are gone. Does nothing without seeds.
class MemberFinder
{
public:
    /// @param[in] seeds host:port of the peers' interface of some members
    /// @param[in] messages and `link` must outlive the finder
    MemberFinder(const DirectoryIdentity &identity, std::vector<std::string> seeds,
                 net::MessageLink *messages, PeerLink *link);

    /// Takes any message from a peer in, after the link has checked it.
    void heard(Moment at, const wire::Envelope &envelope);

    /// Sends what is due.
    /// @return true when the known members have changed
    bool tick(Moment at);

    /// Takes the seeds over from settings that have changed. Fails with Failure InvalidArgument.
    Result<void> reload(const ProcessSettings &settings);

    [[nodiscard]] const Directory &directory() const { return m_directory; }

private:
    void dial(ProcessId peer, const std::string &address);
    void dialSeeds();
    void send(Moment at, std::vector<DirectoryMessage> messages);
    void redialSilent(Timestamp now);

    Directory m_directory;
    LinkWatch m_watch;
    net::MessageLink *m_messages;
    PeerLink *m_link;
    std::vector<std::string> m_dialledSeeds;
    std::uint64_t m_revision = 0;
    Timestamp m_nextWatch;
};

} // namespace acaciafork::peers
