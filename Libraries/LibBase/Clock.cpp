#include "LibBase/Clock.h"

#include <ctime>

namespace Base {

Instant SystemClock::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceBoot = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return Instant(std::chrono::duration_cast<Duration>(sinceBoot));
}

WallMilliseconds SystemClock::wallNow() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace Base
