#include "tests/control/FakeWorker.h"

namespace acaciafork::control {

FakeWorker::FakeWorker(std::string aName, std::uint64_t aBorn, double rate, const jobs::Size &size)
    : name(std::move(aName))
    , address(name)
    , born(aBorn)
    , clockRate(rate)
    , capacity(size)
{ }

std::int64_t FakeWorker::clockMs(Timestamp now) const
{
    constexpr std::int64_t offsetMs = 5000;
    return offsetMs
            + static_cast<std::int64_t>(static_cast<double>((now - bornAt).count()) * clockRate
                                        / 1000);
}

jobs::WorkerReport FakeWorker::report(Timestamp now)
{
    return { .life = { .name = { name },
                       .born = { born },
                       .pool = pool,
                       .address = address,
                       .zone = zone,
                       .labels = labels,
                       .rack = { labels.empty() ? std::string() : labels.back() },
                       .capacity = capacity,
                       .draining = draining },
             .sequence = ++sequence,
             .clockMs = clockMs(now) };
}

void FakeWorker::end(const jobs::TaskKey &task, jobs::RunEnd how)
{
    const auto it = running.find(task);
    ended.push_back({ .number = ++lastEnd,
                      .run = { .task = task, .run = it->second.run },
                      .end = how,
                      .checkpoint = it->second.checkpoint });
    if (how == jobs::RunEnd::Done)
        done.push_back(task);
    running.erase(it);
}

void FakeWorker::advance(Timestamp now)
{
    std::vector<jobs::TaskKey> over;
    for (const auto &[task, it] : running) {
        const bool endsByItself = !it.lasts && !it.isMember;
        if ((endsByItself || it.stopping) && now >= it.endsAt)
            over.push_back(task);
    }
    for (const jobs::TaskKey &it : over) {
        const Running &run = running.at(it);
        if (run.stopping)
            end(it, jobs::RunEnd::Stopped);
        else
            end(it, run.fails ? jobs::RunEnd::Failed : jobs::RunEnd::Done);
    }
    if (hasLease && clockMs(now) > leaseEndMs) {
        lapsedAfterEnd = lastEnd;
        while (!running.empty())
            end(running.begin()->first, jobs::RunEnd::Lapsed);
        hasLease = false;
    }
}

} // namespace acaciafork::control
