#pragma once

#include <string>
#include <string_view>

#include "acaciafork/state/Task.h"

namespace acaciafork::state {

/// Compact form of amounts that isBounded() has passed.
TaskSize sizeOf(const wire::Resources &amounts);

/// Amounts of a compact size.
void fillResources(const TaskSize &size, wire::Resources *amounts);

/// What is wrong with a submission, apart from its team; empty when nothing is.
std::string validationError(const wire::SubmitTask &command, std::size_t payloadBytes);

/// Task as it stands right after its submission, its texts in `pool`.
Task taskOf(const wire::SubmitTask &command, TextPool *pool);

/// Submission that made a task.
void fillSubmission(std::string_view id, const Task &task, wire::SubmitTask *command);

/// Record of a task in a snapshot.
void fillRecord(std::string_view id, const Task &task, wire::TaskRecord *record);

/// Task of a record, its texts in `pool`.
Task taskOf(const wire::TaskRecord &record, TextPool *pool);

/// True when a submission has the content that a task was made from.
bool isSameSubmission(const wire::SubmitTask &command, const Task &task);

} // namespace acaciafork::state
