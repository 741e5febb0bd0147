#include "acaciafork/consensus/Consensus.h"

// Fuzzes messages from another member: decodes the input and passes the message to a node in a
// group of three voters and to a node that is the only voter and therefore leads.

namespace {

using namespace acaciafork;
using namespace acaciafork::consensus;

/// Creates a node in a group of three members, of which the first `voters` vote, with a few log
/// entries.
Node makeNode(std::size_t voters)
{
    RecoveredState recovered { .folder = FolderId { 1 }, .hardState = { .term = 3, .vote = {} } };
    recovered.snapshot.index = 4;
    recovered.snapshot.term = 2;
    recovered.baseIndex = 4;
    recovered.baseTerm = 2;
    for (std::uint32_t it = 1; it <= 3; ++it)
        recovered.snapshot.membership.members.push_back({ .id = ProcessId { it },
                                                          .zone = ZoneName { "a" },
                                                          .voter = it <= voters,
                                                          .folder = FolderId { it },
                                                          .replaces = {} });
    for (LogIndex it = 5; it <= 8; ++it)
        recovered.entries.push_back({ .index = it,
                                      .term = it / 3 + 1,
                                      .kind = EntryKind::Command,
                                      .payload = std::make_shared<const std::string>("x") });
    const NodeIdentity identity { .self = ProcessId { 1 }, .zone = ZoneName { "a" } };
    return { {}, identity, std::move(recovered), timestampFromMicroseconds(0), 1 };
}

/// Processes due timers and output as a driver whose disk never fails.
void processDue(Node *node, Timestamp now)
{
    node->tick(now);
    for (int it = 0; it < 3; ++it) {
        if (node->takeOutput(now).hasWrites())
            node->synced(now);
    }
}

} // namespace

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    auto message = decodeMessage(bytes);
    if (!message)
        return 0;
    (void)encodeMessage(*message);
    message->to = ProcessId { 1 };
    message->from = ProcessId { 2 };
    message->fromFolder = FolderId { 2 };

    for (const std::size_t voters : { 3U, 1U }) {
        Node node = makeNode(voters);
        for (std::int64_t ms = 0; ms < 2000; ms += 200)
            processDue(&node, timestampFromMicroseconds(ms * 1000));
        const Timestamp now = timestampFromMicroseconds(2'000'000);
        // First with the term in the message, then twice with the node's current term.
        node.receive(now, *message);
        processDue(&node, now);
        message->term = node.term();
        node.receive(now, *message);
        processDue(&node, now);
        node.receive(now, *message);
        processDue(&node, now + std::chrono::seconds(1));
    }
    return 0;
}
