#include "benchmarks/batch/ScaleRun.h"

#include "acaciafork/decisions/batch/Batch.h"
#include "benchmarks/batch/CountingAllocator.h"

namespace acaciafork::batch::fakes {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t batchPerWorker = 28;
constexpr std::uint32_t servicePerWorker = 6;
constexpr std::uint32_t replicasPerService = 100;
constexpr std::uint32_t workersPerRack = 40;
constexpr std::uint32_t zones = 11;
constexpr std::uint32_t teams = 50;
constexpr std::uint32_t familyCount = 200;

/// Drives one scheduler at once, with a commit for each proposal and whole reports.
class ScaleRun
{
public:
    explicit ScaleRun(std::uint32_t workers);
    ~ScaleRun();
    ScaleFigures run();

private:
    struct Running
    {
        TaskName task;
        LeaseEpoch epoch;
        bool service = false;
        bool finished = false;
    };
    struct Worker
    {
        WorkerReport identity;
        std::vector<Running> tasks;
    };

    void handle(const Event &event);
    void carryOut();
    void report(std::size_t worker);
    void reportAll();
    void submit(std::size_t count);
    void finishSome(std::size_t count);
    void settle(int ticks);

    std::vector<Worker> m_workers;
    std::unordered_map<WorkerName, std::size_t> m_index;
    Scheduler *m_scheduler = nullptr;
    std::vector<Command> m_commands;
    std::vector<Command> m_batch;
    Timestamp m_now = timestampFromMicroseconds(1'000'000'000);
    std::chrono::nanoseconds m_spent {};
    std::chrono::nanoseconds m_longest {};
    std::uint64_t m_jobs = 0;
    std::uint64_t m_started = 0;
    RandomGenerator m_random { 7 };
};

ScaleRun::ScaleRun(std::uint32_t workers)
{
    insideScheduler = true;
    m_scheduler = new Scheduler(SchedulerSettings {}); // NOLINT(cppcoreguidelines-owning-memory)
    insideScheduler = false;
    m_commands.reserve(1U << 16U);
    for (std::uint32_t i = 0; i < workers; ++i) {
        const std::uint32_t rack = i / workersPerRack;
        Worker worker;
        // Every eighth worker has accelerators, 11,000 in all at the full size.
        constexpr std::uint32_t acceleratorEvery = 6;
        constexpr std::int32_t acceleratorsEach = 8;
        worker.identity = { .worker = { "w" + std::to_string(i) },
                            .incarnation = { 1 },
                            .rack = { "r" + std::to_string(rack) },
                            .building = { "b" + std::to_string(rack % 2) },
                            .zone = { "z" + std::to_string(rack % zones) },
                            .room = { .millicores = 64'000,
                                      .memoryMb = 250'000,
                                      .accelerators =
                                              i % acceleratorEvery == 0 ? acceleratorsEach : 0,
                                      .slots = 40 } };
        m_index.emplace(worker.identity.worker, m_workers.size());
        m_workers.push_back(std::move(worker));
    }
}

ScaleRun::~ScaleRun()
{
    delete m_scheduler; // NOLINT(cppcoreguidelines-owning-memory)
    heldBytes = 0;
}

void ScaleRun::handle(const Event &event)
{
    // The commands' own memory is freed inside the count, so that only what stays is counted.
    m_commands.clear();
    const auto begin = std::chrono::steady_clock::now();
    insideScheduler = true;
    m_scheduler->handle(m_now, event, &m_commands);
    insideScheduler = false;
    const auto spent = std::chrono::steady_clock::now() - begin;
    m_spent += spent;
    m_longest = std::max(m_longest, std::chrono::nanoseconds(spent));
    m_batch.insert(m_batch.end(), m_commands.begin(), m_commands.end());
    insideScheduler = true;
    m_commands.clear();
    insideScheduler = false;
}

void ScaleRun::carryOut()
{
    while (!m_batch.empty()) {
        std::vector<Command> batch;
        batch.swap(m_batch);
        for (const Command &it : batch) {
            if (const auto *proposal = std::get_if<Propose>(&it)) {
                handle(CommandCommitted { .proposal = proposal->proposal });
            } else if (const auto *start = std::get_if<StartTask>(&it)) {
                ++m_started;
                m_workers[m_index.at(start->worker)].tasks.push_back(
                        { .task = start->task,
                          .epoch = start->epoch,
                          .service = start->task.value.front() == 's' });
            } else if (const auto *stop = std::get_if<StopTask>(&it)) {
                std::erase_if(m_workers[m_index.at(stop->worker)].tasks, [&](const Running &r) {
                    return r.task == stop->task && r.epoch == stop->epoch;
                });
            }
        }
    }
}

void ScaleRun::report(std::size_t worker)
{
    Worker &it = m_workers[worker];
    ++it.identity.seq;
    WorkerReported event { .report = it.identity };
    event.report.tasks.reserve(it.tasks.size());
    for (const Running &task : it.tasks)
        event.report.tasks.push_back(
                { .task = task.task,
                  .epoch = task.epoch,
                  .status = task.finished ? TaskStatus::Finished : TaskStatus::Running });
    handle(event);
}

void ScaleRun::reportAll()
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        report(i);
        carryOut();
    }
}

void ScaleRun::submit(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        const std::uint64_t n = m_jobs++;
        JobRecord job { .task = { "j" + std::to_string(n) },
                        .team = { "team" + std::to_string(n % teams) },
                        .family = { "family" + std::to_string(n % familyCount) },
                        .declared = { .millicores = 1'000 + static_cast<std::int32_t>(n % 7) * 200,
                                      .memoryMb = 2'000 + static_cast<std::int32_t>(n % 5) * 1'000,
                                      .accelerators = n % 29 == 0 ? 1 : 0,
                                      .slots = 1 },
                        .declaredRunTime = 10min };
        handle(TaskSubmitted { .job = std::move(job) });
    }
}

void ScaleRun::finishSome(std::size_t count)
{
    while (count > 0) {
        Worker &it = m_workers[m_random() % m_workers.size()];
        if (it.tasks.empty())
            continue;
        Running &task = it.tasks[m_random() % it.tasks.size()];
        if (task.service || task.finished)
            continue;
        task.finished = true;
        --count;
    }
}

void ScaleRun::settle(int ticks)
{
    for (int i = 0; i < ticks; ++i) {
        m_now += 100ms;
        handle(Tick {});
        carryOut();
    }
}

ScaleFigures ScaleRun::run()
{
    handle(StateRestored {});
    reportAll();
    const auto count = static_cast<std::uint32_t>(m_workers.size());
    const std::uint32_t services = std::max(1U, count * servicePerWorker / replicasPerService);
    for (std::uint32_t i = 0; i < services; ++i)
        handle(PlacementChanged {
                .placement = { .service = { "s" + std::to_string(i) },
                               .team = { "services" },
                               .replicas = std::min(replicasPerService, count * servicePerWorker),
                               .size = { .millicores = 2'000, .memoryMb = 4'000, .slots = 1 } } });
    settle(100);
    reportAll();

    // Fill the fleet, at most so much at once.
    const std::size_t wanted = std::size_t { count } * batchPerWorker;
    constexpr std::size_t chunk = 8'000;
    for (std::size_t n = 0; n < wanted; n += chunk) {
        submit(std::min(chunk, wanted - n));
        settle(10);
        reportAll();
    }

    // Steady: 8,000 starts a second at the full size, in proportion below it.
    ScaleFigures figures { .workers = count };
    const std::size_t perSecond = std::max<std::size_t>(10, chunk * count / 8'200);
    constexpr int seconds = 5;
    std::chrono::nanoseconds placing {};
    std::chrono::nanoseconds reporting {};
    const std::uint64_t before = m_started;
    m_longest = {};
    for (int i = 0; i < seconds; ++i) {
        finishSome(perSecond);
        m_spent = {};
        reportAll();
        reporting += m_spent;
        m_spent = {};
        submit(perSecond);
        settle(10);
        placing += m_spent;
    }
    constexpr double nanoseconds = 1e9;
    figures.placementsPerSecond = static_cast<double>(m_started - before)
            / (static_cast<double>(placing.count()) / nanoseconds);
    figures.reportSeconds = static_cast<double>(reporting.count()) / nanoseconds / seconds;
    figures.longestEventMs = static_cast<double>(m_longest.count()) / 1e6;
    figures.tasks = m_scheduler->summary().tasks;
    constexpr std::size_t waitingPart = 14'000;
    submit(waitingPart * count / 8'200);
    settle(2);
    figures.waiting = m_scheduler->summary().waiting;
    constexpr double megabyte = 1024.0 * 1024.0;
    figures.memoryMb = static_cast<double>(heldBytes) / megabyte;
    return figures;
}

} // namespace

ScaleFigures runScale(std::uint32_t workers)
{
    return ScaleRun(workers).run();
}

} // namespace acaciafork::batch::fakes
