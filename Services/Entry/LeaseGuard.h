#pragma once

#include "LibBase/Clock.h"

#include <atomic>

namespace Services {

/// End of the lease of this process, readable from every thread just before an effect. A process that was
/// frozen and resumed so notices that its lease has run out, whatever its queues still hold.
class LeaseGuard
{
public:
    void extendTo(Base::Instant until) { until_.store(until.time_since_epoch().count()); }

    Base::Instant until() const { return Base::Instant(Base::Duration(until_.load())); }
    bool isValid() const { return clock_.now() < until(); }

private:
    Base::SystemClock clock_;
    std::atomic<Base::Duration::rep> until_ {0};
};

} // namespace Services
