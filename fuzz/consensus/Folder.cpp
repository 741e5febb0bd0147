#include "acaciafork/consensus/Consensus.h"
#include "tests/consensus/MemoryDisk.h"

// Fuzzes the recovery of a data folder. The first byte of the input selects the file to replace,
// and whether the rest of the input is written unchanged or as the bodies of valid records.

namespace {

using namespace acaciafork;
using namespace acaciafork::consensus;

/// File whose contents the input replaces.
enum class TargetFile : std::uint8_t { Log, Snapshot, Format, Partial };

constexpr std::uint8_t framedBit = 4;

/// Encodes the input as valid records. The input is a sequence of one byte for the kind, one byte
/// for the length, and the body.
std::string frameRecords(std::string_view input, std::uint64_t seed)
{
    std::string bytes;
    while (input.size() >= 2) {
        const auto kind = static_cast<RecordKind>(1 + static_cast<std::uint8_t>(input[0]) % 5);
        const std::size_t length = static_cast<std::uint8_t>(input[1]);
        input.remove_prefix(2);
        const std::string_view body = input.substr(0, length);
        input.remove_prefix(body.size());
        appendRecord(kind, bytes.size(), seed, body, &bytes);
    }
    return bytes;
}

std::string fileNameOf(TargetFile target)
{
    switch (target) {
    case TargetFile::Log:
        return "log-0000000000000001";
    case TargetFile::Snapshot:
        return "snapshot-0000000000000001-0000000000000001";
    case TargetFile::Format:
        return "format";
    case TargetFile::Partial:
        return "partial-snapshot";
    }
    return {};
}

/// Opens the folder, creates a node from it and writes to it. Failures are allowed; crashes are
/// not.
void open(MemoryFolder *files)
{
    const FolderOwner owner { "test", ProcessId { 1 }, FolderId { 1 } };
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(folder, LogFolder::open(files, owner));
                const Node node({}, { .self = ProcessId { 1 } }, folder->takeRecovered(), {}, 1);
                const Entry entry { .index = node.lastIndex() + 1,
                                    .term = node.term() + 1,
                                    .kind = EntryKind::NoOperation,
                                    .payload = {} };
                return folder->write(HardState { entry.term, {} }, std::span(&entry, 1));
            },
            [] {});
}

} // namespace

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const auto target = static_cast<TargetFile>(data[0] % 4);
    const bool framed = (data[0] & framedBit) != 0;
    const std::string_view input(reinterpret_cast<const char *>(data + 1), size - 1);

    MemoryDisk disk(1);
    {
        MemoryFolder files(&disk);
        open(&files);
        const std::string name = fileNameOf(target);
        (void)files.remove(name);
        auto file = files.openFile(name);
        const std::uint64_t seed = target == TargetFile::Log ? 1 : 0;
        (void)(*file)->append(framed ? frameRecords(input, seed) : std::string(input));
    }
    // Opens the folder twice, because the second time must also handle what the first one repaired.
    for (int it = 0; it < 2; ++it) {
        MemoryFolder files(&disk);
        open(&files);
    }
    return 0;
}
