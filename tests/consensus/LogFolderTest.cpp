#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>

#include "FailureText.h"
#include "MemoryDisk.h"

using namespace acaciafork;
using namespace acaciafork::consensus;

namespace {

const FolderOwner owner { .cluster = "test",
                          .member = ProcessId { 1 },
                          .newFolder = FolderId { 77 } };

/// Entry of term 1 whose payload tells its index.
Entry entryAt(LogIndex index, Term term = 1)
{
    return { .index = index,
             .term = term,
             .kind = EntryKind::Command,
             .payload = std::make_shared<const std::string>("entry " + std::to_string(index)) };
}

/// One use of a data folder by a process.
struct Use
{
    explicit Use(MemoryDisk *disk, std::int64_t segmentBytes = 400)
        : files(disk)
    {
        result = resultOf([&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(folder, LogFolder::open(&files, owner, { segmentBytes }));
            return {};
        });
        if (folder)
            found = folder->takeRecovered();
    }

    /// Writes one entry with the hard state, each in a group of its own.
    CallResult write(LogIndex index)
    {
        const std::array entries { entryAt(index) };
        return resultOf([&] { return folder->write(HardState { 1, ProcessId { 1 } }, entries); });
    }

    MemoryFolder files;
    std::unique_ptr<LogFolder> folder;
    RecoveredState found;
    CallResult result;
};

/// Folder with `count` entries, one a group; returns the name of its last segment.
std::string fill(MemoryDisk *disk, LogIndex count, std::int64_t segmentBytes = 400)
{
    Use use(disk, segmentBytes);
    REQUIRE(use.result.done);
    for (LogIndex it = 1; it <= count; ++it)
        REQUIRE(use.write(it).done);
    std::string last;
    for (const std::string &it : disk->names()) {
        if (it.starts_with("log-"))
            last = it;
    }
    return last;
}

} // namespace

TEST_CASE("what was synced is found again, over several segments")
{
    MemoryDisk disk(1);
    fill(&disk, 30);
    CHECK(disk.names().size() > 3);
    disk.restart();
    const Use use(&disk);
    REQUIRE(use.result.done);
    CHECK(use.found.folder == FolderId { 77 });
    CHECK(use.found.hardState == HardState { 1, ProcessId { 1 } });
    REQUIRE(use.found.entries.size() == 30);
    CHECK(*use.found.entries.back().payload == "entry 30");
}

TEST_CASE("an entry supersedes those from its index on")
{
    MemoryDisk disk(1);
    fill(&disk, 10);
    {
        Use use(&disk);
        const std::array entries { entryAt(6, 2), entryAt(7, 2) };
        REQUIRE(resultOf([&] { return use.folder->write(HardState { 2, {} }, entries); }).done);
    }
    disk.restart();
    const Use use(&disk);
    REQUIRE(use.found.entries.size() == 7);
    CHECK(use.found.entries[4].term == 1);
    CHECK(use.found.entries[5].term == 2);
}

TEST_CASE("a torn tail is cut")
{
    for (std::size_t cut = 1; cut < 40; ++cut) {
        MemoryDisk disk(1);
        const std::string last = fill(&disk, 8, 100'000);
        std::string &bytes = disk.bytes(last);
        bytes.resize(bytes.size() - cut);
        const Use use(&disk);
        REQUIRE(use.result.done);
        CHECK(use.found.entries.size() == 7);
    }
}

TEST_CASE("a corrupt middle is refused with the file and the offset")
{
    MemoryDisk disk(1);
    const std::string last = fill(&disk, 8, 100'000);
    const std::string whole = disk.bytes(last);
    // Every byte but those of the last group, which can't be told from a torn write.
    Record record;
    std::uint64_t lastGroup = 0;
    for (std::uint64_t it = 0; readRecord(whole, it, 1, &record); it = record.end)
        lastGroup = record.groupStart;
    for (std::uint64_t it = 0; it < lastGroup; ++it) {
        disk.bytes(last) = whole;
        disk.bytes(last)[it] ^= 0x10;
        const Use use(&disk);
        REQUIRE_FALSE(use.result.done);
        CHECK(use.result.kind == FailureKind::Corrupt);
        CHECK(use.result.corrupt.file == last);
        CHECK(use.result.corrupt.offset <= it);
        CHECK(it < use.result.corrupt.offset + 64);
    }
}

TEST_CASE("a broken record in an older segment, and a missing segment, are refused")
{
    MemoryDisk disk(1);
    fill(&disk, 30);
    std::string &first = disk.bytes("log-0000000000000001");
    const std::string whole = first;
    first.resize(first.size() - 1);
    CHECK(Use(&disk).result.kind == FailureKind::Corrupt);
    first = whole;
    CHECK(Use(&disk).result.done);
    MemoryFolder files(&disk);
    REQUIRE(files.remove("log-0000000000000002"));
    CHECK(Use(&disk).result.corrupt.file == "log-0000000000000002");
}

TEST_CASE("a folder in use, of another member, or of another format is refused")
{
    MemoryDisk disk(1);
    {
        const Use use(&disk);
        CHECK(Use(&disk).result.kind == FailureKind::Conflict);
    }
    MemoryFolder files(&disk);
    FolderOwner other = owner;
    other.member = ProcessId { 2 };
    CHECK(resultOf([&] { return LogFolder::open(&files, other); }).kind == FailureKind::Conflict);
    other = owner;
    other.cluster = "other";
    disk.restart();
    CHECK(resultOf([&] { return LogFolder::open(&files, other); }).kind == FailureKind::Conflict);
    disk.restart();
    disk.bytes("format")[30] ^= 1;
    CHECK(Use(&disk).result.corrupt.file == "format");
}

TEST_CASE("a full disk refuses writes, leaves no trace, and recovers")
{
    MemoryDisk disk(5);
    {
        Use use(&disk);
        REQUIRE(use.write(1).done);
        disk.setFull(true);
        for (int it = 0; it < 5; ++it)
            CHECK(use.write(2).kind == FailureKind::Full);
        CHECK_FALSE(use.folder->broken());
        SnapshotMeta meta { .index = 1, .term = 1, .membership = {}, .size = 0, .checksum = 0 };
        CHECK(resultOf([&] { return use.folder->storeSnapshot(&meta, "state"); }).kind
              == FailureKind::Full);
        disk.setFull(false);
        REQUIRE(use.write(2).done);
        REQUIRE(use.write(3).done);
    }
    disk.setFull(true);
    disk.restart();
    const Use use(&disk);
    REQUIRE(use.result.done);
    CHECK(use.found.entries.size() == 3);
}

namespace {

/// A life of a folder with entries, rolls, a snapshot, compaction and a fetched snapshot. Returns
/// the highest index whose write was reported done; stops at the first failure that breaks it.
LogIndex liveOn(Use *use, LogIndex from)
{
    LogIndex done = from;
    if (!use->result.done)
        return done;
    for (LogIndex it = from + 1; it <= from + 12 && !use->folder->broken(); ++it) {
        if (use->write(it).done)
            done = it;
        else
            --it;
        if (it == from + 8) {
            SnapshotMeta meta {
                .index = it - 2, .term = 1, .membership = {}, .size = 0, .checksum = 0
            };
            (void)resultOf([&] { return use->folder->storeSnapshot(&meta, "state"); });
            (void)resultOf([&] { return use->folder->compactTo(use->folder->snapshot().index); });
        }
    }
    return done;
}

/// After any failure the folder opens and holds what was reported done, or its snapshot does.
void checkKept(MemoryDisk *disk, LogIndex done)
{
    const Use use(disk);
    INFO(use.result.detail);
    REQUIRE(use.result.done);
    const LogIndex last = use.found.baseIndex + use.found.entries.size();
    CHECK(last >= done);
    for (std::size_t it = 0; it < use.found.entries.size(); ++it)
        CHECK(*use.found.entries[it].payload
              == "entry " + std::to_string(use.found.baseIndex + it + 1));
}

/// Runs a life with a failure of `kind` at each call in turn; how many lives it took.
int failEveryCall(FailureKind kind, DiskFaults faults = {})
{
    int lives = 0;
    for (std::uint64_t call = 1;; ++call, ++lives) {
        MemoryDisk disk(call, faults);
        disk.failCall(call, kind);
        LogIndex done = 0;
        {
            Use use(&disk, 300);
            done = liveOn(&use, 0);
        }
        if (disk.calls() < call)
            return lives;
        disk.restart();
        checkKept(&disk, done);
    }
}

} // namespace

TEST_CASE("a failure of any one call loses nothing that was reported done")
{
    CHECK(failEveryCall(FailureKind::Storage) > 40);
    CHECK(failEveryCall(FailureKind::Full) > 40);
}

TEST_CASE("a crash at any sync loses nothing that was reported done")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (std::uint64_t sync = 1; sync <= 24; ++sync) {
            MemoryDisk disk(seed * 100 + sync);
            disk.crashAtSync(sync);
            LogIndex done = 0;
            {
                Use use(&disk, 300);
                done = liveOn(&use, 0);
            }
            disk.restart();
            checkKept(&disk, done);
        }
    }
}

TEST_CASE("a fetched snapshot replaces the log, also when the process ends between the two")
{
    SnapshotMeta meta;
    std::string bytes(1000, 'x');
    {
        MemoryDisk source(1);
        Use use(&source);
        meta = { .index = 50, .term = 3, .membership = {}, .size = 0, .checksum = 0 };
        REQUIRE(resultOf([&] { return use.folder->storeSnapshot(&meta, bytes); }).done);
    }
    for (std::uint64_t sync = 0; sync <= 5; ++sync) {
        MemoryDisk disk(sync + 1);
        fill(&disk, 10);
        {
            Use use(&disk);
            REQUIRE(use.write(11).done);
            for (std::uint64_t it = 0; it < 1000; it += 250) {
                const SnapshotChunk piece { meta, it, bytes.substr(it, 250) };
                REQUIRE(resultOf([&] { return use.folder->writePiece(piece); }).done);
            }
            const std::array voted { entryAt(12) };
            REQUIRE(resultOf([&] { return use.folder->write(HardState { 3, {} }, voted); }).done);
            disk.crashAtSync(sync);
            (void)resultOf([&] { return use.folder->finishPartial(true); });
        }
        disk.restart();
        const Use use(&disk);
        INFO(use.result.detail);
        REQUIRE(use.result.done);
        const bool taken = use.found.snapshot.index == 50;
        CHECK((taken || sync != 0));
        CHECK(use.found.baseIndex == (taken ? 50 : 0));
        CHECK(use.found.entries.size() == (taken ? 0 : 12));
        CHECK(use.found.hardState.term == 3);
    }
}

TEST_CASE("pieces of a snapshot outlive a restart, and broken ones are dropped")
{
    MemoryDisk disk(1);
    SnapshotMeta meta { .index = 9, .term = 1, .membership = {}, .size = 6, .checksum = 1 };
    {
        Use use(&disk);
        REQUIRE(use.write(1).done);
        REQUIRE(resultOf([&] { return use.folder->writePiece({ meta, 0, "abc" }); }).done);
    }
    Use use(&disk);
    REQUIRE(use.found.partial.has_value());
    CHECK(use.found.partial->received == 3);
    REQUIRE(resultOf([&] { return use.folder->writePiece({ meta, 3, "def" }); }).done);
    CHECK(resultOf([&] { return use.folder->finishPartial(true); }).kind == FailureKind::Corrupt);
    CHECK(use.folder->snapshot().index == 0);
}

TEST_CASE("a folder in the file system keeps its log and its lock")
{
    std::string path = std::filesystem::temp_directory_path() / "acaciafork-folder-XXXXXX";
    REQUIRE(::mkdtemp(path.data()) != nullptr);
    {
        auto files = PosixFolder::open(path + "/data");
        REQUIRE(files);
        auto folder = LogFolder::open(files->get(), owner);
        REQUIRE(folder);
        const std::array entries { entryAt(1), entryAt(2) };
        REQUIRE((*folder)->write(HardState { 4, ProcessId { 2 } }, entries));
        SnapshotMeta meta { .index = 1, .term = 1, .membership = {}, .size = 0, .checksum = 0 };
        REQUIRE((*folder)->storeSnapshot(&meta, "state"));
        auto other = PosixFolder::open(path + "/data");
        REQUIRE(other);
        CHECK(resultOf([&] { return (*other)->lock(); }).kind == FailureKind::Conflict);
    }
    auto files = PosixFolder::open(path + "/data");
    REQUIRE(files);
    auto folder = LogFolder::open(files->get(), owner);
    REQUIRE(folder);
    const RecoveredState found = (*folder)->takeRecovered();
    CHECK(found.entries.size() == 2);
    CHECK(found.hardState.vote == ProcessId { 2 });
    CHECK(found.snapshot.index == 1);
    std::filesystem::remove_all(path);
}

TEST_CASE("what a killed process left unsynced is durable before anything is built on it")
{
    // Found by a hunt on furiko-ops: a process was killed within a write, the next one began a
    // segment behind it, and a loss of power took the write: the folder could not be read any more.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        MemoryDisk disk(seed);
        fill(&disk, 5);
        {
            Use killed(&disk);
            REQUIRE(killed.result.done);
            REQUIRE(killed.write(6).done);
            disk.failCall(2, FailureKind::Storage);
            CHECK_FALSE(killed.write(7).done);
            disk.failCall(0, FailureKind::Storage);
        }
        LogIndex recovered = 0;
        {
            Use next(&disk);
            REQUIRE(next.result.done);
            REQUIRE_FALSE(next.found.entries.empty());
            recovered = next.found.entries.back().index;
            REQUIRE(next.write(recovered + 1).done);
        }
        disk.restart();
        Use last(&disk);
        REQUIRE(last.result.done);
        CHECK(last.found.entries.back().index == recovered + 1);
    }
}
