#include "tests/control/JobWorld.h"

#include <algorithm>
#include <array>

#include <spdlog/fmt/fmt.h>

namespace acaciafork::control {
namespace {

using namespace std::chrono_literals;

constexpr ProcessId leaderProcess { 1 };
/// The clocks of the leader's machine and of the relays' differ by this.
constexpr std::int64_t clockOffsetUs = 123'456'789;
constexpr Duration step = 2ms;
constexpr Duration commitDelay = 6ms;
constexpr Duration beatInterval = 1100ms;
constexpr Duration orderTimeout = 800ms;
/// When the connection to an address that doesn't answer is tried again.
constexpr std::array<Duration, 3> connectRetries { 1s, 3s, 7s };
/// A member of a gang waits this long for the others.
constexpr Duration gangTimeout = 3s;
constexpr Duration decisionTime = 20ms;
constexpr Duration decisionTimePerWorker = 5ms;
constexpr Duration permitValidity = 2s;
/// A stop takes this long; a run that stops is on no list meanwhile.
constexpr Duration stopLength = 390ms;
/// Starts may reckon with a capacity that has shrunk for the time in which a worker counts as in
/// touch and one interval of its reports more.
constexpr Duration resizeGrace = 3000ms + beatInterval;
/// After this time from the acknowledgement of an evacuation nothing starts in the zone.
constexpr Duration evacuationTime = 5s;
/// The longest that a worker holds a lease for, whatever it is told.
constexpr std::int64_t mostHoldMs = 6000;

/// True for what a leader records of its own accord.
bool isRecord(const wire::Command &command)
{
    return command.has_record_task_ends() || command.has_record_crash_exposures()
            || command.has_change_workers() || command.has_begin_tenure();
}

} // namespace

wire::JobSpec simpleJob(std::uint32_t count, std::uint64_t millicores, std::uint32_t estimateMs)
{
    wire::JobSpec spec;
    spec.set_payload("payload");
    wire::JobStep *only = spec.add_steps();
    only->set_count(count);
    only->mutable_size()->set_millicores(millicores);
    only->mutable_size()->set_memory_mb(100);
    only->set_estimate_ms(estimateMs);
    return spec;
}

// ---- the world

JobWorld::JobWorld(const WorldOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_now(timestampFromMicroseconds(1'000'000))
    , m_machine(CellId { 1 })
{
    for (std::size_t it = 0; it < options.workers; ++it) {
        const double rate = it % 2 == 0 ? 1.0 : options.slowClock;
        m_workers.push_back(
                std::make_unique<FakeWorker>("w" + std::to_string(it), 1000 + it, rate,
                                             jobs::Size { .millicores = options.workerMillicores,
                                                          .memoryMb = options.workerMemoryMb }));
        m_workers.back()->bornAt = m_now;
        if (options.zones > 0)
            m_workers.back()->zone = "z" + std::to_string(it % options.zones);
        m_workers.back()->labels = { it % 2 == 0 ? "even" : "odd",
                                     "rack-" + std::to_string(it / 2) };
    }
    m_relays.resize(options.relays);
    for (std::size_t it = 0; it < options.relays; ++it) {
        m_relays[it].process = { static_cast<std::uint32_t>(it + 2) };
        newRelay(&m_relays[it]);
    }
    newDriver();
    m_driver->start(moment());
    configure([this](wire::QueueConfig *config) {
        wire::Queue queue;
        queue.set_name("queue");
        queue.set_host("host");
        queue.set_path_prefix("/q/");
        queue.set_pool("pool");
        queue.set_most_attempts(m_options.attempts);
        queue.set_stretch(2);
        queue.set_objective_ms(1000);
        *config->add_queues() = queue;
        wire::Queue *advised = config->add_queues();
        *advised = queue;
        advised->set_name("advised");
        advised->set_path_prefix("/a/");
        advised->mutable_advice()->set_decision_ms(decisionTime / 1ms);
        advised->mutable_advice()->set_per_worker_ms(decisionTimePerWorker / 1ms);
        advised->mutable_advice()->set_validity_ms(permitValidity / 1ms);
        wire::WorkerPool *pool = config->add_pools();
        pool->set_name("pool");
        pool->set_enforces_capacity(m_options.guardsCapacity);
    });
    run(50ms);
}

JobWorld::~JobWorld() = default;

void JobWorld::newDriver()
{
    ++m_generation;
    const std::int64_t skew = m_options.clockSkew.count();
    if (skew > 0)
        m_skewUs = std::uniform_int_distribution<std::int64_t>(-skew, skew)(m_random);
    m_driver = std::make_unique<JobDriver>(
            m_options.scheduler, &m_machine,
            [this](Moment when, wire::Command command, ProposalTable::Handler handler) {
                return propose(when, std::move(command), std::move(handler));
            },
            &m_counters);
    m_carrier = std::make_unique<Carrier>(this, nullptr);
    m_router = std::make_unique<OrderRouter>(
            jobs::RelaySettings { .fromWorkers = m_options.relays > 0 ? 1U : 0U }, leaderProcess,
            "zone",
            [this](ProcessId relay, wire::Envelope *envelope) {
                const auto node = std::ranges::find(m_relays, relay, &RelayNode::process);
                sendBetweenMembers([this, node, orders = envelope->worker_orders()] {
                    const auto arrive = [this, node, orders] {
                        node->relay->ordersArrived(leaderProcess, orders,
                                                   m_now.time_since_epoch() / 1us + clockOffsetUs);
                    };
                    if (node->isDeaf)
                        return;
                    if (node->isFrozen)
                        node->inbox.emplace_back(arrive);
                    else if (node->isUp)
                        arrive();
                });
            },
            [this] { return m_now.time_since_epoch() / 1us; }, &m_counters);
    m_carrier->answers = m_router.get();
    m_router->setLocal(m_carrier.get());
    m_router->setDriver(m_driver.get());
    m_driver->setOrders(m_router.get());
    m_driver->setAdvisor(this);
}

void JobWorld::newRelay(RelayNode *node)
{
    OrderRelaySettings settings;
    if (m_options.relaysTakeLateOrders)
        settings.maxDelay = 1h;
    node->relay = std::make_unique<OrderRelay>(
            settings,
            [this, process = node->process](ProcessId, wire::Envelope *envelope) {
                sendBetweenMembers([this, process, answers = envelope->worker_answers()] {
                    if (m_driver)
                        m_router->answersArrived(moment(), process, answers);
                });
            },
            &m_counters);
    node->carrier = std::make_unique<Carrier>(this, node->relay.get());
    node->relay->setOrders(node->carrier.get());
}

void JobWorld::sendBetweenMembers(const std::function<void()> &arrive)
{
    const WorldFaults &faults = m_options.faults;
    if (chance(faults.relayMessageLost))
        return;
    Duration delay = latency();
    if (chance(faults.relayMessageSlow))
        delay += Duration(std::uniform_int_distribution<std::int64_t>(0, 2'000'000)(m_random));
    at(m_now + delay, arrive);
    if (chance(faults.relayMessageDoubled))
        at(m_now + delay + latency(), arrive);
}

void JobWorld::tickRelays()
{
    std::vector<RelayMember> members;
    for (RelayNode &it : m_relays) {
        if (it.isUp && !it.isFrozen)
            it.relay->flush();
        if (it.isUp && !it.isFrozen)
            it.heardAt = m_now;
        members.push_back({ .process = it.process, .zone = "zone", .heardAt = it.heardAt });
    }
    if (m_driver && m_driver->isActive()) {
        m_router->update(moment(), m_driver->tenure(), members, m_workers.size());
        m_router->expire(moment());
    }
}

void JobWorld::crashRelay(std::size_t relay)
{
    RelayNode &node = m_relays[relay];
    node.isUp = false;
    node.isFrozen = false;
    node.inbox.clear();
    ++node.carrier->life;
}

void JobWorld::reviveRelay(std::size_t relay)
{
    RelayNode &node = m_relays[relay];
    if (node.isUp)
        return;
    // Orders on their way end with the old process, which stays so that they find it.
    m_deadRelays.push_back({ std::move(node.relay), std::move(node.carrier) });
    newRelay(&node);
    node.isUp = true;
}

void JobWorld::freezeRelay(std::size_t relay, bool isFrozen)
{
    RelayNode &node = m_relays[relay];
    node.isFrozen = isFrozen && node.isUp;
    if (node.isFrozen)
        return;
    std::vector<std::function<void()>> inbox;
    inbox.swap(node.inbox);
    for (const auto &it : inbox)
        it();
}

std::int64_t JobWorld::relayed()
{
    return m_counters.counter("worker_orders_relayed_total").value;
}

bool JobWorld::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Duration JobWorld::latency()
{
    return Duration(std::uniform_int_distribution<std::int64_t>(300, 3000)(m_random));
}

void JobWorld::at(Timestamp when, std::function<void()> fn)
{
    m_events.emplace(when, std::move(fn));
}

bool JobWorld::propose(Moment when, wire::Command command, ProposalTable::Handler handler)
{
    if (m_refusesProposals)
        return false;
    command.set_cell(1);
    command.set_time_us(when.wallMicroseconds);
    m_log.push_back({ m_now + commitDelay, std::move(command), std::move(handler) });
    return true;
}

void JobWorld::commitDue(bool all)
{
    while (!m_log.empty() && (all || m_log.front().commitAt <= m_now)) {
        const Proposal proposal = std::move(m_log.front());
        m_log.erase(m_log.begin());
        const double unknown = m_options.faults.recordUnknown;
        const bool isUnknown = unknown > 0 && isRecord(proposal.command) && chance(unknown);
        if (isUnknown && chance(0.5)) {
            proposal.handler(moment(), nullptr);
            continue;
        }
        const state::ApplyResult result =
                m_machine.apply(++m_index, state::bytesOf(state::encodeCommand(proposal.command)));
        proposal.handler(moment(), isUnknown ? nullptr : &result);
        if (m_driver)
            m_driver->applied(moment(), proposal.command, result);
    }
}

void JobWorld::run(Duration length)
{
    const Timestamp end = m_now + length;
    while (m_now < end) {
        m_now += step;
        m_wallUs += step.count();
        for (const auto &it : m_workers) {
            if (it->isUp)
                it->advance(m_now);
            m_done.insert(it->done.begin(), it->done.end());
            it->done.clear();
        }
        advanceGangs();
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto fn = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            fn();
        }
        beat();
        if (!m_holdsCommits)
            commitDue(false);
        tickRelays();
        if (m_driver) {
            m_driver->tick(moment());
            m_router->beginTurn(moment());
            m_driver->carryOut(moment());
            m_router->flush();
            checkOrders();
            checkTasks();
            checkMemory();
        }
    }
}

void JobWorld::beat()
{
    if (m_now < m_nextBeat || !m_driver)
        return;
    m_nextBeat = m_now + beatInterval;
    for (const auto &it : m_workers) {
        if (!it->isUp || it->isCut || it->isMute)
            continue;
        FakeWorker *worker = it.get();
        const bool draining = worker->draining;
        m_driver->workerReported(moment(), worker->report(m_now),
                                 [this, worker, draining](const peers::ApiAnswer &answer) {
                                     if (draining && answer.status == 200)
                                         worker->drainAckedAt =
                                                 std::min(worker->drainAckedAt, m_now);
                                 });
    }
}

// ---- clients

void JobWorld::submit(std::uint64_t id, const wire::JobSpec &spec, std::uint32_t attempts,
                      std::string_view path)
{
    if (path == "/a/")
        m_advised.insert(id);
    m_specs[id] = spec;
    m_attempts[id] = attempts;
    m_paths[id] = path;
    wire::JobCall call;
    call.set_action(wire::JobCall::SUBMIT);
    call.set_host("host");
    call.set_path(fmt::format("{}{:016x}", path, id));
    call.set_spec(spec.SerializeAsString());
    if (m_driver)
        m_driver->call(moment(), call, [this, id](const peers::ApiAnswer &answer) {
            m_status[id] = answer.status;
        });
}

void JobWorld::cancel(std::uint64_t id)
{
    wire::JobCall call;
    call.set_action(wire::JobCall::CANCEL);
    call.set_host("host");
    call.set_path(fmt::format("/q/{:016x}", id));
    if (m_driver)
        m_driver->call(moment(), call, [this, id](const peers::ApiAnswer &answer) {
            if (answer.status == 200)
                m_cancelledAt.try_emplace(id, m_now);
        });
}

void JobWorld::ask(std::uint64_t id, Duration wait, const JobDriver::Reply &reply)
{
    wire::JobCall call;
    call.set_action(wire::JobCall::STATE);
    call.set_host("host");
    call.set_path(fmt::format("/q/{:016x}", id));
    call.set_wait_us(wait.count());
    if (m_driver)
        m_driver->call(moment(), call, reply);
}

void JobWorld::configure(const std::function<void(wire::QueueConfig *)> &change)
{
    change(&m_queues);
    m_queues.set_version(m_queues.version() + 1);
    for (const wire::Queue &it : m_queues.queues())
        m_pools[it.path_prefix()].insert(it.pool());
    wire::Command command;
    *command.mutable_propose_queues()->mutable_config() = m_queues;
    propose(moment(), command, [](Moment, const state::ApplyResult *) {});
}

void JobWorld::moveQueue(std::string_view path, const std::string &pool)
{
    configure([&](wire::QueueConfig *config) {
        for (wire::Queue &it : *config->mutable_queues()) {
            if (it.path_prefix() == path)
                it.set_pool(pool);
        }
        if (std::ranges::find(config->pools(), pool, &wire::WorkerPool::name)
            == config->pools().end()) {
            config->add_pools()->set_name(pool);
            config->mutable_pools()->rbegin()->set_enforces_capacity(m_options.guardsCapacity);
        }
    });
}

std::optional<std::uint32_t> JobWorld::pending(std::string_view path)
{
    wire::JobCall call;
    call.set_action(wire::JobCall::STATE);
    call.set_host("host");
    call.set_path(std::string(path));
    std::optional<std::uint32_t> shown;
    if (m_driver)
        m_driver->call(moment(), call, [&](const peers::ApiAnswer &answer) {
            constexpr std::string_view before = R"({"pending":)";
            if (answer.status == 200 && answer.body.starts_with(before))
                shown = static_cast<std::uint32_t>(std::stoul(answer.body.substr(before.size())));
        });
    return shown;
}

void JobWorld::checkPool(const FakeWorker &worker, const jobs::TaskKey &task)
{
    if (!m_pools.at(m_paths.at(task.job.value)).contains(worker.pool))
        breach("start of " + nameOf(task) + " on " + worker.name + " of pool " + worker.pool);
}

void JobWorld::changeZone(const std::string &zone, bool closed)
{
    m_zoneStatus[zone] = 0;
    // From the moment that an evacuation is taken back, starts are allowed.
    if (!closed)
        m_evacuatedAt.erase(zone);
    if (!m_driver)
        return;
    m_driver->changeZone(moment(), zone, closed,
                         [this, zone, closed](const peers::ApiAnswer &answer) {
                             m_zoneStatus[zone] = answer.status;
                             if (closed && answer.status == 200)
                                 m_evacuatedAt.try_emplace(zone, m_now);
                         });
}

int JobWorld::zoneStatus(const std::string &zone) const
{
    const auto it = m_zoneStatus.find(zone);
    return it == m_zoneStatus.end() ? 0 : it->second;
}

void JobWorld::checkZone(const FakeWorker &worker, const jobs::TaskKey &task)
{
    const auto it = m_evacuatedAt.find(worker.zone);
    if (it != m_evacuatedAt.end() && m_now - it->second > evacuationTime)
        breach("start of " + nameOf(task) + " on " + worker.name + " in a zone evacuated for "
               + std::to_string((m_now - it->second) / 1ms) + " ms");
}

bool JobWorld::hasIdleWorkers() const
{
    return std::ranges::all_of(m_workers, [](const auto &it) { return it->running.empty(); });
}

wire::JobState JobWorld::stateOf(std::uint64_t id) const
{
    return m_machine.jobs().stateOf(id).value_or(wire::JOB_STATE_ACTIVE);
}

int JobWorld::statusOf(std::uint64_t id) const
{
    const auto it = m_status.find(id);
    return it == m_status.end() ? 0 : it->second;
}

int JobWorld::doneEnds(const jobs::TaskKey &task) const
{
    const auto it = m_doneEnds.find(task);
    return it == m_doneEnds.end() ? 0 : it->second;
}

// ---- faults

void JobWorld::changeLeader(Duration pause)
{
    m_driver->stop();
    ++m_carrier->life;
    m_deadLeaders.push_back({ std::move(m_driver), std::move(m_router), std::move(m_carrier) });
    ++m_generation;
    // The last proposals reach a majority or not; those before a lost one are not lost.
    while (!m_log.empty() && chance(0.5))
        m_log.pop_back();
    for (Proposal &it : m_log)
        it.handler = [](Moment, const state::ApplyResult *) {};
    commitDue(true);
    const Timestamp back = m_now + pause;
    at(back, [this] {
        newDriver();
        m_driver->start(moment());
        m_nextBeat = m_now;
    });
}

void JobWorld::crash(std::size_t i)
{
    FakeWorker &worker = *m_workers[i];
    worker.isUp = false;
    for (const auto &[task, run] : worker.running)
        ++m_crashesUnder[task];
    worker.running.clear();
}

void JobWorld::resize(std::size_t i, const jobs::Size &capacity)
{
    FakeWorker &worker = *m_workers[i];
    if (worker.capacity == capacity)
        return;
    worker.formerCapacity = worker.capacity;
    worker.formerUntil = m_now + resizeGrace;
    worker.capacity = capacity;
}

void JobWorld::makeDeadly(const jobs::TaskKey &task, DeadlyTask how)
{
    m_deadly[task] = how;
}

int JobWorld::crashesUnder(const jobs::TaskKey &task) const
{
    const auto it = m_crashesUnder.find(task);
    return it == m_crashesUnder.end() ? 0 : it->second;
}

void JobWorld::crashLater(const FakeWorker &worker, const DeadlyTask &how)
{
    const auto indexOf = [this](const WorkerName &name, std::uint64_t born) {
        const auto it = std::ranges::find_if(m_workers, [&](const auto &other) {
            return other->name == name.value && other->born == born;
        });
        return static_cast<std::size_t>(it - m_workers.begin());
    };
    const WorkerName name { worker.name };
    at(m_now + how.delay, [this, indexOf, name, how, born = worker.born] {
        const std::size_t it = indexOf(name, born);
        if (it >= m_workers.size() || !m_workers[it]->isUp)
            return;
        crash(it);
        m_workers[it]->refuses = !how.isDark;
    });
    at(m_now + how.delay + how.downTime, [this, indexOf, name, how, born = worker.born] {
        const std::size_t it = indexOf(name, born);
        if (it < m_workers.size() && !m_workers[it]->isUp)
            revive(it, how.renames ? "renamed" + std::to_string(++m_lastRename) : "");
    });
}

void JobWorld::revive(std::size_t i, const std::string &name)
{
    FakeWorker &old = *m_workers[i];
    auto worker = std::make_unique<FakeWorker>(name.empty() ? old.name : name, old.born + 100'000,
                                               old.clockRate, old.capacity);
    worker->address = old.address;
    worker->zone = old.zone;
    worker->pool = old.pool;
    worker->bornAt = m_now;
    worker->labels = old.labels;
    m_workers[i] = std::move(worker);
}

void JobWorld::drain(std::size_t i)
{
    m_workers[i]->draining = true;
    m_nextBeat = m_now;
}

void JobWorld::leave(std::size_t i)
{
    FakeWorker &worker = *m_workers[i];
    m_driver->workerLeft(moment(), { worker.name }, { worker.born },
                         [this, i, born = worker.born](const peers::ApiAnswer &) {
                             if (m_workers[i]->born == born)
                                 crash(i);
                         });
}

void JobWorld::leaveUnanswered(std::size_t i, Duration length)
{
    FakeWorker &worker = *m_workers[i];
    worker.isMute = true;
    m_driver->workerLeft(moment(), { worker.name }, { worker.born }, [](const auto &) {});
    at(m_now + length, [this, i, born = worker.born] {
        if (m_workers[i]->born == born && m_workers[i]->isUp)
            crash(i);
    });
}

// ---- orders

FakeWorker *JobWorld::find(const WorkerName &name)
{
    const auto it = std::ranges::find_if(
            m_workers, [&](const auto &worker) { return worker->name == name.value; });
    return it == m_workers.end() ? nullptr : it->get();
}

void JobWorld::order(Carrier *carrier, const jobs::OrderTarget &target, Duration timeout,
                     const std::function<jobs::OrderOutcome(FakeWorker &)> &act,
                     const std::function<void(jobs::OrderOutcome)> &answer)
{
    const auto reply = [this, carrier, life = carrier->life, answer](Timestamp when,
                                                                     jobs::OrderOutcome outcome) {
        at(when, [carrier, life, answer, outcome] {
            if (life == carrier->life)
                answer(outcome);
        });
    };
    const WorldFaults &faults = m_options.faults;
    const bool isLost = chance(faults.orderLost);
    const bool isLate = chance(faults.carriedOutLate);
    const bool answerLost = isLate || chance(faults.answerLost);
    Timestamp arrival = m_now + latency();
    const std::int64_t leastDelayUs = m_options.lateOrdersOutliveWorkers ? 0 : 2'000'000;
    if (isLate)
        arrival += Duration(
                std::uniform_int_distribution<std::int64_t>(leastDelayUs, 12'000'000)(m_random));
    if (isLost || answerLost)
        reply(m_now + timeout, jobs::OrderOutcome::Unanswered);
    if (isLost)
        return;
    const Timestamp deadline = m_now + timeout;
    // An order that waits inside a worker ends with that life of it.
    const FakeWorker *sentTo = find(target.name);
    const std::uint64_t life = sentTo == nullptr ? 0 : sentTo->born;
    at(arrival, [this, target, act, reply, answerLost, deadline, isLate, life] {
        FakeWorker *worker = find(target.name);
        const bool isReplaced = std::ranges::any_of(m_workers, [&](const auto &it) {
            return it->address == target.address && it->name != target.name.value && it->isUp
                    && !it->isCut;
        });
        if (worker == nullptr && isReplaced && !answerLost) {
            reply(m_now + latency(), jobs::OrderOutcome::OtherLife);
            return;
        }
        if (worker != nullptr && !worker->isUp && !worker->isCut && worker->refuses
            && !answerLost) {
            reply(m_now + latency(), jobs::OrderOutcome::NotSent);
            return;
        }
        const bool outlives = isLate && m_options.lateOrdersOutliveWorkers;
        const bool isOtherLife = isLate && !outlives && worker != nullptr && worker->born != life;
        if (worker != nullptr && !worker->isUp && !isLate && m_options.lateOrdersOutliveWorkers)
            retryConnection(target.name, act);
        if (worker == nullptr || !worker->isUp || isOtherLife
            || ((worker->isDeaf || worker->isCut) && !outlives)) {
            if (!answerLost)
                reply(deadline, jobs::OrderOutcome::Unanswered);
            return;
        }
        const double unhealthy = m_options.faults.unhealthy;
        const jobs::OrderOutcome outcome =
                unhealthy > 0 && chance(unhealthy) ? jobs::OrderOutcome::NotHealthy : act(*worker);
        if (!answerLost)
            reply(m_now + latency(), outcome);
    });
}

void JobWorld::retryConnection(const WorkerName &name,
                               const std::function<jobs::OrderOutcome(FakeWorker &)> &act)
{
    const auto isCarriedOut = std::make_shared<bool>(false);
    for (const Duration it : connectRetries) {
        at(m_now + it, [this, name, act, isCarriedOut] {
            FakeWorker *worker = find(name);
            if (worker == nullptr || !worker->isUp || *isCarriedOut)
                return;
            *isCarriedOut = true;
            act(*worker);
        });
    }
}

void JobWorld::Carrier::start(const jobs::StartRun &command, std::string_view, jobs::Tenure tenure)
{
    const WorkerAnswer answer { .worker = command.target.worker,
                                .tenure = tenure,
                                .order = command.target.order,
                                .life = command.target.life };
    JobWorld *world = m_world;
    if (this == world->m_carrier.get())
        world->checkOrdered(command.run.task);
    const FakeWorker *sentTo = world->find(command.target.name);
    if (sentTo != nullptr && sentTo->startFault == StartFault::Unanswered) {
        world->at(world->m_now + command.timeout, [this, answer, run = command.run, born = life] {
            WorkerAnswer it = answer;
            it.outcome = jobs::OrderOutcome::Unanswered;
            if (born == life)
                answers->startAnswered(m_world->moment(), it, run);
        });
        return;
    }
    world->order(
            this, command.target, command.timeout,
            [world, command, tenure](FakeWorker &worker) {
                return world->startAt(worker, command, tenure);
            },
            [this, answer, run = command.run](jobs::OrderOutcome outcome) {
                WorkerAnswer it = answer;
                it.outcome = outcome;
                answers->startAnswered(m_world->moment(), it, run);
            });
}

jobs::OrderOutcome JobWorld::startAt(FakeWorker &worker, const jobs::StartRun &command,
                                     jobs::Tenure tenure)
{
    const jobs::TaskKey &task = command.run.task;
    const std::uint64_t token = jobs::orderToken(tenure, command.target);
    if (token < worker.fence && !m_options.workersIgnoreFences)
        return jobs::OrderOutcome::Fenced;
    worker.fence = token;
    if (worker.startFault == StartFault::Refused)
        return jobs::OrderOutcome::NotHealthy;
    const auto known = worker.running.find(task);
    if (known != worker.running.end() && known->second.run == command.run.run)
        return jobs::OrderOutcome::Done;
    if (worker.clockMs(m_now) > command.leaseEndMs)
        return jobs::OrderOutcome::Late;
    worker.leaseEndMs = std::max(worker.leaseEndMs,
                                 std::min(command.leaseEndMs, worker.clockMs(m_now) + mostHoldMs));
    const auto last = worker.lastRun.find(task);
    if (last != worker.lastRun.end() && command.run.run.value <= last->second)
        return jobs::OrderOutcome::OldRun;
    const wire::JobSpec &spec = m_specs.at(task.job.value);
    const wire::JobStep &taskStep = spec.steps(static_cast<int>(task.step));
    jobs::Size used;
    for (const auto &[key, it] : worker.running)
        used += it.size;
    const jobs::Size size { .millicores = static_cast<std::int64_t>(taskStep.size().millicores()),
                            .memoryMb = static_cast<std::int64_t>(taskStep.size().memory_mb()) };
    used += size;
    if (!used.fitsIn(worker.capacity) && m_options.guardsCapacity) {
        ++m_noRoom;
        return jobs::OrderOutcome::NoRoom;
    }
    const bool isAllowed = used.fitsIn(worker.capacity)
            || (m_now < worker.formerUntil && used.fitsIn(worker.formerCapacity));
    if (!isAllowed)
        breach("start of " + nameOf(task) + " brings " + worker.name + " over its capacity");
    if (m_advised.contains(task.job.value)) {
        jobs::TaskKey first = task;
        first.task = 0;
        const auto it = m_grants.find(command.permit);
        if (it == m_grants.end() || it->second.step != first || it->second.worker != worker.name
            || it->second.born != worker.born || m_now > it->second.until) {
            ++m_noPermit;
            return jobs::OrderOutcome::NoPermit;
        }
    }
    checkZone(worker, task);
    checkPool(worker, task);
    checkStart(worker, command);
    ++m_starts;
    m_startsByLaterLives += worker.born > command.target.born.value ? 1 : 0;
    m_begun.insert(task.job.value);
    worker.hasLease = true;
    worker.lastRun[task] = command.run.run.value;
    worker.running[task] = { .run = command.run.run,
                             .endsAt = m_now + std::chrono::milliseconds(taskStep.estimate_ms()),
                             .size = size,
                             .fails = chance(m_options.faults.runFails),
                             .lasts = taskStep.long_running(),
                             .isMember = taskStep.gang(),
                             .isAtWork = !taskStep.gang(),
                             .waitsUntil = m_now + gangTimeout,
                             .checkpoint = command.checkpoint };
    if (const auto deadly = m_deadly.find(task); deadly != m_deadly.end())
        crashLater(worker, deadly->second);
    return jobs::OrderOutcome::Done;
}

void JobWorld::Carrier::stop(const jobs::StopRun &command, jobs::Tenure tenure)
{
    const WorkerAnswer answer { .worker = command.target.worker,
                                .tenure = tenure,
                                .order = command.target.order,
                                .life = command.target.life };
    JobWorld *world = m_world;
    const FakeWorker *sentTo = world->find(command.target.name);
    if (sentTo != nullptr && sentTo->ignoresStops) {
        world->at(world->m_now + orderTimeout, [this, answer, run = command.run, born = life] {
            WorkerAnswer it = answer;
            it.outcome = jobs::OrderOutcome::Unanswered;
            if (born == life)
                answers->stopAnswered(m_world->moment(), it, run);
        });
        return;
    }
    world->order(
            this, command.target, orderTimeout,
            [world, command, token = jobs::orderToken(tenure, command.target)](FakeWorker &worker) {
                if (token < worker.fence && !world->m_options.workersIgnoreFences)
                    return jobs::OrderOutcome::Fenced;
                worker.fence = token;
                std::uint64_t &last = worker.lastRun[command.run.task];
                last = std::max(last, command.run.run.value);
                const auto it = worker.running.find(command.run.task);
                if (it != worker.running.end() && it->second.run == command.run.run
                    && !it->second.stopping) {
                    it->second.stopping = true;
                    it->second.endsAt = world->m_now + stopLength;
                }
                return jobs::OrderOutcome::Done;
            },
            [this, answer, run = command.run](jobs::OrderOutcome outcome) {
                WorkerAnswer it = answer;
                it.outcome = outcome;
                answers->stopAnswered(m_world->moment(), it, run);
            });
}

void JobWorld::Carrier::pace(const jobs::PaceRun &command, jobs::Tenure)
{
    FakeWorker *worker = m_world->find(command.target.name);
    if (worker == nullptr)
        return;
    const auto it = worker->running.find(command.run.task);
    if (it != worker->running.end())
        it->second.percent = command.percent;
}

void JobWorld::Carrier::hold(const jobs::RenewWorkerLease &command, jobs::Tenure tenure)
{
    const WorkerAnswer answer { .worker = command.target.worker,
                                .tenure = tenure,
                                .order = command.target.order,
                                .life = command.target.life };
    const auto lists = std::make_shared<jobs::RenewalAnswer>();
    JobWorld *world = m_world;
    lists->sentAt = world->m_now;
    world->order(
            this, command.target, orderTimeout,
            [world, command, lists,
             token = jobs::orderToken(tenure, command.target)](FakeWorker &worker) {
                if (token < worker.fence && !world->m_options.workersIgnoreFences)
                    return jobs::OrderOutcome::Fenced;
                worker.fence = token;
                if (command.leaseEndMs > 0)
                    worker.leaseEndMs =
                            std::max(worker.leaseEndMs,
                                     std::min(command.leaseEndMs,
                                              worker.clockMs(world->m_now) + mostHoldMs));
                for (const jobs::EndedRow &it : worker.ended) {
                    if (it.number > command.recordedEnds || it.number <= worker.noted)
                        continue;
                    // A lapse between an end and its confirmation keeps it from counting.
                    if (it.number <= worker.lapsedAfterEnd)
                        continue;
                    if (it.end == jobs::RunEnd::Done) {
                        world->m_doneNoted.insert(it.run.task);
                        ++world->m_doneEnds[it.run.task];
                    }
                    if (it.end == jobs::RunEnd::Failed)
                        world->m_failuresNoted[it.run.task].insert(it.run.run.value);
                }
                worker.noted = std::max(worker.noted, command.recordedEnds);
                std::erase_if(worker.ended, [&](const jobs::EndedRow &it) {
                    return it.number <= command.recordedEnds;
                });
                lists->born = { worker.born };
                lists->clockMs = worker.clockMs(world->m_now);
                lists->ended = worker.ended;
                for (jobs::EndedRow &it : lists->ended) {
                    if (world->m_options.tellsDoneAsStopped && it.end == jobs::RunEnd::Done)
                        it.end = jobs::RunEnd::Stopped;
                }
                const WorldFaults &faults = world->m_options.faults;
                lists->unreadableRows = faults.oddRows;
                for (const auto &[task, it] : worker.running) {
                    if (faults.rowUnreadable > 0 && world->chance(faults.rowUnreadable))
                        ++lists->unreadableRows;
                    else if (!it.stopping)
                        lists->running.push_back({ .run = { .task = task, .run = it.run },
                                                   .checkpoint = it.checkpoint,
                                                   .percent = it.lasts ? 100 : 0 });
                }
                return jobs::OrderOutcome::Done;
            },
            [this, answer, lists, isImmediate = command.isImmediate](jobs::OrderOutcome outcome) {
                WorkerAnswer it = answer;
                it.outcome = outcome;
                answers->renewalAnswered(m_world->moment(), it, isImmediate, lists.get());
            });
}

// ---- the advisor

void JobWorld::ask(const jobs::RequestPermits &question, jobs::Tenure tenure)
{
    PermitAnswer answer { .step = question.step, .tenure = tenure };
    m_askedWorkers += question.workers.size();
    const auto count = static_cast<std::int64_t>(question.workers.size());
    Timestamp answeredAt = m_now + question.timeout;
    if (!m_isAdvisorDown) {
        // It takes one question after the other.
        m_advisorFreeAt =
                std::max(m_advisorFreeAt, m_now) + decisionTime + decisionTimePerWorker * count;
        answeredAt = m_advisorFreeAt;
        answer.isAnswered = true;
        for (const WorkerName &it : question.workers) {
            const FakeWorker *worker = find(it);
            // Every other worker, each step other ones.
            const bool isAllowed = (worker->name.back() + question.step.step) % 2 == 0;
            if (!isAllowed)
                continue;
            const std::string text = fmt::format("{}.{}", nameOf(question.step), m_grants.size());
            m_grants[text] = { .step = question.step,
                               .worker = worker->name,
                               .born = worker->born,
                               .until = answeredAt + permitValidity };
            answer.good.emplace_back(it, text);
        }
    }
    at(answeredAt, [this, generation = m_generation, answer] {
        if (generation == m_generation)
            m_driver->permitsAnswered(moment(), answer);
    });
}

// ---- gangs

void JobWorld::advanceGangs()
{
    /// A member and where it runs.
    struct Member
    {
        FakeWorker *worker;
        jobs::TaskKey task;
        FakeWorker::Running *run;
    };
    std::map<std::pair<jobs::TaskKey, std::uint64_t>, std::vector<Member>> gangs;
    for (const auto &worker : m_workers) {
        for (auto &[task, it] : worker->running) {
            if (!worker->isUp || !it.isMember || it.stopping)
                continue;
            jobs::TaskKey first = task;
            first.task = 0;
            gangs[{ first, it.run.value }].push_back({ worker.get(), task, &it });
        }
    }
    for (auto &[key, members] : gangs) {
        const wire::JobSpec &spec = m_specs.at(key.first.job.value);
        const wire::JobStep &taskStep = spec.steps(static_cast<int>(key.first.step));
        const bool isWhole = members.size() == taskStep.count();
        const bool isAtWork =
                std::ranges::any_of(members, [](const Member &it) { return it.run->isAtWork; });
        const bool fails =
                std::ranges::any_of(members, [](const Member &it) { return it.run->fails; });
        for (const Member &it : members) {
            if (isAtWork && !isWhole) {
                it.worker->end(it.task, jobs::RunEnd::Broken);
            } else if (!isAtWork && isWhole) {
                it.run->isAtWork = true;
                it.run->endsAt = m_now + std::chrono::milliseconds(taskStep.estimate_ms());
            } else if (isAtWork && m_now >= it.run->endsAt) {
                const bool isCulprit = it.run->fails;
                it.worker->end(it.task,
                               isCulprit       ? jobs::RunEnd::Failed
                                       : fails ? jobs::RunEnd::Broken
                                               : jobs::RunEnd::Done);
            } else if (!isAtWork && m_now >= it.run->waitsUntil) {
                ++m_aloneEnds;
                it.worker->end(it.task, jobs::RunEnd::Alone);
            } else if (isAtWork) {
                // Each member shows the gang's progress in words of its own.
                it.run->checkpoint = fmt::format("{}@{}", it.task.task, it.run->run.value);
            }
        }
    }
}

} // namespace acaciafork::control
