#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "acaciafork/core/Core.h"
#include "wire/peers.pb.h"

namespace acaciafork::peers {

/// Timing of the directory.
struct DirectorySettings
{
    /// Pause between two introductions to an address that has not answered.
    Duration seedInterval = std::chrono::milliseconds(300);
    /// Pause between two introductions to a known member.
    Duration gossipInterval = std::chrono::milliseconds(1000);
    /// A member that nobody has heard from for this long is dropped.
    Duration forgetAfter = std::chrono::seconds(15);
};

/// Who this process is towards the directory.
struct DirectoryIdentity
{
    ProcessId self;
    /// host:port of its peers' interface.
    std::string address;
    /// host:port of a control member's interface for operators and workers; empty for an entry.
    std::string controlAddress;
    std::string zone;
};

/// A control member as the directory knows it.
struct DirectoryMember
{
    std::string address;
    std::string controlAddress;
    std::string zone;
    /// When it last spoke, here or to whom told of it.
    Timestamp heardAt;
};

/// An introduction to be sent.
struct DirectoryMessage
{
    ProcessId to;
    wire::Introduction introduction;
};

/// Finds the control members of a cluster from a few addresses of some of them. Processes introduce
/// themselves, and members tell of the members that they know. Pure: it is told what was heard.
class Directory
{
public:
    /// Ids that stand for an address whose process is not known yet.
    static constexpr std::uint32_t firstContact = 0x80000000U;

    /// @param[in] seeds host:port of the peers' interface of some members
    Directory(const DirectorySettings &settings, DirectoryIdentity identity,
              std::vector<std::string> seeds);

    /// Id under which messages to a seed that is not known yet go out.
    [[nodiscard]] static ProcessId contactOf(std::size_t seed)
    {
        return { firstContact + static_cast<std::uint32_t>(seed) };
    }
    [[nodiscard]] const std::vector<std::string> &seeds() const { return m_seeds; }
    /// Replaces the seeds, as when the settings have changed.
    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

    /// An introduction has come.
    /// @return the answer, if one is wanted
    std::vector<DirectoryMessage> heard(Timestamp now, ProcessId sender,
                                        std::string_view senderAddress,
                                        const wire::Introduction &introduction);

    /// A member has spoken in some other way.
    void noteAlive(Timestamp now, ProcessId member);

    /// What is due to be sent.
    std::vector<DirectoryMessage> tick(Timestamp now);

    /// Control members by process id; this one is not among them.
    [[nodiscard]] const std::map<ProcessId, DirectoryMember> &members() const { return m_members; }
    /// Grows whenever a member is added, dropped or moved.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    [[nodiscard]] wire::Introduction introduce(Timestamp now, std::string dialled,
                                               bool wantsAnswer) const;
    void learn(ProcessId process, const std::string &address, const std::string &controlAddress,
               const std::string &zone, Timestamp heardAt);

    DirectorySettings m_settings;
    DirectoryIdentity m_identity;
    std::vector<std::string> m_seeds;
    std::map<ProcessId, DirectoryMember> m_members;
    Timestamp m_nextSeeds;
    Timestamp m_nextGossip;
    std::uint64_t m_revision = 0;
};

} // namespace acaciafork::peers
