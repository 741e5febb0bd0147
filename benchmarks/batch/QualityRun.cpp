#include "benchmarks/batch/QualityRun.h"

#include <cmath>

#include "benchmarks/batch/BaselineScheduler.h"

namespace acaciafork::batch::fakes {

namespace {

using namespace std::chrono_literals;

/// A family of jobs: what is declared, and what is true.
struct FamilySketch
{
    const char *name;
    Resources declared;
    Resources used;
    Duration medianWork;
    Duration declaredRunTime;
    std::uint32_t kind;
};

constexpr std::uint32_t quietKind = 0;
constexpr std::uint32_t noisyKind = 1;
constexpr std::uint32_t memoryKind = 2;
constexpr std::uint32_t serviceKind = 3;

const std::array families {
    FamilySketch { .name = "whole-building",
                   .declared = { .millicores = 8'000, .memoryMb = 30'000, .slots = 1 },
                   .used = { .millicores = 5'000, .memoryMb = 14'000, .slots = 1 },
                   .medianWork = 20min,
                   .declaredRunTime = 10min,
                   .kind = memoryKind },
    FamilySketch { .name = "manifold",
                   .declared = { .millicores = 12'000, .memoryMb = 16'000, .slots = 1 },
                   .used = { .millicores = 4'000, .memoryMb = 9'000, .slots = 1 },
                   .medianWork = 8min,
                   .declaredRunTime = 30min,
                   .kind = quietKind },
    FamilySketch { .name = "calibration",
                   .declared = { .millicores = 6'000, .memoryMb = 8'000, .slots = 1 },
                   .used = { .millicores = 6'000, .memoryMb = 6'000, .slots = 1 },
                   .medianWork = 12min,
                   .declaredRunTime = 12min,
                   .kind = noisyKind },
    FamilySketch { .name = "spacing",
                   .declared = { .millicores = 4'000, .memoryMb = 12'000, .slots = 1 },
                   .used = { .millicores = 4'500, .memoryMb = 10'000, .slots = 1 },
                   .medianWork = 15min,
                   .declaredRunTime = 5min,
                   .kind = quietKind },
};

/// Runs one site and keeps its figures.
class QualityRun
{
public:
    explicit QualityRun(const QualityOptions &options);
    QualityFigures run();

private:
    static Session::Options sessionOptions(const QualityOptions &options,
                                           BaselineScheduler **baseline);
    void addSite();
    void fillQueue();
    void submitOne(const FamilySketch &family, bool urgent);
    void sample();
    void faultWave();
    [[nodiscard]] double workDone() const;
    [[nodiscard]] double boundPerSecond() const;
    double uniform() { return static_cast<double>(m_random() >> 11U) * 0x1.0p-53; }

    QualityOptions m_options;
    BaselineScheduler *m_baseline = nullptr;
    Session m_session;
    RandomGenerator m_random;
    int m_jobs = 0;
    bool m_counting = false;
    std::vector<std::int32_t> m_slowdowns;
    std::unordered_map<std::string, Timestamp> m_urgentWaiting;
    std::vector<double> m_urgentWaits;
    /// Sums over submitted jobs, for the bound.
    double m_sumCoreTime = 0;
    double m_sumMemoryTime = 0;
    double m_sumSlotTime = 0;
};

constexpr std::uint32_t servicesCount = 2;
constexpr std::uint32_t replicasEach = 20;
constexpr Resources replicaSize { .millicores = 4'000, .memoryMb = 8'000, .slots = 1 };
/// Slots of a worker, so that cores are what is short.
constexpr Resources roomOfWorker { .millicores = 32'000, .memoryMb = 125'000, .slots = 8 };

QualityRun::QualityRun(const QualityOptions &options)
    : m_options(options)
    , m_session(sessionOptions(options, &m_baseline))
    , m_random(options.seed)
{ }

Session::Options QualityRun::sessionOptions(const QualityOptions &options,
                                            BaselineScheduler **baseline)
{
    Session::Options session;
    session.settings = options.settings;
    session.seed = options.seed;
    session.usageEvery = 2;
    session.usageNoisePermille = 100;
    if (options.faults)
        session.network = {
            .lossPermille = 50, .duplicatePermille = 50, .leastDelay = 1ms, .mostDelay = 500ms
        };
    if (options.baseline)
        session.makeDecider = [baseline] {
            auto it = std::make_unique<BaselineScheduler>(BaselineScheduler::Order::FirstFit);
            *baseline = it.get();
            return it;
        };
    return session;
}

void QualityRun::addSite()
{
    // Disturbance of a row by one neighbour of a column: quiet, noisy, memory, service.
    m_session.world.disturbancePermille = {
        { 2, 10, 5, 0 },
        { 2, 10, 5, 0 },
        { 2, 15, 20, 0 },
        { 4, 80, 15, 0 },
    };
    constexpr int workersPerRack = 11;
    for (int i = 0; i < m_options.workers; ++i) {
        const int rack = i / workersPerRack;
        m_session.addWorker({ .identity = { .worker = { "w" + std::to_string(i) },
                                            .rack = { "r" + std::to_string(rack) },
                                            .building = { "old" },
                                            .zone = { std::string(1, "abc"[rack % 3]) },
                                            .room = roomOfWorker } });
    }
    m_session.run(2s);
    for (std::uint32_t i = 0; i < servicesCount; ++i) {
        const std::string name = "service" + std::to_string(i);
        m_session.world.serviceTruths[name] = { .used = replicaSize,
                                                .kind = serviceKind,
                                                .service = true };
        m_session.putPlacement(
                { .service = { name },
                  .team = { "services" },
                  .replicas = replicasEach * static_cast<std::uint32_t>(m_options.workers) / 65,
                  .size = replicaSize });
    }
    m_session.run(5s);
}

void QualityRun::submitOne(const FamilySketch &family, bool urgent)
{
    // Run times spread around the median; a few run many times longer.
    constexpr double stragglerShare = 0.03;
    constexpr double stragglerFactor = 8;
    double factor = std::exp2(2 * uniform() - 1);
    if (!urgent && uniform() < stragglerShare)
        factor *= stragglerFactor;
    const auto work = Duration(
            static_cast<Duration::rep>(static_cast<double>(family.medianWork.count()) * factor));
    const TaskName name { "j" + std::to_string(m_jobs++) };
    m_session.world.truths[name] = { .work = work, .used = family.used, .kind = family.kind };
    const double seconds = std::chrono::duration<double>(work).count();
    m_sumCoreTime += seconds * family.used.millicores;
    m_sumMemoryTime += seconds * family.used.memoryMb;
    m_sumSlotTime += seconds;
    if (urgent && m_counting)
        m_urgentWaiting.emplace(name.value, m_session.now());
    m_session.submit({ .task = name,
                       .team = { urgent ? "site" : family.name },
                       .family = { family.name },
                       .declared = family.declared,
                       .declaredRunTime = family.declaredRunTime,
                       .urgent = urgent });
}

void QualityRun::fillQueue()
{
    // Enough always waits, of every family.
    constexpr std::size_t waitingPerWorker = 3;
    const std::size_t wanted =
            (waitingPerWorker + roomOfWorker.slots) * static_cast<std::size_t>(m_options.workers);
    while (m_session.state.taskCount() < wanted)
        submitOne(families[static_cast<std::size_t>(m_jobs) % families.size()], false);
}

void QualityRun::sample()
{
    if (!m_counting)
        return;
    for (const auto &worker : m_session.workers) {
        for (const FakeWorker::Held &it : worker->held()) {
            if (it.runs() && it.truth->service)
                m_slowdowns.push_back(worker->slowdownPermille(it));
        }
    }
}

void QualityRun::faultWave()
{
    const std::size_t worker = m_random() % m_session.workers.size();
    switch (m_random() % 5) {
    case 0:
        m_session.changeLeader(2s);
        break;
    case 1:
        m_session.restartWorker(worker);
        break;
    case 2:
        m_session.workers[worker]->setFailsEverything(true);
        break;
    case 3:
        m_session.workers[worker]->setFailsEverything(false);
        break;
    default:
        m_session.partition(worker, m_session.now() + std::chrono::seconds(m_random() % 120));
        break;
    }
}

double QualityRun::workDone() const
{
    double done = m_session.world.finishedWork;
    for (const auto &worker : m_session.workers) {
        for (const FakeWorker::Held &it : worker->held()) {
            if (it.runs() && !it.truth->service)
                done += static_cast<double>(it.done.count()) * it.truth->used.millicores;
        }
    }
    return done;
}

double QualityRun::boundPerSecond() const
{
    // Work of the mix per second when the scarcest amount is used up whole, by true sizes.
    const double workers = m_options.workers;
    const double replicas = servicesCount * replicasEach * workers / 65;
    const auto share = [&](double room, double service, double demand) {
        return (room * workers - service * replicas) / demand;
    };
    const double rate =
            std::min({ share(roomOfWorker.millicores, replicaSize.millicores, m_sumCoreTime),
                       share(roomOfWorker.memoryMb, replicaSize.memoryMb, m_sumMemoryTime),
                       share(roomOfWorker.slots, replicaSize.slots, m_sumSlotTime) });
    return rate * m_sumCoreTime;
}

QualityFigures QualityRun::run()
{
    addSite();
    fillQueue();
    m_session.every(5s, [this] { fillQueue(); });
    m_session.every(5s, [this] { sample(); });
    if (m_options.urgent)
        m_session.every(47s, [this] { submitOne(families[3], true); });

    // Waves of noise in the measurements: one minute in ten.
    m_session.every(10min, [this] { m_session.setUsageNoise(500); });
    m_session.run(1min);
    m_session.every(10min, [this] { m_session.setUsageNoise(100); });
    m_session.onCommand = [this](const Command &it) {
        const auto *start = std::get_if<StartTask>(&it);
        const auto found = start ? m_urgentWaiting.find(start->task.value) : m_urgentWaiting.end();
        if (found == m_urgentWaiting.end())
            return;
        m_urgentWaits.push_back(
                std::chrono::duration<double>(m_session.now() - found->second).count());
        m_urgentWaiting.erase(found);
    };
    m_session.run(m_options.settling);
    m_counting = true;
    const double before = workDone();
    const Timestamp begin = m_session.now();
    const std::uint64_t evictionsBefore =
            m_baseline ? m_baseline->evictions : m_session.scheduler().counters().evictions;
    while (m_session.now() < begin + m_options.length) {
        m_session.run(1min);
        if (m_options.faults)
            faultWave();
    }

    QualityFigures figures;
    const double seconds = std::chrono::duration<double>(m_session.now() - begin).count();
    constexpr double microseconds = 1e6;
    figures.throughput = (workDone() - before) / microseconds / seconds / boundPerSecond();
    std::sort(m_slowdowns.begin(), m_slowdowns.end());
    if (!m_slowdowns.empty())
        figures.serviceP99 = m_slowdowns[m_slowdowns.size() * 99 / 100] / 1000.0;
    figures.violations = m_session.world.audit.violations();
    figures.finished = m_session.state.finished;
    std::sort(m_urgentWaits.begin(), m_urgentWaits.end());
    figures.urgentJobs = m_urgentWaits.size() + m_urgentWaiting.size();
    if (!m_urgentWaits.empty())
        figures.urgentP99 = m_urgentWaits[m_urgentWaits.size() * 99 / 100];
    if (m_baseline != nullptr) {
        figures.evictions = m_baseline->evictions - evictionsBefore;
        return figures;
    }
    const SchedulerCounters &counters = m_session.scheduler().counters();
    figures.evictions = counters.evictions - (m_options.faults ? 0 : evictionsBefore);
    figures.preemptions = counters.preemptions;
    figures.throttles = counters.throttles;
    figures.quarantines = counters.quarantines;
    return figures;
}

} // namespace

QualityFigures runQuality(const QualityOptions &options)
{
    return QualityRun(options).run();
}

} // namespace acaciafork::batch::fakes
