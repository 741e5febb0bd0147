#pragma once

#include "acaciafork/decisions/routing/Routing.h"
#include "wire/peers.pb.h"

namespace acaciafork::peers {

/// Encodes a report; the entry itself is named by the envelope.
void encodeReport(const routing::CreditReport &report, wire::CreditReport *message);

/// Decodes a report of the entry and incarnation that the envelope names.
routing::CreditReport decodeReport(const wire::Envelope &envelope);

/// Encodes a grant; the receiver is named by the link.
void encodeGrant(const routing::CreditGrant &grant, wire::CreditGrant *message);

/// Decodes a grant that reached the entry `self`.
routing::CreditGrant decodeGrant(const wire::CreditGrant &message, ProcessId self);

/// Encodes an announcement.
void encodeAnnouncement(const routing::EndpointAnnouncement &announcement,
                        wire::EndpointAnnouncement *message);

/// Decodes an announcement.
routing::EndpointAnnouncement decodeAnnouncement(const wire::EndpointAnnouncement &message);

} // namespace acaciafork::peers
