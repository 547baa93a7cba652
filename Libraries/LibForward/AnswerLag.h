#pragma once

#include "LibBase/Time.h"

#include <algorithm>

namespace Forward {

/// Moving estimate of how late answers with a due time are written: timers fire late and merging takes time,
/// more so on a VM with a small share of a processor. Rises quickly and falls slowly, so that it stays near
/// the upper end of the observed lag.
class AnswerLag
{
public:
    /// Records an answer that was due at `due` and written at `written`. Ignores early answers and those
    /// later than MaxSample, whose delay has another cause.
    void record(Base::Instant due, Base::Instant written)
    {
        const auto lag = written - due;
        if (lag < Base::Duration::zero() || lag > MaxSample)
            return;
        const auto divisor = lag > lag_ ? RiseDivisor : FallDivisor;
        lag_ += (lag - lag_) / divisor;
    }

    /// Time by which answers should be due earlier, to compensate for the lag.
    Base::Duration allowance() const { return lag_ + lag_ / 2; }

private:
    static constexpr Base::Duration MaxSample = Base::milliseconds(40);
    static constexpr int RiseDivisor = 3;
    static constexpr int FallDivisor = 40;

    Base::Duration lag_ {};
};

} // namespace Forward
