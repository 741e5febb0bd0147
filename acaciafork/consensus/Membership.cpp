#include "acaciafork/consensus/Membership.h"

#include <algorithm>

#include "acaciafork/consensus/MembershipCodec.h"

namespace acaciafork::consensus {

const Member *Membership::find(ProcessId id) const
{
    const auto it = std::ranges::find(members, id, &Member::id);
    return it == members.end() ? nullptr : &*it;
}

Member *Membership::find(ProcessId id)
{
    const auto it = std::ranges::find(members, id, &Member::id);
    return it == members.end() ? nullptr : &*it;
}

bool Membership::isVoter(ProcessId id) const
{
    const Member *member = find(id);
    return member != nullptr && member->voter;
}

bool Membership::isRetired(ProcessId id) const
{
    return std::ranges::find(retired, id) != retired.end();
}

std::size_t Membership::voterCount() const
{
    return static_cast<std::size_t>(std::ranges::count(members, true, &Member::voter));
}

void Membership::remove(ProcessId id)
{
    if (std::erase_if(members, [id](const Member &it) { return it.id == id; }) > 0)
        retired.push_back(id);
}

void toWire(const Membership &membership, wire::consensus::Membership *to)
{
    for (const Member &it : membership.members) {
        auto *member = to->add_members();
        member->set_id(it.id.value);
        member->set_zone(it.zone.value);
        member->set_voter(it.voter);
        member->set_folder(it.folder.value);
        member->set_replaces(it.replaces.value);
    }
    for (const ProcessId it : membership.retired)
        to->add_retired(it.value);
}

Membership fromWire(const wire::consensus::Membership &from)
{
    Membership membership;
    for (const auto &it : from.members()) {
        membership.members.push_back({ .id = ProcessId { it.id() },
                                       .zone = ZoneName { it.zone() },
                                       .voter = it.voter(),
                                       .folder = FolderId { it.folder() },
                                       .replaces = ProcessId { it.replaces() } });
    }
    for (const std::uint32_t it : from.retired())
        membership.retired.push_back(ProcessId { it });
    return membership;
}

std::string encodeMembership(const Membership &membership)
{
    wire::consensus::Membership message;
    toWire(membership, &message);
    return message.SerializeAsString();
}

Result<Membership> decodeMembership(std::string_view bytes)
{
    wire::consensus::Membership message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(FailureKind::Corrupt, "membership can't be parsed");
    return fromWire(message);
}

} // namespace acaciafork::consensus
