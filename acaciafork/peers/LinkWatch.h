#pragma once

#include <map>
#include <vector>

#include "acaciafork/core/Core.h"

namespace acaciafork::peers {

/// Timing of the watch.
struct LinkWatchSettings
{
    /// Silence of a peer that should speak after which the connection to it is made anew; a
    /// connection can go silent for good without a reset.
    Duration silence = std::chrono::milliseconds(1500);
    /// A peer that nobody vouches for is dropped after this long.
    Duration forgetAfter = std::chrono::seconds(15);
};

/// A peer whose connection is to be made anew.
struct SilentPeer
{
    ProcessId process;
    /// Its silence has just been noticed; false while it goes on.
    bool isNew = false;
};

/// Watches which peers are heard from. Pure: it is told what was heard and when.
class LinkWatch
{
public:
    explicit LinkWatch(const LinkWatchSettings &settings = {})
        : m_settings(settings)
    { }

    /// A peer has spoken, or a connection to it has just been made.
    /// @return true when it had been silent
    bool heard(Timestamp now, ProcessId peer);
    /// Peers among those expected to speak whose connections are to be made anew now; one that
    /// stays silent is among them again after the same time.
    std::vector<SilentPeer> silent(Timestamp now, const std::vector<ProcessId> &expected);
    /// Peers that have been silent for so long that they are gone; forgets them.
    std::vector<ProcessId> gone(Timestamp now);

private:
    /// What is known of one peer.
    struct Peer
    {
        Timestamp heardAt;
        Timestamp redialledAt;
        bool isSilent = false;
    };

    LinkWatchSettings m_settings;
    std::map<ProcessId, Peer> m_peers;
};

} // namespace acaciafork::peers
