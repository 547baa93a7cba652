#pragma once

#include "LibBase/Time.h"

#include <optional>

namespace Registry {

/// Measures how busy the event loop of a gateway is, from how late it runs a timer that is due. The wait of a
/// timer is what an event of a request waits too. It contains all that a VM's share of a processor does not
/// tell: other processes of the VM, a processor that has become slower, and a core that is taken away for a
/// while. Load pattern: VMs of different speed behind the same number of callers.
class BusyMeter
{
public:
    /// A figure covers at least this time.
    static constexpr Base::Duration Window = Base::seconds(1);
    /// A longer pause between two samples says that the VM was suspended, which is no load.
    static constexpr Base::Duration LongestPause = Base::seconds(2);
    /// A single wait counts as at most this, so that one long pause does not outweigh a window.
    static constexpr Base::Duration LongestWait = Base::milliseconds(250);
    /// Mean wait at which the loop counts as half busy. A loop that works off bursts of twice this length,
    /// such as the parts of a wide gather on a small VM, has this wait when it is half busy, and three times
    /// as much when it is busy for three quarters of the time.
    static constexpr Base::Duration HalfBusyWait = Base::milliseconds(15);

    /// Takes one wait, a few times a second. Returns the figure of the window that ends now, from 0 (idle) to
    /// 1, or nothing while it lasts and after a pause.
    std::optional<double> sample(Base::Instant now, Base::Duration wait);

private:
    std::optional<Base::Instant> lastSample_;
    Base::Instant windowBegin_;
    Base::Duration waits_ {}; ///< Sum of this window.
    int samples_ = 0;
};

} // namespace Registry
