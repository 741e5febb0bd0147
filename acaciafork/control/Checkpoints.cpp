#include "acaciafork/control/Checkpoints.h"

#include <charconv>

namespace acaciafork::control {

batch::CheckpointId toCheckpoint(std::string_view text)
{
    batch::CheckpointId id;
    std::from_chars(text.data(), text.data() + text.size(), id.value);
    return id;
}

std::string toText(batch::CheckpointId checkpoint)
{
    return checkpoint ? std::to_string(checkpoint.value) : std::string();
}

} // namespace acaciafork::control
