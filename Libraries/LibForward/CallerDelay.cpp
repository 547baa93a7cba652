#include "LibForward/CallerDelay.h"

namespace Forward {

namespace {

/// Used if the kernel has no measurement; callers and gateways are in one region.
constexpr Base::Duration AssumedRoundTrip = Base::milliseconds(8);
/// Covers the caller's processing time and timer inaccuracy on a VM with a small share of a processor.
constexpr Base::Duration CallerMargin = Base::milliseconds(3);
/// Round trips of a request on a new connection, the handshake included.
constexpr int RoundTripsWithHandshake = 2;
/// Callers cache a look-up for five seconds and send about one request per second.
constexpr double LookUpShare = 1.0 / 6.0;
/// A new connection follows a look-up, the loss of another connection, or its close by the server.
constexpr double LookUpShareOnNewConnection = 0.5;

} // namespace

CallerDelay estimateCallerDelay(std::optional<Base::Duration> roundTrip, bool firstOnConnection)
{
    const auto trip = roundTrip.value_or(AssumedRoundTrip);
    CallerDelay delay;
    delay.network = CallerMargin + (firstOnConnection ? RoundTripsWithHandshake * trip : trip);
    delay.lookUp = RoundTripsWithHandshake * trip;
    delay.lookUpShare = firstOnConnection ? LookUpShareOnNewConnection : LookUpShare;
    return delay;
}

} // namespace Forward
