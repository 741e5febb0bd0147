#pragma once

#include <map>
#include <string>
#include <vector>

#include "acaciafork/decisions/jobs/Jobs.h"

namespace acaciafork::control {

/// What becomes of the start orders that reach a worker; it answers everything else.
enum class StartFault : std::uint8_t {
    None,
    Unanswered, ///< nothing is started, and there is no answer
    Refused, ///< nothing is started
};

/// A worker that runs tasks as timers under the rules of its interface, in virtual time. Its clock
/// is its own, and up to 2 % slow.
class FakeWorker
{
public:
    struct Running
    {
        jobs::RunNumber run;
        Timestamp endsAt;
        jobs::Size size;
        bool fails = false;
        bool lasts = false;
        /// A member of a gang: it works once all are there, and waits for them until `waitsUntil`.
        bool isMember = false;
        bool isAtWork = true;
        Timestamp waitsUntil;
        std::string checkpoint;
        /// It was told to stop and ends at `endsAt`; no list shows it until then.
        bool stopping = false;
        std::int64_t percent = 100;
    };

    FakeWorker(std::string name, std::uint64_t born, double clockRate, const jobs::Size &capacity);

    [[nodiscard]] std::int64_t clockMs(Timestamp now) const;
    [[nodiscard]] jobs::WorkerReport report(Timestamp now);
    void end(const jobs::TaskKey &task, jobs::RunEnd how);
    /// Ends what has run its time, and all when the lease is over.
    void advance(Timestamp now);

    std::string name;
    std::string address;
    std::string zone;
    std::string pool = "pool";
    std::uint64_t born;
    double clockRate;
    jobs::Size capacity;
    /// Before it shrank, and until when starts may still reckon with that.
    jobs::Size formerCapacity;
    Timestamp formerUntil;
    StartFault startFault = StartFault::None;
    /// Stops are not carried out, and get no answer.
    bool ignoresStops = false;
    /// Its reports are lost, though it answers calls.
    bool isMute = false;
    /// Calls get no answer, though its reports come.
    bool isDeaf = false;
    Timestamp bornAt;
    bool isUp = true;
    bool isCut = false;
    /// While it is down, its machine refuses connections.
    bool refuses = false;
    bool draining = false;
    std::uint64_t sequence = 0;
    std::uint64_t fence = 0;
    std::int64_t leaseEndMs = 0;
    bool hasLease = false;
    std::map<jobs::TaskKey, Running> running;
    std::map<jobs::TaskKey, std::uint64_t> lastRun;
    std::vector<std::string> labels;
    std::vector<jobs::EndedRow> ended;
    std::uint64_t lastEnd = 0;
    /// Tasks that have ended as done since the world last looked.
    std::vector<jobs::TaskKey> done;
    /// Ends that were confirmed to it without a lapse of its lease between.
    std::uint64_t noted = 0;
    std::uint64_t lapsedAfterEnd = 0;
    Timestamp drainAckedAt = Timestamp::max();
};

} // namespace acaciafork::control
