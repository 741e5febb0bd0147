#pragma once

#include <string>
#include <string_view>

#include "acaciafork/state/Task.h"

namespace acaciafork::state {

/// Compact form of resource amounts, which must satisfy isBounded().
TaskSize sizeOf(const wire::Resources &amounts);

/// Writes a compact size to `amounts`.
void fillResources(const TaskSize &size, wire::Resources *amounts);

/// Describes the first problem found in a submission; empty if it is valid. Does not check that
/// the team exists.
std::string validationError(const wire::SubmitTask &command, std::size_t payloadBytes);

/// Builds the task in its initial state after submission, with its shared texts in `pool`.
Task taskOf(const wire::SubmitTask &command, TextPool *pool);

/// Writes the submission from which a task was created to `command`.
void fillSubmission(std::string_view id, const Task &task, wire::SubmitTask *command);

/// Writes the snapshot record of a task to `record`.
void fillRecord(std::string_view id, const Task &task, wire::TaskRecord *record);

/// Builds the task of a snapshot record, with its shared texts in `pool`.
Task taskOf(const wire::TaskRecord &record, TextPool *pool);

/// True when a submission has the same content as the one from which a task was created.
bool isSameSubmission(const wire::SubmitTask &command, const Task &task);

} // namespace acaciafork::state
