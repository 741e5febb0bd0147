#include <doctest/doctest.h>

#include <poll.h>

#include <future>

#include "acaciafork/consensus/Consensus.h"

using namespace acaciafork;
using namespace acaciafork::consensus;

namespace {

/// File whose sync ends when the test says so.
class HeldFile : public StorageFile
{
public:
    Result<void> append(std::string_view bytes) override
    {
        data.append(bytes);
        return {};
    }
    Result<void> sync() override
    {
        released.get_future().wait();
        return {};
    }
    Result<void> truncate(std::uint64_t size) override
    {
        data.resize(size);
        return {};
    }

    std::string data;
    std::promise<void> released;
};

bool isReadable(int fd, int timeoutMs)
{
    pollfd state { .fd = fd, .events = POLLIN, .revents = 0 };
    return ::poll(&state, 1, timeoutMs) == 1;
}

} // namespace

TEST_CASE("whoever writes a group does not wait for the disk")
{
    GroupWriterThread writer;
    for (int it = 0; it != 3; ++it) {
        const auto file = std::make_shared<HeldFile>();
        writer.write(file, "group");
        CHECK_FALSE(writer.takeOutcome());
        CHECK_FALSE(isReadable(writer.descriptor(), 0));
        file->released.set_value();
        REQUIRE(isReadable(writer.descriptor(), 60'000));
        CHECK(writer.takeOutcome() == GroupOutcome::Synced);
        CHECK_FALSE(isReadable(writer.descriptor(), 0));
        CHECK(file->data == "group");
        CHECK_FALSE(writer.takeOutcome());
    }
}

TEST_CASE("a writer that ends lets the write in progress end")
{
    const auto file = std::make_shared<HeldFile>();
    {
        GroupWriterThread writer;
        writer.write(file, "group");
        file->released.set_value();
    }
    CHECK(file->data == "group");
    CHECK(file.use_count() == 1);
}
