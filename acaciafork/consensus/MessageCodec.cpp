#include "acaciafork/consensus/MessageCodec.h"

#include "acaciafork/consensus/MembershipCodec.h"

namespace acaciafork::consensus {

namespace {

/// Writes a message body into the protobuf message.
struct BodyWriter
{
    wire::consensus::Message *to;

    void operator()(const VoteRequest &body) const
    {
        auto *request = to->mutable_vote_request();
        request->set_pre_vote(body.preVote);
        request->set_force(body.force);
        request->set_last_index(body.lastIndex);
        request->set_last_term(body.lastTerm);
    }

    void operator()(const VoteReply &body) const
    {
        auto *reply = to->mutable_vote_reply();
        reply->set_pre_vote(body.preVote);
        reply->set_granted(body.granted);
    }

    void operator()(const AppendRequest &body) const
    {
        auto *request = to->mutable_append_request();
        request->set_prev_index(body.prevIndex);
        request->set_prev_term(body.prevTerm);
        request->set_commit(body.commit);
        request->set_sent_us(toMicroseconds(body.sentAt));
        for (const Entry &it : body.entries)
            toWire(it, request->add_entries());
    }

    void operator()(const AppendReply &body) const
    {
        auto *reply = to->mutable_append_reply();
        reply->set_accepted(body.accepted);
        reply->set_match(body.match);
        reply->set_rejected_prev(body.rejectedPrev);
        reply->set_sent_us(toMicroseconds(body.sentAt));
        reply->set_full(body.full);
    }

    void operator()(const SnapshotOffer &body) const
    {
        auto *offer = to->mutable_snapshot_offer();
        offer->set_source(body.source.value);
        offer->set_index(body.index);
        offer->set_sent_us(toMicroseconds(body.sentAt));
    }

    void operator()(const SnapshotFetch &body) const
    {
        auto *fetch = to->mutable_snapshot_fetch();
        fetch->set_index(body.index);
        fetch->set_checksum(body.checksum);
        fetch->set_offset(body.offset);
    }

    void operator()(const SnapshotChunk &body) const
    {
        auto *chunk = to->mutable_snapshot_chunk();
        toWire(body.meta, chunk->mutable_meta());
        chunk->set_offset(body.offset);
        chunk->set_data(body.data);
    }

    void operator()(const TimeoutNow &) const { to->mutable_timeout_now(); }

    void operator()(const Hello &body) const
    {
        auto *hello = to->mutable_hello();
        hello->set_zone(body.zone.value);
        if (body.membership)
            toWire(*body.membership, hello->mutable_membership());
        hello->set_committed(body.committed);
        hello->set_has_state(body.hasState);
    }
};

/// Exclusive upper limit for an index, term or size from another member. It keeps arithmetic on
/// them from overflowing.
constexpr std::uint64_t numberLimit = 1ULL << 62;

/// True when the entry has a known kind and its membership, if it holds one, can be parsed.
bool isWellFormed(const wire::consensus::Entry &entry)
{
    if (entry.kind() > static_cast<unsigned>(EntryKind::Membership))
        return false;
    return entry.kind() != static_cast<unsigned>(EntryKind::Membership)
            || decodeMembership(entry.payload()).has_value();
}

/// True when all numbers of the message are in range.
bool inRange(const wire::consensus::Message &message)
{
    const auto &meta = message.snapshot_chunk().meta();
    return message.term() < numberLimit && message.append_request().prev_index() < numberLimit
            && message.append_reply().match() < numberLimit
            && message.snapshot_offer().index() < numberLimit && meta.index() < numberLimit
            && meta.term() < numberLimit && meta.size() < numberLimit
            && message.snapshot_chunk().offset() <= meta.size();
}

/// Reads the entries of an append request; false when one is malformed or out of order.
bool readEntries(wire::consensus::AppendRequest *from, AppendRequest *to)
{
    LogIndex expected = from->prev_index() + 1;
    to->entries.reserve(static_cast<std::size_t>(from->entries_size()));
    for (auto &it : *from->mutable_entries()) {
        auto entry = fromWire(std::move(it));
        if (!entry || entry->index != expected)
            return false;
        ++expected;
        to->entries.push_back(std::move(*entry));
    }
    return true;
}

} // namespace

void toWire(const Entry &entry, wire::consensus::Entry *to)
{
    to->set_index(entry.index);
    to->set_term(entry.term);
    to->set_kind(static_cast<std::uint32_t>(entry.kind));
    if (entry.payload)
        to->set_payload(*entry.payload);
}

Result<Entry> fromWire(wire::consensus::Entry &&entry)
{
    if (!isWellFormed(entry))
        return fail(FailureKind::Corrupt, "malformed entry " + std::to_string(entry.index()));
    return Entry { .index = entry.index(),
                   .term = entry.term(),
                   .kind = static_cast<EntryKind>(entry.kind()),
                   .payload = std::make_shared<const std::string>(
                           std::move(*entry.mutable_payload())) };
}

void toWire(const SnapshotMeta &meta, wire::consensus::SnapshotMeta *to)
{
    to->set_index(meta.index);
    to->set_term(meta.term);
    toWire(meta.membership, to->mutable_membership());
    to->set_size(meta.size);
    to->set_checksum(meta.checksum);
}

SnapshotMeta fromWire(const wire::consensus::SnapshotMeta &meta)
{
    return { .index = meta.index(),
             .term = meta.term(),
             .membership = fromWire(meta.membership()),
             .size = meta.size(),
             .checksum = meta.checksum() };
}

std::string encodeMessage(const Message &message)
{
    wire::consensus::Message out;
    out.set_schema(messageSchema);
    out.set_from(message.from.value);
    out.set_to(message.to.value);
    out.set_from_folder(message.fromFolder.value);
    out.set_term(message.term);
    std::visit(BodyWriter { &out }, message.body);
    return out.SerializeAsString();
}

Result<Message> decodeMessage(std::string_view bytes)
{
    wire::consensus::Message in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(FailureKind::Protocol, "consensus message can't be parsed");
    if (!inRange(in))
        return fail(FailureKind::Protocol, "consensus message has a number out of range");
    if (in.schema() != messageSchema)
        return fail(FailureKind::Protocol,
                    "consensus message has unsupported schema " + std::to_string(in.schema()));

    Message message { .from = ProcessId { in.from() },
                      .to = ProcessId { in.to() },
                      .fromFolder = FolderId { in.from_folder() },
                      .term = in.term(),
                      .body = TimeoutNow {} };
    using wire::consensus::Message;
    switch (in.body_case()) {
    case Message::kVoteRequest: {
        const auto &it = in.vote_request();
        message.body = VoteRequest { it.pre_vote(), it.force(), it.last_index(), it.last_term() };
        break;
    }
    case Message::kVoteReply:
        message.body = VoteReply { in.vote_reply().pre_vote(), in.vote_reply().granted() };
        break;
    case Message::kAppendRequest: {
        auto *it = in.mutable_append_request();
        AppendRequest body { .prevIndex = it->prev_index(),
                             .prevTerm = it->prev_term(),
                             .commit = it->commit(),
                             .sentAt = timestampFromMicroseconds(it->sent_us()),
                             .entries = {} };
        if (!readEntries(it, &body))
            return fail(FailureKind::Protocol,
                        "append request has malformed or misordered entries");
        message.body = std::move(body);
        break;
    }
    case Message::kAppendReply: {
        const auto &it = in.append_reply();
        message.body = AppendReply { it.accepted(), it.match(), it.rejected_prev(),
                                     timestampFromMicroseconds(it.sent_us()), it.full() };
        break;
    }
    case Message::kSnapshotOffer: {
        const auto &it = in.snapshot_offer();
        message.body = SnapshotOffer { ProcessId { it.source() }, it.index(),
                                       timestampFromMicroseconds(it.sent_us()) };
        break;
    }
    case Message::kSnapshotFetch: {
        const auto &it = in.snapshot_fetch();
        message.body = SnapshotFetch { it.index(), it.checksum(), it.offset() };
        break;
    }
    case Message::kSnapshotChunk: {
        auto *it = in.mutable_snapshot_chunk();
        message.body = SnapshotChunk { fromWire(it->meta()), it->offset(),
                                       std::move(*it->mutable_data()) };
        break;
    }
    case Message::kTimeoutNow:
        break;
    case Message::kHello: {
        const auto &it = in.hello();
        Hello hello { .zone = ZoneName { it.zone() },
                      .membership = {},
                      .committed = it.committed(),
                      .hasState = it.has_state() };
        if (it.has_membership())
            hello.membership = fromWire(it.membership());
        message.body = std::move(hello);
        break;
    }
    case Message::BODY_NOT_SET:
        return fail(FailureKind::Protocol, "consensus message has no body");
    }
    return message;
}

} // namespace acaciafork::consensus
