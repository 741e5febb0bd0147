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

/// Entry whose payload contains its index.
Entry entryAt(LogIndex index, Term term = 1)
{
    return { .index = index,
             .term = term,
             .kind = EntryKind::Command,
             .payload = std::make_shared<const std::string>("entry " + std::to_string(index)) };
}

/// One process that opens and uses a data folder.
struct FolderSession
{
    explicit FolderSession(MemoryDisk *disk, std::int64_t segmentBytes = 400)
        : files(disk)
    {
        result = resultOf([&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(folder, LogFolder::open(&files, owner, { segmentBytes }));
            return {};
        });
        if (folder)
            recoveredState = folder->takeRecovered();
    }

    /// Writes one entry and the hard state as one group.
    CallResult write(LogIndex index)
    {
        const std::array entries { entryAt(index) };
        return resultOf([&] { return folder->write(HardState { 1, ProcessId { 1 } }, entries); });
    }

    MemoryFolder files;
    std::unique_ptr<LogFolder> folder;
    RecoveredState recoveredState;
    CallResult result;
};

/// Writes `count` entries, each in its own group; returns the name of the last segment.
std::string writeEntries(MemoryDisk *disk, LogIndex count, std::int64_t segmentBytes = 400)
{
    FolderSession session(disk, segmentBytes);
    REQUIRE(session.result.done);
    for (LogIndex it = 1; it <= count; ++it)
        REQUIRE(session.write(it).done);
    std::string last;
    for (const std::string &it : disk->names()) {
        if (it.starts_with("log-"))
            last = it;
    }
    return last;
}

} // namespace

TEST_CASE("synced entries in several segments are recovered after a restart")
{
    MemoryDisk disk(1);
    writeEntries(&disk, 30);
    CHECK(disk.names().size() > 3);
    disk.restart();
    const FolderSession session(&disk);
    REQUIRE(session.result.done);
    CHECK(session.recoveredState.folder == FolderId { 77 });
    CHECK(session.recoveredState.hardState == HardState { 1, ProcessId { 1 } });
    REQUIRE(session.recoveredState.entries.size() == 30);
    CHECK(*session.recoveredState.entries.back().payload == "entry 30");
}

TEST_CASE("a new entry replaces entries with the same or a higher index")
{
    MemoryDisk disk(1);
    writeEntries(&disk, 10);
    {
        FolderSession session(&disk);
        const std::array entries { entryAt(6, 2), entryAt(7, 2) };
        REQUIRE(resultOf([&] { return session.folder->write(HardState { 2, {} }, entries); }).done);
    }
    disk.restart();
    const FolderSession session(&disk);
    REQUIRE(session.recoveredState.entries.size() == 7);
    CHECK(session.recoveredState.entries[4].term == 1);
    CHECK(session.recoveredState.entries[5].term == 2);
}

TEST_CASE("an incomplete last write is truncated")
{
    for (std::size_t cut = 1; cut < 40; ++cut) {
        MemoryDisk disk(1);
        const std::string last = writeEntries(&disk, 8, 100'000);
        std::string &bytes = disk.bytes(last);
        bytes.resize(bytes.size() - cut);
        const FolderSession session(&disk);
        REQUIRE(session.result.done);
        CHECK(session.recoveredState.entries.size() == 7);
    }
}

TEST_CASE("corruption before the last write is reported with the file and the offset")
{
    MemoryDisk disk(1);
    const std::string last = writeEntries(&disk, 8, 100'000);
    const std::string intact = disk.bytes(last);
    // Damages each byte except those of the last group: damage there cannot be distinguished from
    // an incomplete write.
    Record record;
    std::uint64_t lastGroup = 0;
    for (std::uint64_t it = 0; readRecord(intact, it, 1, &record); it = record.end)
        lastGroup = record.groupStart;
    for (std::uint64_t it = 0; it < lastGroup; ++it) {
        disk.bytes(last) = intact;
        disk.bytes(last)[it] ^= 0x10;
        const FolderSession session(&disk);
        REQUIRE_FALSE(session.result.done);
        CHECK(session.result.kind == FailureKind::Corrupt);
        CHECK(session.result.corrupt.file == last);
        CHECK(session.result.corrupt.offset <= it);
        CHECK(it < session.result.corrupt.offset + 64);
    }
}

TEST_CASE("an invalid record in an older segment and a missing segment are reported as corruption")
{
    MemoryDisk disk(1);
    writeEntries(&disk, 30);
    std::string &first = disk.bytes("log-0000000000000001");
    const std::string intact = first;
    first.resize(first.size() - 1);
    CHECK(FolderSession(&disk).result.kind == FailureKind::Corrupt);
    first = intact;
    CHECK(FolderSession(&disk).result.done);
    MemoryFolder files(&disk);
    REQUIRE(files.remove("log-0000000000000002"));
    CHECK(FolderSession(&disk).result.corrupt.file == "log-0000000000000002");
}

TEST_CASE("a folder that is in use, has another owner or has a damaged format file is rejected")
{
    MemoryDisk disk(1);
    {
        const FolderSession session(&disk);
        CHECK(FolderSession(&disk).result.kind == FailureKind::Conflict);
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
    CHECK(FolderSession(&disk).result.corrupt.file == "format");
}

TEST_CASE("writes to a full disk store nothing and succeed once there is space again")
{
    MemoryDisk disk(5);
    {
        FolderSession session(&disk);
        REQUIRE(session.write(1).done);
        disk.setFull(true);
        for (int it = 0; it < 5; ++it)
            CHECK(session.write(2).kind == FailureKind::Full);
        CHECK_FALSE(session.folder->broken());
        SnapshotMeta meta { .index = 1, .term = 1, .membership = {}, .size = 0, .checksum = 0 };
        CHECK(resultOf([&] { return session.folder->storeSnapshot(&meta, "state"); }).kind
              == FailureKind::Full);
        disk.setFull(false);
        REQUIRE(session.write(2).done);
        REQUIRE(session.write(3).done);
    }
    disk.setFull(true);
    disk.restart();
    const FolderSession session(&disk);
    REQUIRE(session.result.done);
    CHECK(session.recoveredState.entries.size() == 3);
}

namespace {

/// Writes entries over several segments, stores a snapshot and compacts the log. Stops if a failure
/// leaves the folder broken. Returns the highest index whose write succeeded.
LogIndex runWorkload(FolderSession *session, LogIndex from)
{
    LogIndex done = from;
    if (!session->result.done)
        return done;
    for (LogIndex it = from + 1; it <= from + 12 && !session->folder->broken(); ++it) {
        if (session->write(it).done)
            done = it;
        else
            --it;
        if (it == from + 8) {
            SnapshotMeta meta {
                .index = it - 2, .term = 1, .membership = {}, .size = 0, .checksum = 0
            };
            (void)resultOf([&] { return session->folder->storeSnapshot(&meta, "state"); });
            (void)resultOf(
                    [&] { return session->folder->compactTo(session->folder->snapshot().index); });
        }
    }
    return done;
}

/// Checks that the folder opens and that its log or snapshot covers all successful writes.
void checkNothingLost(MemoryDisk *disk, LogIndex done)
{
    const FolderSession session(disk);
    INFO(session.result.detail);
    REQUIRE(session.result.done);
    const LogIndex last = session.recoveredState.baseIndex + session.recoveredState.entries.size();
    CHECK(last >= done);
    for (std::size_t it = 0; it < session.recoveredState.entries.size(); ++it)
        CHECK(*session.recoveredState.entries[it].payload
              == "entry " + std::to_string(session.recoveredState.baseIndex + it + 1));
}

/// Repeats the workload, each time with a failure of `kind` at the next disk call. Returns the
/// number of runs in which a call failed.
int failEveryCall(FailureKind kind, DiskFaults faults = {})
{
    int runs = 0;
    for (std::uint64_t call = 1;; ++call, ++runs) {
        MemoryDisk disk(call, faults);
        disk.failCall(call, kind);
        LogIndex done = 0;
        {
            FolderSession session(&disk, 300);
            done = runWorkload(&session, 0);
        }
        if (disk.calls() < call)
            return runs;
        disk.restart();
        checkNothingLost(&disk, done);
    }
}

} // namespace

TEST_CASE("a failure of any single disk call loses no successful write")
{
    CHECK(failEveryCall(FailureKind::Storage) > 40);
    CHECK(failEveryCall(FailureKind::Full) > 40);
}

TEST_CASE("a crash at any sync loses no successful write")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (std::uint64_t sync = 1; sync <= 24; ++sync) {
            MemoryDisk disk(seed * 100 + sync);
            disk.crashAtSync(sync);
            LogIndex done = 0;
            {
                FolderSession session(&disk, 300);
                done = runWorkload(&session, 0);
            }
            disk.restart();
            checkNothingLost(&disk, done);
        }
    }
}

TEST_CASE("a fetched snapshot replaces the log, even if the process stops before the log is reset")
{
    SnapshotMeta meta;
    std::string bytes(1000, 'x');
    {
        MemoryDisk source(1);
        FolderSession session(&source);
        meta = { .index = 50, .term = 3, .membership = {}, .size = 0, .checksum = 0 };
        REQUIRE(resultOf([&] { return session.folder->storeSnapshot(&meta, bytes); }).done);
    }
    for (std::uint64_t sync = 0; sync <= 5; ++sync) {
        MemoryDisk disk(sync + 1);
        writeEntries(&disk, 10);
        {
            FolderSession session(&disk);
            REQUIRE(session.write(11).done);
            for (std::uint64_t it = 0; it < 1000; it += 250) {
                const SnapshotChunk chunk { meta, it, bytes.substr(it, 250) };
                REQUIRE(resultOf([&] { return session.folder->writeChunk(chunk); }).done);
            }
            const std::array lastEntry { entryAt(12) };
            REQUIRE(resultOf([&] {
                        return session.folder->write(HardState { 3, {} }, lastEntry);
                    }).done);
            disk.crashAtSync(sync);
            (void)resultOf([&] { return session.folder->finishPartial(true); });
        }
        disk.restart();
        const FolderSession session(&disk);
        INFO(session.result.detail);
        REQUIRE(session.result.done);
        const bool adopted = session.recoveredState.snapshot.index == 50;
        CHECK((adopted || sync != 0));
        CHECK(session.recoveredState.baseIndex == (adopted ? 50 : 0));
        CHECK(session.recoveredState.entries.size() == (adopted ? 0 : 12));
        CHECK(session.recoveredState.hardState.term == 3);
    }
}

TEST_CASE("a partial snapshot survives a restart and is dropped if its checksum is wrong")
{
    MemoryDisk disk(1);
    SnapshotMeta meta { .index = 9, .term = 1, .membership = {}, .size = 6, .checksum = 1 };
    {
        FolderSession session(&disk);
        REQUIRE(session.write(1).done);
        REQUIRE(resultOf([&] { return session.folder->writeChunk({ meta, 0, "abc" }); }).done);
    }
    FolderSession session(&disk);
    REQUIRE(session.recoveredState.partial.has_value());
    CHECK(session.recoveredState.partial->received == 3);
    REQUIRE(resultOf([&] { return session.folder->writeChunk({ meta, 3, "def" }); }).done);
    CHECK(resultOf([&] { return session.folder->finishPartial(true); }).kind
          == FailureKind::Corrupt);
    CHECK(session.folder->snapshot().index == 0);
}

TEST_CASE("a folder in the file system keeps its log and can be locked only once")
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
    const RecoveredState recoveredState = (*folder)->takeRecovered();
    CHECK(recoveredState.entries.size() == 2);
    CHECK(recoveredState.hardState.vote == ProcessId { 2 });
    CHECK(recoveredState.snapshot.index == 1);
    std::filesystem::remove_all(path);
}

TEST_CASE("unsynced data of a killed process is made durable before new entries follow it")
{
    // Regression test: a process was killed between a write and its sync. The next process started
    // a new segment after the unsynced data, which was then lost in a power failure. The folder
    // could no longer be opened.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        MemoryDisk disk(seed);
        writeEntries(&disk, 5);
        {
            FolderSession killedSession(&disk);
            REQUIRE(killedSession.result.done);
            REQUIRE(killedSession.write(6).done);
            disk.failCall(2, FailureKind::Storage);
            CHECK_FALSE(killedSession.write(7).done);
            disk.failCall(0, FailureKind::Storage);
        }
        LogIndex recovered = 0;
        {
            FolderSession nextSession(&disk);
            REQUIRE(nextSession.result.done);
            REQUIRE_FALSE(nextSession.recoveredState.entries.empty());
            recovered = nextSession.recoveredState.entries.back().index;
            REQUIRE(nextSession.write(recovered + 1).done);
        }
        disk.restart();
        FolderSession last(&disk);
        REQUIRE(last.result.done);
        CHECK(last.recoveredState.entries.back().index == recovered + 1);
    }
}

TEST_CASE("a log goes on after a fetched snapshot whose new segment had no room")
{
    SnapshotMeta meta { .index = 20, .term = 1, .membership = {}, .size = 0, .checksum = 0 };
    const std::string bytes(1000, 'x');
    {
        MemoryDisk source(1);
        FolderSession session(&source);
        REQUIRE(resultOf([&] { return session.folder->storeSnapshot(&meta, bytes); }).done);
    }
    MemoryDisk disk(1);
    writeEntries(&disk, 10);
    {
        // The next segment starts only after the snapshot's index.
        FolderSession session(&disk, 1500);
        REQUIRE(session.write(11).done);
        REQUIRE(resultOf([&] { return session.folder->writeChunk({ meta, 0, bytes }); }).done);
        disk.setFull(true);
        CHECK(resultOf([&] { return session.folder->finishPartial(true); }).kind
              == FailureKind::Full);
        disk.setFull(false);
        // The next leader still has the entries, so that no snapshot is needed.
        for (LogIndex it = 12; it <= 40; ++it)
            REQUIRE(session.write(it).done);
    }
    disk.restart();
    const FolderSession session(&disk);
    INFO(session.result.detail);
    REQUIRE(session.result.done);
    CHECK(session.recoveredState.baseIndex + session.recoveredState.entries.size() == 40);
}

TEST_CASE("a folder goes on once a full disk that refused every call has room")
{
    const std::array refusals { FullDisk { .truncate = true }, FullDisk { .names = true },
                                FullDisk { .truncate = true, .names = true } };
    for (const FullDisk &refused : refusals) {
        for (std::uint64_t call = 1; call <= 30; ++call) {
            CAPTURE(call);
            MemoryDisk disk(call);
            LogIndex done = 0;
            {
                FolderSession session(&disk, 300);
                for (LogIndex it = 1; it <= 3; ++it)
                    REQUIRE(session.write(it).done);
                // The disk gets full within a write or between two.
                disk.fullAfter(call, refused);
                for (LogIndex it = 4; it <= 12; ++it) {
                    CallResult written = session.write(it);
                    for (int retry = 0; !written.done && retry < 3; ++retry) {
                        CHECK(written.kind == FailureKind::Full);
                        if (retry == 1)
                            disk.setFull(false);
                        written = session.write(it);
                    }
                    REQUIRE(written.done);
                }
                done = 12;
            }
            disk.setFull(false);
            disk.restart();
            checkNothingLost(&disk, done);
        }
    }
}
