#include "benchmarks/batch/fakes/Session.h"

namespace acaciafork::batch::fakes {

Session::Session(const Options &options)
    : m_options(options)
    , m_random(m_options.seed)
{
    startLeader();
}

std::int64_t Session::draw(std::int64_t least, std::int64_t most)
{
    // Not a distribution of the standard library, whose draws differ between implementations.
    return least
            + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(most - least + 1));
}

void Session::at(Timestamp when, std::function<void()> deliver)
{
    m_messages.push({ .at = when, .order = ++m_order, .deliver = std::move(deliver) });
}

void Session::run(Duration length)
{
    const Timestamp end = m_now + length;
    while (!m_messages.empty() && m_messages.top().at <= end) {
        const Message message = m_messages.top();
        m_messages.pop();
        m_now = message.at;
        message.deliver();
    }
    m_now = end;
}

void Session::every(Duration interval, std::function<void()> action)
{
    at(m_now + interval, [this, interval, action = std::move(action)] {
        action();
        every(interval, action);
    });
}

bool Session::cutOff(std::size_t worker) const
{
    const auto it = m_partitions.find(worker);
    return it != m_partitions.end() && m_now < it->second;
}

void Session::overNetwork(std::size_t worker, const std::function<void()> &deliver)
{
    const NetworkFaults &faults = m_options.network;
    constexpr std::int64_t whole = 1000;
    const bool repeated = draw(1, whole) <= faults.duplicatePermille;
    for (int copies = repeated ? 2 : 1; copies > 0; --copies) {
        if (cutOff(worker) || draw(1, whole) <= faults.lossPermille)
            continue;
        const Duration delay(draw(faults.leastDelay.count(), faults.mostDelay.count()));
        at(m_now + delay, [this, worker, deliver] {
            if (!cutOff(worker))
                deliver();
        });
    }
}

void Session::startLeader()
{
    m_leader = std::make_shared<Leader>();
    m_leader->scheduler = std::make_unique<Scheduler>(m_options.settings);
    handle(m_leader, StateRestored { .state = state.restored() });
    tick(m_leader);
}

void Session::tick(const std::shared_ptr<Leader> &leader)
{
    if (m_now >= leader->actsUntil)
        return;
    handle(leader, Tick {});
    at(m_now + m_options.tickInterval, [this, leader] { tick(leader); });
}

void Session::changeLeader(Duration gap)
{
    m_deposed = m_leader;
    m_deposed->inOffice = false;
    m_deposed->actsUntil = m_now + gap + m_options.settings.lease.deposedLeaderOverlap;
    m_leader = nullptr;
    at(m_now + gap, [this] { startLeader(); });
    run(gap);
}

void Session::handle(const std::shared_ptr<Leader> &leader, const Event &event)
{
    if (m_now >= leader->actsUntil)
        return;
    std::vector<Command> commands;
    const auto begin = std::chrono::steady_clock::now();
    leader->scheduler->handle(m_now, event, &commands);
    schedulerTime += std::chrono::steady_clock::now() - begin;
    ++schedulerEvents;
    if (tamper)
        tamper(&commands);
    for (const Command &it : commands)
        carryOut(leader, it);
}

void Session::carryOut(const std::shared_ptr<Leader> &leader, const Command &command)
{
    if (onCommand)
        onCommand(command);
    if (const auto *it = std::get_if<Propose>(&command))
        propose(leader, *it);
    else if (const auto *start = std::get_if<StartTask>(&command))
        call(leader, *start);
    else if (const auto *renew = std::get_if<RenewLease>(&command))
        call(leader, *renew);
    else if (const auto *throttle = std::get_if<ThrottleTask>(&command))
        call(leader, *throttle);
    else if (const auto *checkpoint = std::get_if<CheckpointTask>(&command))
        call(leader, *checkpoint);
    else if (const auto *stop = std::get_if<StopTask>(&command))
        call(leader, *stop);
    else if (const auto *leave = std::get_if<EndpointLeave>(&command))
        tellEndpoint(*leave);
}

void Session::propose(const std::shared_ptr<Leader> &leader, const Propose &command)
{
    // A change is applied in the order of proposals; one of a deposed leader never commits.
    at(m_now + m_options.commitDelay, [this, leader, command] {
        if (!leader->inOffice)
            return;
        const bool applied = state.apply(command.change);
        if (applied)
            auditOutcome(command.change);
        if (applied)
            handle(leader, CommandCommitted { .proposal = command.proposal });
        else
            handle(leader, CommandRejected { .proposal = command.proposal });
    });
}

void Session::auditOutcome(const DurableChange &change)
{
    TaskName task;
    if (const auto *finished = std::get_if<RecordFinished>(&change))
        task = finished->task;
    else if (const auto *ended = std::get_if<RecordCancelled>(&change))
        task = ended->task;
    else
        return;

    // A lease that ran out since the worker last looked has ended its run there.
    if (const auto it = world.runners.find(task); it != world.runners.end())
        it->second->advance(m_now);
    world.audit.onOutcome(task);
}

template <typename Call>
void Session::call(const std::shared_ptr<Leader> &leader, const Call &command)
{
    const auto found = m_workerIndex.find(command.worker);
    if (found == m_workerIndex.end())
        return;
    const std::size_t worker = found->second;
    overNetwork(worker, [this, leader, worker, command] {
        const bool accepted = workers[worker]->handle(m_now, command);
        const CallAnswer answer = accepted ? CallAnswer::Ok : CallAnswer::Failed;
        overNetwork(worker, [this, leader, answer, id = command.call] {
            handle(leader, WorkerCallAnswered { .call = id, .answer = answer });
        });
    });
}

void Session::tellEndpoint(const EndpointLeave &command)
{
    m_leaving.try_emplace(command.task, m_now + m_options.endpointDrain);
}

void Session::tell(const Event &event)
{
    if (m_leader)
        handle(m_leader, event);
}

void Session::addWorker(FakeWorker::Options worker)
{
    const std::size_t index = workers.size();
    worker.identity.incarnation = Incarnation { 1 };
    m_workerIndex.emplace(worker.identity.worker, index);
    workers.push_back(std::make_unique<FakeWorker>(std::move(worker), &world));
    const Duration offset(draw(0, m_options.reportInterval.count() - 1));
    at(m_now + offset, [this, index] { reportFrom(index); });
}

void Session::reportFrom(std::size_t worker)
{
    FakeWorker &it = *workers[worker];
    const auto report = std::make_shared<WorkerReported>(WorkerReported { it.report(m_now) });
    overNetwork(worker, [this, report] {
        // While two leaders stand, a worker may talk to either.
        const bool toDeposed = m_deposed && m_now < m_deposed->actsUntil && draw(0, 1) == 0;
        if (toDeposed)
            handle(m_deposed, *report);
        else
            tell(*report);
    });
    if (m_options.usageEvery > 0 && report->report.seq % m_options.usageEvery == 0) {
        const auto usage = std::make_shared<UsageReported>(UsageReported { it.usage() });
        const Duration lag(draw(0, m_options.usageLag.count()));
        at(m_now + lag,
           [this, worker, usage] { overNetwork(worker, [this, usage] { tell(*usage); }); });
    }
    endpointSigns(worker);
    at(m_now + m_options.reportInterval, [this, worker] { reportFrom(worker); });
}

void Session::endpointSigns(std::size_t worker)
{
    for (const FakeWorker::Held &it : workers[worker]->held()) {
        if (!it.runs() || !it.truth->service)
            continue;
        const auto leaving = m_leaving.find(it.report.task);
        if (leaving == m_leaving.end() && m_now - it.startedAt >= m_options.warmUp)
            tell(EndpointWarm { .task = it.report.task });
        if (leaving == m_leaving.end() || m_now < leaving->second)
            continue;
        tell(EndpointDrained { .task = it.report.task });
    }

    // Once the task has ended, its name may be used again.
    std::erase_if(m_leaving, [&](const auto &it) {
        const TaskRecord *task = state.task(it.first);
        return task == nullptr || !task->leased;
    });
}

std::map<std::string, std::uint32_t> Session::warmReplicas() const
{
    std::map<std::string, std::uint32_t> warm;
    for (const auto &worker : workers) {
        for (const FakeWorker::Held &it : worker->held()) {
            const bool counts = it.runs() && it.truth->service
                    && !m_leaving.contains(it.report.task)
                    && m_now - it.startedAt >= m_options.warmUp;
            if (counts)
                ++warm[it.report.task.value.substr(0, it.report.task.value.find('#'))];
        }
    }
    return warm;
}

void Session::restartWorker(std::size_t worker)
{
    workers[worker]->restart(m_now);
}

void Session::submit(const JobRecord &job)
{
    if (!state.submit(job))
        return;
    submittedAt.emplace(job.task, m_now);
    tell(TaskSubmitted { .job = job });
}

void Session::cancel(const TaskName &task)
{
    if (state.cancel(task))
        tell(TaskCancelled { .task = task });
}

void Session::putRack(const RackRecord &rack)
{
    state.putRack(rack);
    tell(RackChanged { .rack = rack });
}

void Session::putPlacement(const PlacementRecord &placement)
{
    state.putPlacement(placement);
    tell(PlacementChanged { .placement = placement });
}

void Session::putTeam(const TeamRecord &team)
{
    state.putTeam(team);
    tell(TeamChanged { .team = team });
}

void Session::putMove(const MoveRecord &move)
{
    state.putMove(move);
    tell(MoveChanged { .move = move });
}

} // namespace acaciafork::batch::fakes
