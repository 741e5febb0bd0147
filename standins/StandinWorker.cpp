#include "StandinWorker.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/json/serialize.hpp>

namespace acaciafork::standins {

namespace {

constexpr Duration reportPeriod = std::chrono::seconds(1);
constexpr Duration usagePeriod = std::chrono::seconds(2);
constexpr Duration stepPeriod = std::chrono::milliseconds(20);
// How long a task that has ended and was released is remembered, so that a late start of it is
// refused.
constexpr Duration keepEnded = std::chrono::seconds(60);
// Reports whose time of sending is remembered; a lease that counts from an older one is over.
constexpr std::size_t rememberedReports = 120;
constexpr std::int64_t fullPerMille = 1'000;
constexpr std::string_view taskPrefix = "/tasks/";
constexpr std::int64_t mostRunMs = 24LL * 3'600 * 1'000;

/// Payload of a task; an empty one is a batch task of the default run time.
Result<StandinPayload> parsePayload(const std::string &text)
{
    StandinPayload it;
    if (text.empty())
        return it;
    BOOST_LEAF_AUTO(object, net::parseJsonObject(text));
    net::JsonReader reader(object);
    it.isService = reader.choice("kind", { "batch", "service" }) == 1;
    it.runTime = std::chrono::milliseconds(reader.optionalNumber("runMs", 0, mostRunMs, 1'000));
    it.fails = reader.optionalNumber("fails", 0, 1, 0) == 1;
    it.millicores = reader.optionalNumber("millicores", 0, INT32_MAX, 1'000);
    it.memoryMb = reader.optionalNumber("memoryMb", 0, INT32_MAX, 1'000);
    if (it.isService) {
        endpoints::Announcement &announcement = it.endpoint.announcement;
        announcement.service = { reader.text("service") };
        announcement.slots =
                static_cast<std::uint32_t>(reader.optionalNumber("slots", 1, 10'000, 8));
        announcement.connections =
                static_cast<std::uint32_t>(reader.optionalNumber("connections", 1, 10'000, 64));
        it.endpoint.meanServiceTime =
                Duration(reader.optionalNumber("serviceUs", 0, 60'000'000, 5'000));
    }
    if (auto ok = reader.check(); !ok)
        return ok.error();
    return it;
}

/// Progress that a checkpoint stands for; it is the number of milliseconds done.
Duration progressOf(const std::string &checkpoint)
{
    std::int64_t ms = 0;
    std::from_chars(checkpoint.data(), checkpoint.data() + checkpoint.size(), ms);
    return std::chrono::milliseconds(ms);
}

bool hasEnded(workers::TaskStatus status)
{
    return status != workers::TaskStatus::Running && status != workers::TaskStatus::Throttled;
}

} // namespace

StandinWorker::StandinWorker(net::Loop &loop, StandinReporter &reporter,
                             workers::WorkerReport report)
    : m_loop(loop)
    , m_reporter(reporter)
    , m_report(std::move(report))
    , m_server(loop, {}, [this](const std::shared_ptr<net::HttpExchange> &it) { serve(it); })
{
    m_report.incarnation = { static_cast<std::uint64_t>(net::Loop::wallMicroseconds()) };
}

StandinWorker::~StandinWorker()
{
    for (const auto &it : m_timers)
        m_loop.cancel(it);
}

Result<std::uint16_t> StandinWorker::start(const net::Address &address)
{
    BOOST_LEAF_AUTO(port, m_server.listen(address));
    m_report.address = { .host = address.host, .port = port };
    sendReport();
    m_timers.push_back(m_loop.every(reportPeriod, [this] { sendReport(); }));
    m_timers.push_back(m_loop.every(usagePeriod, [this] { sendUsage(); }));
    m_timers.push_back(m_loop.every(stepPeriod, [this] { step(); }));
    return port;
}

void StandinWorker::serve(const std::shared_ptr<net::HttpExchange> &http)
{
    const std::string_view target = http->target();
    if (target.starts_with(taskPrefix) && http->method() == "PUT")
        serveCommand(http, target.substr(taskPrefix.size()));
    else
        http->answerFailure(FailureKind::NotFound, "allowed is PUT /tasks/<task>");
}

void StandinWorker::serveCommand(const std::shared_ptr<net::HttpExchange> &http,
                                 std::string_view task)
{
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(command, workers::decodeWorkerCommand(task, http->body()));
                carryOut(command, *http);
                return {};
            },
            [&](const Failure &failure) { http->answerFailure(failure.kind, failure.detail); },
            [&] { http->answerFailure(FailureKind::Internal, "command not read"); });
}

void StandinWorker::carryOut(const workers::WorkerCommand &command, net::HttpExchange &http)
{
    const auto it = m_tasks.find(command.task.value);
    if (it != m_tasks.end() && command.epoch < it->second.report.epoch) {
        ++m_fenced;
        http.answerJson(409, workers::encodeTaskReport(it->second.report));
        return;
    }
    // A lease counts from a report of this incarnation; a command from before a restart is void.
    const bool givesLease = command.action == workers::WorkerAction::Start
            || command.action == workers::WorkerAction::Renew;
    if (givesLease && command.incarnation != m_report.incarnation) {
        http.answerFailure(FailureKind::Conflict, "the lease is of another incarnation");
        return;
    }
    const bool isKnown = it != m_tasks.end() && it->second.report.epoch == command.epoch;
    if (!isKnown && command.action == workers::WorkerAction::Stop) {
        refuseEpoch(command, http);
        return;
    }
    if (!isKnown && command.action == workers::WorkerAction::Start) {
        begin(command, http);
        return;
    }
    if (!isKnown) {
        http.answerFailure(FailureKind::NotFound, "no such task and epoch here");
        return;
    }
    // A repeated command changes nothing, as after a lost answer.
    apply(command, it->second);
    http.answerJson(200, workers::encodeTaskReport(it->second.report));
}

void StandinWorker::refuseEpoch(const workers::WorkerCommand &command, net::HttpExchange &http)
{
    // The epoch is listed as stopped, so that a start of it that comes late is refused.
    Task &task = m_tasks[command.task.value];
    if (task.report.epoch && !hasEnded(task.report.status))
        stop(task, workers::TaskStatus::Stopped, "replaced");
    task = Task {};
    task.report = { .task = command.task,
                    .epoch = command.epoch,
                    .status = workers::TaskStatus::Stopped };
    task.endedAt = net::Loop::now();
    task.isReleased = command.release;
    http.answerJson(200, workers::encodeTaskReport(task.report));
}

Timestamp StandinWorker::leaseEnd(const workers::WorkerCommand &command) const
{
    // A report that is not remembered any more is too old to give a lease.
    const auto it = m_sentAt.find(command.reportSequence);
    return it == m_sentAt.end() ? Timestamp {} : it->second + command.leaseDuration;
}

void StandinWorker::begin(const workers::WorkerCommand &command, net::HttpExchange &http)
{
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(payload, parsePayload(command.payload));
                const Timestamp now = net::Loop::now();
                Task &task = m_tasks[command.task.value];
                if (task.report.epoch && !hasEnded(task.report.status))
                    stop(task, workers::TaskStatus::Stopped, "replaced");
                task = Task {};
                task.report = { .task = command.task, .epoch = command.epoch };
                task.payload = payload;
                task.progress = progressOf(command.checkpoint);
                task.steppedAt = now;
                task.leaseEnd = leaseEnd(command);
                task.run = m_runs.size();
                m_runs.push_back({ .task = command.task.value,
                                   .epoch = command.epoch.value,
                                   .fromCheckpoint = command.checkpoint,
                                   .startedAtUs = net::Loop::wallMicroseconds() });
                if (payload.isService) {
                    StandinEndpointSettings settings = payload.endpoint;
                    settings.announcement.endpoint = { command.task.value };
                    settings.announcement.zone = m_report.zone;
                    settings.announcement.rack = m_report.rack;
                    task.endpoint = std::make_unique<StandinEndpoint>(m_loop, m_reporter, settings);
                    if (auto ok =
                                task.endpoint->start({ .host = m_report.address.host, .port = 0 });
                        !ok)
                        return ok.error();
                }
                http.answerJson(200, workers::encodeTaskReport(task.report));
                return {};
            },
            [&](const Failure &failure) { http.answerFailure(failure.kind, failure.detail); },
            [&] { http.answerFailure(FailureKind::Internal, "task not started"); });
}

void StandinWorker::apply(const workers::WorkerCommand &command, Task &task)
{
    if (command.action == workers::WorkerAction::Stop)
        task.isReleased = task.isReleased || command.release;
    if (hasEnded(task.report.status))
        return;
    switch (command.action) {
    case workers::WorkerAction::Start:
    case workers::WorkerAction::Renew:
        task.leaseEnd = std::max(task.leaseEnd, leaseEnd(command));
        return;
    case workers::WorkerAction::Throttle:
        task.isThrottled = command.perMille < fullPerMille;
        task.report.status =
                task.isThrottled ? workers::TaskStatus::Throttled : workers::TaskStatus::Running;
        return;
    case workers::WorkerAction::Checkpoint:
        stepTask(task, net::Loop::now());
        task.report.checkpoint = std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(task.progress).count());
        stop(task, workers::TaskStatus::Checkpointed, "checkpointed");
        return;
    case workers::WorkerAction::Stop:
        stop(task, workers::TaskStatus::Stopped, "stopped");
        return;
    }
}

void StandinWorker::stop(Task &task, workers::TaskStatus status, std::string_view end)
{
    if (hasEnded(task.report.status))
        return;
    task.report.status = status;
    task.endedAt = net::Loop::now();
    m_runs[task.run].endedAtUs = net::Loop::wallMicroseconds();
    m_runs[task.run].end = end;
    if (!task.endpoint)
        return;
    // The endpoint finishes what it has. It stays for its counts.
    m_leaving.push_back(std::move(task.endpoint));
    m_leaving.back()->leave([] {});
}

void StandinWorker::step()
{
    const Timestamp now = net::Loop::now();
    for (auto &[name, task] : m_tasks) {
        if (!hasEnded(task.report.status))
            stepTask(task, now);
    }
    std::erase_if(m_tasks, [now](const auto &it) {
        const Task &task = it.second;
        return hasEnded(task.report.status) && task.isReleased && now - task.endedAt > keepEnded;
    });
}

void StandinWorker::stepTask(Task &task, Timestamp now)
{
    const Duration passed = now - std::exchange(task.steppedAt, now);
    task.progress += task.isThrottled ? passed / 2 : passed;
    if (m_isBroken)
        stop(task, workers::TaskStatus::Failed, "failed");
    else if (now >= task.leaseEnd)
        stop(task, workers::TaskStatus::Stopped, "lease-expired");
    else if (!task.payload.isService && task.progress >= task.payload.runTime)
        stop(task, task.payload.fails ? workers::TaskStatus::Failed : workers::TaskStatus::Finished,
             task.payload.fails ? "failed" : "finished");
}

void StandinWorker::sendReport()
{
    ++m_report.sequence;
    m_sentAt[m_report.sequence] = net::Loop::now();
    while (m_sentAt.size() > rememberedReports)
        m_sentAt.erase(m_sentAt.begin());
    m_report.tasks.clear();
    for (const auto &[name, task] : m_tasks)
        if (!hasEnded(task.report.status) || !task.isReleased)
            m_report.tasks.push_back(task.report);
    m_reporter.send("PUT", "/acaciafork/v1/workers/" + m_report.worker.value,
                    workers::encodeWorkerReport(m_report));
}

void StandinWorker::sendUsage()
{
    workers::UsageReport usage { .worker = m_report.worker,
                                 .incarnation = m_report.incarnation,
                                 .sequence = m_report.sequence,
                                 .lag = usagePeriod,
                                 .window = usagePeriod };
    for (const auto &[name, task] : m_tasks) {
        if (hasEnded(task.report.status))
            continue;
        usage.tasks.push_back({ .task = task.report.task,
                                .epoch = task.report.epoch,
                                .millicores = task.payload.millicores,
                                .memoryMb = task.payload.memoryMb });
    }
    m_reporter.send("POST", "/acaciafork/v1/workers/" + m_report.worker.value + "/usage",
                    workers::encodeUsageReport(usage));
}

std::size_t StandinWorker::running() const
{
    return static_cast<std::size_t>(
            std::count_if(m_tasks.begin(), m_tasks.end(),
                          [](const auto &it) { return !hasEnded(it.second.report.status); }));
}

void StandinWorker::addCounts(boost::json::array *runs, boost::json::array *endpoints) const
{
    for (const auto &it : m_runs) {
        runs->push_back(boost::json::object { { "worker", m_report.worker.value },
                                              { "task", it.task },
                                              { "epoch", it.epoch },
                                              { "fromCheckpoint", it.fromCheckpoint },
                                              { "startedAtUs", it.startedAtUs },
                                              { "endedAtUs", it.endedAtUs },
                                              { "end", it.end } });
    }
    for (const auto &[name, task] : m_tasks) {
        if (task.endpoint)
            endpoints->push_back(task.endpoint->countsJson());
    }
    for (const auto &it : m_leaving)
        endpoints->push_back(it->countsJson());
}

} // namespace acaciafork::standins
