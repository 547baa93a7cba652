#pragma once

#include "LibBase/Time.h"

#include <string>

namespace Load {

enum class CallOutcome {
    Whole,
    Partial,
    Refused, ///< Said to be not run.
    Failed, ///< May have run, without an answer.
    Wrong ///< An answer that is not true.
};

/// How one query ended for its caller.
struct CallResult
{
    CallOutcome outcome = CallOutcome::Failed;
    std::string requestId;
    std::string reason; ///< Error name or fault; empty when there is none.
    int attempts = 0; ///< Entry processes that were tried.
    Base::Duration latency {}; ///< From the intended send time.
    Base::Duration offset {}; ///< Intended send time from the start of the run.
};

} // namespace Load
