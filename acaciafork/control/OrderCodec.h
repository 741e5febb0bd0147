#pragma once

#include <string_view>

#include "acaciafork/decisions/jobs/Jobs.h"
#include "wire/peers.pb.h"

namespace acaciafork::control {

/// @name Orders to workers, as a relay gets them
/// @{
void encodeOrder(const jobs::StartRun &order, std::string_view payload, wire::WorkerOrder *message);
void encodeOrder(const jobs::StopRun &order, wire::WorkerOrder *message);
void encodeOrder(const jobs::PaceRun &order, wire::WorkerOrder *message);
void encodeOrder(const jobs::RenewWorkerLease &order, wire::WorkerOrder *message);

jobs::StartRun decodeStart(const wire::WorkerOrder &message);
jobs::StopRun decodeStop(const wire::WorkerOrder &message);
jobs::PaceRun decodePace(const wire::WorkerOrder &message);
jobs::RenewWorkerLease decodeRenewal(const wire::WorkerOrder &message);
/// @}

/// A worker's lists of runs; `sentAt` is not part of the message. Decoding fails with Failure
/// Protocol where a run has ended in a way that is not known here.
void encodeLists(const jobs::RenewalAnswer &lists, wire::WorkerLists *message);
Result<jobs::RenewalAnswer> decodeLists(const wire::WorkerLists &message);

/// Outcome of an order; a number that is no outcome becomes Unanswered.
jobs::OrderOutcome decodeOutcome(std::uint32_t number);

/// A worker's report.
void encodeReport(const jobs::WorkerReport &report, wire::WorkerReport *message);
jobs::WorkerReport decodeReport(const wire::WorkerReport &message);

} // namespace acaciafork::control
