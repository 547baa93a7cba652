#pragma once

#include "LibBase/Time.h"

#include <algorithm>

namespace Forward {

/// How late answers leave that are due at a set moment: timers fire late and merging takes time, more so on a
/// VM with a small share of a processor. Follows increases fast and decreases slowly, so that it stays near
/// the upper end of what was seen.
class AnswerLag
{
public:
    /// An answer that was due at `due` was written at `written`. One that left early, or late for a reason of
    /// its own, says nothing.
    void record(Base::Instant due, Base::Instant written)
    {
        const auto lag = written - due;
        if (lag < Base::Duration::zero() || lag > MaxSample)
            return;
        const auto divisor = lag > lag_ ? RiseDivisor : FallDivisor;
        lag_ += (lag - lag_) / divisor;
    }

    /// Time by which answers should be due earlier.
    Base::Duration allowance() const { return lag_ + lag_ / 2; }

private:
    static constexpr Base::Duration MaxSample = Base::milliseconds(40);
    static constexpr int RiseDivisor = 3;
    static constexpr int FallDivisor = 40;

    Base::Duration lag_ {};
};

} // namespace Forward
