#include "LibForward/CallerDelay.h"

namespace Forward {

namespace {

/// Callers and gateways are in one region; used where the kernel tells nothing.
constexpr Base::Duration AssumedRoundTrip = Base::milliseconds(8);
/// The caller's own time, and the accuracy of timers on a VM with a small share of a processor.
constexpr Base::Duration Margin = Base::milliseconds(3);
/// Round trips of a request on a new connection, the handshake included.
constexpr int TripsWithHandshake = 2;
/// Callers keep a look-up for five seconds and send about one request a second.
constexpr double LookUpShare = 1.0 / 6.0;
/// A new connection follows a look-up, the loss of another one or the server's close.
constexpr double LookUpShareOnFirst = 0.5;

} // namespace

CallerDelay estimateCallerDelay(std::optional<Base::Duration> roundTrip, bool firstOnConnection)
{
    const auto trip = roundTrip.value_or(AssumedRoundTrip);
    CallerDelay delay;
    delay.network = Margin + (firstOnConnection ? TripsWithHandshake * trip : trip);
    delay.lookUp = TripsWithHandshake * trip;
    delay.lookUpShare = firstOnConnection ? LookUpShareOnFirst : LookUpShare;
    return delay;
}

} // namespace Forward
