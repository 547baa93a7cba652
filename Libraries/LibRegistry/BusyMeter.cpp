#include "LibRegistry/BusyMeter.h"

#include <algorithm>
#include <utility>

namespace Registry {

std::optional<double> BusyMeter::sample(Base::Instant now, Base::Duration wait)
{
    const auto previous = std::exchange(lastSample_, now);
    if (!previous || now - *previous > LongestPause) {
        windowBegin_ = now;
        waits_ = Base::Duration::zero();
        samples_ = 0;
        return std::nullopt;
    }
    waits_ += std::clamp(wait, Base::Duration::zero(), LongestWait);
    ++samples_;
    if (now - windowBegin_ < Window)
        return std::nullopt;
    const double mean = static_cast<double>(waits_.count()) / samples_;
    windowBegin_ = now;
    waits_ = Base::Duration::zero();
    samples_ = 0;
    return mean / (mean + static_cast<double>(HalfBusyWait.count()));
}

} // namespace Registry
