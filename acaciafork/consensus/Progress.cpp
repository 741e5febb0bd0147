#include "acaciafork/consensus/Progress.h"

#include <algorithm>

namespace acaciafork::consensus {

void Progress::sent(LogIndex last, std::size_t bytes)
{
    inflight.push_back({ .last = last, .bytes = bytes });
    inflightBytes += bytes;
    next = last + 1;
}

void Progress::acknowledged(LogIndex index)
{
    match = std::max(match, index);
    next = std::max(next, match + 1);
    while (!inflight.empty() && inflight.front().last <= match) {
        inflightBytes -= inflight.front().bytes;
        inflight.pop_front();
    }
}

void Progress::probeFrom(LogIndex from)
{
    state = ProgressState::Probe;
    next = std::max(from, match + 1);
    inflight.clear();
    inflightBytes = 0;
    sentAt = distantPast;
}

} // namespace acaciafork::consensus
