#pragma once

#include "acaciafork/decisions/jobs/Jobs.h"
#include "acaciafork/state/State.h"

namespace acaciafork::control {

/// A job's spec as the scheduler takes it.
std::shared_ptr<const jobs::JobSpec> toJobs(const wire::JobSpec &spec);

/// A queue as the scheduler takes it. A pool that the configuration does not name counts as one
/// that starts what exceeds its capacity.
jobs::QueueSpec toJobs(const wire::Queue &queue, const wire::QueueConfig &config);

/// All queues of a configuration as the scheduler takes them.
std::vector<jobs::QueueSpec> toJobs(const wire::QueueConfig &config);

/// Memory that a job's spec takes in the replicated state, in bytes.
std::size_t storedBytes(const wire::JobSpec &spec);

/// A job as the scheduler takes it.
/// @param[in] config in force; names the pools
jobs::JobView toJobs(const state::Job &job, const wire::QueueConfig &config);

/// A worker as the scheduler takes it.
jobs::WorkerLife toJobs(const wire::WorkerLife &life);
/// A worker as the state takes it.
wire::WorkerLife toState(const jobs::WorkerLife &life);

/// What was learnt of images, as the scheduler and as the state take it.
jobs::InterferenceEstimate toJobs(const wire::DisturbancePair &pair);
wire::RecordDisturbance toState(const jobs::RecordDisturbance &learnt);

/// How tasks ended, as the state takes it.
wire::RecordTaskEnds toState(const jobs::RecordEnds &ends);

/// Crashes to which tasks were exposed, as the scheduler and as the state take it.
jobs::CrashExposure toJobs(const wire::CrashExposure &exposure);
wire::RecordCrashExposures toState(const jobs::RecordExposures &exposures);

} // namespace acaciafork::control
