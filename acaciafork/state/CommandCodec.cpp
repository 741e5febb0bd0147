#include "acaciafork/state/CommandCodec.h"

namespace acaciafork::state {

std::string encodeCommand(const wire::Command &command)
{
    return command.SerializeAsString();
}

} // namespace acaciafork::state
