#pragma once

#include "LibBase/Time.h"

#include <deque>
#include <utility>

namespace StandIn {

/// Remembers a server's load so that it can report an old one.
class LoadReport
{
public:
    void record(Base::Instant now, double load);

    /// The load as it was `lag` ago; 0 before the first record.
    double reported(Base::Instant now, Base::Duration lag) const;

private:
    std::deque<std::pair<Base::Instant, double>> samples_;
};

} // namespace StandIn
