#pragma once

#include <chrono>
#include <cstdint>

namespace Base {

/// Time between two instants, in microseconds.
using Duration = std::chrono::microseconds;

/// Tag of the boot-time clock, which keeps counting while the process or the VM is suspended.
struct BootTime
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootTime, Duration>;
    static constexpr bool is_steady = true; // NOLINT: name required by std::chrono.
};

/// A point on the boot-time clock of one VM. Instants of different VMs are not comparable.
using Instant = BootTime::time_point;

/// Unix time in milliseconds; only for stamps that people or other VMs read.
using WallMilliseconds = std::int64_t;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts a duration to fractional milliseconds for logs and metrics.
constexpr double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

} // namespace Base
