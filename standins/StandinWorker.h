#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "StandinEndpoint.h"
#include "StandinReporter.h"
#include "acaciafork/workers/Workers.h"

namespace acaciafork::standins {

/// What the payload of a task asks a stand-in worker to do, as JSON:
/// `{"kind":"batch","runMs":5000,"fails":false,"millicores":1000,"memoryMb":1000}` or
/// `{"kind":"service","service":"loopdraw","slots":8,"connections":64,"serviceUs":5000}`.
struct StandinPayload
{
    bool isService = false;
    Duration runTime = std::chrono::seconds(1);
    bool fails = false;
    std::int64_t millicores = 1'000;
    std::int64_t memoryMb = 1'000;
    StandinEndpointSettings endpoint;
};

/// One run of a task at a stand-in worker, as the worker itself saw it.
struct StandinRun
{
    std::string task;
    std::uint64_t epoch = 0;
    std::string fromCheckpoint;
    std::int64_t startedAtUs = 0;
    /// 0 while it runs.
    std::int64_t endedAtUs = 0;
    std::string end;
};

/// Fake worker of the platform: runs tasks as timers under leases, reports every second, and counts
/// on its own.
class StandinWorker
{
public:
    /// @param[in] report what it reports; address, incarnation and sequence are filled in
    StandinWorker(net::Loop &loop, StandinReporter &reporter, workers::WorkerReport report);
    ~StandinWorker();
    StandinWorker(const StandinWorker &) = delete;
    StandinWorker &operator=(const StandinWorker &) = delete;

    /// Listens on loopback and starts reporting.
    /// @return the port
    Result<std::uint16_t> start(const net::Address &address);

    /// Lets every task fail from now on, as a broken worker does.
    void setBroken(bool isBroken) { m_isBroken = isBroken; }

    /// Adds what was counted to the arrays.
    void addCounts(boost::json::array *runs, boost::json::array *endpoints) const;

    /// What it last reported; leases count from it.
    [[nodiscard]] const workers::WorkerReport &lastReport() const { return m_report; }

    /// Tasks that run now.
    [[nodiscard]] std::size_t running() const;

private:
    /// One task that the worker has, or had not long ago.
    struct Task
    {
        workers::TaskReport report;
        StandinPayload payload;
        Duration progress = Duration::zero();
        bool isThrottled = false;
        /// Its end is recorded: it need not be reported any more.
        bool isReleased = false;
        Timestamp steppedAt;
        Timestamp leaseEnd;
        Timestamp endedAt;
        std::size_t run = 0;
        std::unique_ptr<StandinEndpoint> endpoint;
    };

    void serve(const std::shared_ptr<net::HttpExchange> &http);
    void serveCommand(const std::shared_ptr<net::HttpExchange> &http, std::string_view task);
    void carryOut(const workers::WorkerCommand &command, net::HttpExchange &http);
    void begin(const workers::WorkerCommand &command, net::HttpExchange &http);
    void refuseEpoch(const workers::WorkerCommand &command, net::HttpExchange &http);
    [[nodiscard]] Timestamp leaseEnd(const workers::WorkerCommand &command) const;
    void apply(const workers::WorkerCommand &command, Task &task);
    void stop(Task &task, workers::TaskStatus status, std::string_view end);
    void step();
    void stepTask(Task &task, Timestamp now);
    void sendReport();
    void sendUsage();

    net::Loop &m_loop;
    StandinReporter &m_reporter;
    workers::WorkerReport m_report;
    net::HttpServer m_server;
    std::map<std::string, Task> m_tasks;
    std::vector<StandinRun> m_runs;
    std::vector<std::unique_ptr<StandinEndpoint>> m_leaving;
    std::vector<net::TimerId> m_timers;
    /// When each of the last reports was sent.
    std::map<std::uint64_t, Timestamp> m_sentAt;
    std::uint64_t m_fenced = 0;
    bool m_isBroken = false;
};

} // namespace acaciafork::standins
