#include "benchmarks/batch/MoveRun.h"

#include <cmath>

#include "benchmarks/batch/BaselineScheduler.h"

namespace acaciafork::batch::fakes {

namespace {

using namespace std::chrono_literals;

constexpr Resources roomOfWorker { .millicores = 32'000, .memoryMb = 125'000, .slots = 8 };
constexpr Resources jobSize { .millicores = 4'000, .memoryMb = 14'000, .slots = 1 };
constexpr std::uint32_t replicas = 24;
constexpr int workersPerRack = 11;
constexpr Duration longest = std::chrono::hours(8);

/// Runs one move and keeps its figures.
class MoveRun
{
public:
    explicit MoveRun(const MoveOptions &options);
    MoveFigures run();

private:
    static Session::Options sessionOptions(const MoveOptions &options,
                                           BaselineScheduler **baseline);
    int addBuilding(const std::string &name, int workers);
    void submitOne();
    void watch();
    [[nodiscard]] RackName rackOf(const std::string &worker) const;
    void fault();
    void watchStandstill(const Command &command);
    [[nodiscard]] Duration roomBound() const;
    void startMove(int racks);
    [[nodiscard]] bool moved() const;

    MoveOptions m_options;
    BaselineScheduler *m_baseline = nullptr;
    Session m_session;
    RandomGenerator m_random;
    int m_jobs = 0;
    MoveFigures m_figures;
    std::vector<std::pair<Timestamp, Timestamp>> m_projected;
    bool m_moving = false;
    std::unordered_map<TaskName, Timestamp> m_stoppedAt;
};

RackName MoveRun::rackOf(const std::string &worker) const
{
    for (const auto &it : m_session.workers) {
        if (it->identity().worker.value == worker)
            return it->identity().rack;
    }
    return {};
}

MoveRun::MoveRun(const MoveOptions &options)
    : m_options(options)
    , m_session(sessionOptions(options, &m_baseline))
    , m_random(options.seed)
{ }

Session::Options MoveRun::sessionOptions(const MoveOptions &options, BaselineScheduler **baseline)
{
    Session::Options session;
    session.settings = options.settings;
    session.seed = options.seed;
    if (options.faults)
        session.network = {
            .lossPermille = 50, .duplicatePermille = 50, .leastDelay = 1ms, .mostDelay = 500ms
        };
    if (options.baseline)
        session.makeDecider = [baseline] {
            auto it = std::make_unique<BaselineScheduler>(BaselineScheduler::Order::RacksInTurn);
            *baseline = it.get();
            return it;
        };
    return session;
}

int MoveRun::addBuilding(const std::string &name, int workers)
{
    for (int i = 0; i < workers; ++i) {
        const int rack = i / workersPerRack;
        m_session.addWorker({ .identity = { .worker = { name + "-w" + std::to_string(i) },
                                            .rack = { name + "-r" + std::to_string(rack) },
                                            .building = { name },
                                            .zone = { std::string(1, "abc"[rack % 3]) },
                                            .room = roomOfWorker } });
    }
    return (workers + workersPerRack - 1) / workersPerRack;
}

void MoveRun::submitOne()
{
    // From minutes to hours, most of them short.
    const double draw = static_cast<double>(m_random() >> 11U) * 0x1.0p-53;
    const auto work = std::chrono::seconds(static_cast<std::int64_t>(300 * std::exp2(5 * draw)));
    const TaskName name { "j" + std::to_string(m_jobs++) };
    m_session.world.truths[name] = { .work = work, .used = jobSize };
    m_session.submit({ .task = name,
                       .team = { "team" },
                       .family = { "building" },
                       .declared = jobSize,
                       .declaredRunTime = work });
}

Duration MoveRun::roomBound() const
{
    // The destination takes what fits beside the services; the rest has to run out, the shortest
    // first. Every job has the same size, so that this is exact.
    std::vector<Duration> left;
    for (const auto &worker : m_session.workers) {
        for (const FakeWorker::Held &it : worker->held()) {
            if (it.runs() && !it.truth->service)
                left.push_back(it.truth->work - it.done);
        }
    }
    std::sort(left.begin(), left.end());
    const std::size_t slots =
            static_cast<std::size_t>(m_options.toWorkers) * roomOfWorker.slots - replicas;
    const Duration room = left.size() > slots ? left[left.size() - slots - 1] : Duration::zero();
    return room + TaskTruth {}.checkpointTime;
}

void MoveRun::startMove(int racks)
{
    MoveRecord move { .from = { "old" },
                      .to = { "new" },
                      .state = MoveState::Running,
                      .deadline = m_session.now() + longest };
    for (int i = 0; i < racks; ++i)
        move.steps.push_back({ "old-r" + std::to_string(i) });
    if (!m_options.baseline)
        move.steps = m_session.scheduler().planMove(move.from, move.to).steps;
    m_session.putMove(move);
    m_moving = true;
}

bool MoveRun::moved() const
{
    return m_session.state.move().state == MoveState::Finished;
}

void MoveRun::watch()
{
    if (!m_moving || moved())
        return;
    m_figures.leastWarm = std::min(m_figures.leastWarm, m_session.warmReplicas()["service"]);
    if (m_options.baseline)
        return;
    const MoveView view = m_session.scheduler().move();
    m_projected.emplace_back(view.finish.early, view.finish.late);
}

void MoveRun::watchStandstill(const Command &command)
{
    if (const auto *proposal = std::get_if<Propose>(&command)) {
        if (const auto *stopped = std::get_if<RecordStopped>(&proposal->change))
            m_stoppedAt[stopped->task] = m_session.now();
    } else if (const auto *start = std::get_if<StartTask>(&command)) {
        if (const auto it = m_stoppedAt.find(start->task); it != m_stoppedAt.end()) {
            const Duration stood = m_session.now() - it->second;
            m_figures.standstillHours +=
                    std::chrono::duration<double, std::ratio<3600>>(stood).count();
            m_stoppedAt.erase(it);
        }
    }
}

void MoveRun::fault()
{
    MoveRecord move = m_session.state.move();
    const std::size_t worker = m_random() % m_session.workers.size();
    switch (m_random() % 4) {
    case 0:
        m_session.changeLeader(2s);
        break;
    case 1:
        move.state = MoveState::Paused;
        m_session.putMove(move);
        m_session.run(1min);
        move = m_session.state.move();
        move.state = MoveState::Running;
        m_session.putMove(move);
        break;
    case 2:
        m_session.restartWorker(worker);
        break;
    default:
        m_session.partition(worker, m_session.now() + 45s);
        break;
    }
}

MoveFigures MoveRun::run()
{
    const int racks = addBuilding("old", m_options.fromWorkers);
    m_session.run(2s);
    m_session.world.serviceTruths["service"] = { .used = jobSize, .service = true };
    m_session.putPlacement({ .service = { "service" },
                             .team = { "services" },
                             .replicas = replicas,
                             .size = jobSize });
    m_session.run(30s);
    const int jobs = m_options.fromWorkers * roomOfWorker.slots - static_cast<int>(replicas);
    for (int i = 0; i < jobs; ++i)
        submitOne();
    m_session.run(2min);
    addBuilding("new", m_options.toWorkers);
    m_session.run(5s);
    m_figures.wanted = replicas;
    m_figures.leastWarm = m_session.warmReplicas()["service"];
    m_figures.boundMinutes = std::chrono::duration<double, std::ratio<60>>(roomBound()).count();
    m_session.onCommand = [this](const Command &it) {
        const auto *proposal = std::get_if<Propose>(&it);
        watchStandstill(it);
        if (const auto *start = std::get_if<StartTask>(&it)) {
            const std::string &worker = start->worker.value;
            const auto known = m_session.state.racks().find(rackOf(worker));
            const bool gone = known != m_session.state.racks().end()
                    && known->second.state == RackState::Retired;
            m_figures.retiredInUse += gone ? 1 : 0;
        }
        const auto *retired = proposal ? std::get_if<RackRetired>(&proposal->change) : nullptr;
        if (retired == nullptr)
            return;
        for (const auto &worker : m_session.workers) {
            if (worker->identity().rack != retired->rack)
                continue;
            worker->advance(m_session.now());
            m_figures.retiredInUse += worker->runningCount() > 0 ? 1 : 0;
        }
    };
    const Timestamp begin = m_session.now();
    startMove(racks);
    m_session.every(10s, [this] { watch(); });
    if (m_options.arrivals)
        m_session.every(30s, [this] { submitOne(); });
    while (!moved() && m_session.now() < begin + longest) {
        m_session.run(m_options.faults ? 150s : 1s);
        if (m_options.faults && !moved())
            fault();
    }
    const Timestamp end = m_session.now();
    if (moved())
        m_figures.minutes = std::chrono::duration<double, std::ratio<60>>(end - begin).count();
    m_figures.evictions =
            m_baseline ? m_baseline->evictions : m_session.scheduler().counters().evictions;
    for (const auto &[early, late] : m_projected) {
        ++m_figures.projections;
        m_figures.projectionsHeld += early <= end && end <= late ? 1 : 0;
    }

    // Everything that ran is to come to its end, whatever happened.
    m_session.run(m_options.faults ? 12h : 4h);
    m_figures.finished = m_session.state.finished;
    m_figures.violations = m_session.world.audit.violations();
    return m_figures;
}

} // namespace

MoveFigures runMove(const MoveOptions &options)
{
    return MoveRun(options).run();
}

} // namespace acaciafork::batch::fakes
