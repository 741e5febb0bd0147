#pragma once

#include <string>

#include "benchmarks/batch/fakes/Session.h"

namespace acaciafork::batch::fakes {

/// Room of a worker in tests: that of today's sites.
inline constexpr Resources workerRoom {
    .millicores = 32'000, .memoryMb = 125'000, .accelerators = 0, .slots = 8
};
/// Size of a job in tests.
inline constexpr Resources jobSize {
    .millicores = 4'000, .memoryMb = 8'000, .accelerators = 0, .slots = 1
};

/// A job for a test, with its truth.
struct TestJob
{
    std::string task;
    std::string team = "team";
    std::string family = "family";
    Resources declared = jobSize;
    /// What it really uses; nothing means what it declared.
    Resources used {};
    Duration work = std::chrono::minutes(1);
    Duration declaredRunTime {};
    Duration failsAfter {};
    Duration checkpointTime = std::chrono::seconds(5);
    bool urgent = false;
    std::uint32_t kind = 0;
};

/// Adds workers of a rack, named after it.
void addRack(Session *session, const std::string &rack, const std::string &building,
             const std::string &zone, int workers, Resources room = workerRoom);
/// Submits a job.
void submitJob(Session *session, const TestJob &job);
/// Wants replicas of a service.
void putService(Session *session, const std::string &service, std::uint32_t replicas,
                Resources size = jobSize, std::uint32_t kind = 0);

} // namespace acaciafork::batch::fakes
