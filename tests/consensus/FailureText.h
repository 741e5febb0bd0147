#pragma once

#include <string>

#include "acaciafork/consensus/RecordCodec.h"
#include "acaciafork/core/Core.h"

namespace acaciafork::consensus {

/// What a call failed with, as tests compare it.
struct CallResult
{
    bool done = false;
    FailureKind kind = FailureKind::Internal;
    std::string detail;
    CorruptFile corrupt;
};

/// Runs a call that gives a Result and tells how it ended.
template <typename F>
CallResult resultOf(F &&call)
{
    return leaf::try_handle_all(
            [&]() -> Result<CallResult> {
                BOOST_LEAF_CHECK(call());
                return CallResult { .done = true, .kind = {}, .detail = {}, .corrupt = {} };
            },
            [](const Failure &failure, const CorruptFile &corrupt) {
                return CallResult { false, failure.kind, failure.detail, corrupt };
            },
            [](const Failure &failure) {
                return CallResult { false, failure.kind, failure.detail, {} };
            },
            [] { return CallResult {}; });
}

} // namespace acaciafork::consensus
