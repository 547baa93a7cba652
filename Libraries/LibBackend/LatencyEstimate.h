#pragma once

#include "LibBase/Time.h"

namespace Backend {

/// Moving average and lower envelope of observed service times of one server.
class LatencyEstimate
{
public:
    void record(Base::Duration sample);

    /// Zero until the first sample.
    Base::Duration average() const { return average_; }

    /// Optimistic estimate; zero until the first sample.
    Base::Duration fastest() const { return fastest_; }

private:
    Base::Duration average_ {};
    Base::Duration fastest_ {};
};

} // namespace Backend
