#pragma once

#include "LibBase/Time.h"
#include "LibForward/Backend.h"

#include <optional>

namespace Forward {

/// Gives units of the rate of requests that a cold server tolerates from all gateways together.
class ColdUnits
{
public:
    virtual ~ColdUnits() = default;

    /// Spends a unit for one attempt at the server, and returns until when it may be used. Empty if none is
    /// in stock; then nothing may be sent there now.
    virtual std::optional<Base::Instant> take(Base::Instant now, const Backend &server) = 0;

    /// Whether take() would find a unit. Spends nothing and notes no demand.
    virtual bool has(Base::Instant now, const Backend &server) const = 0;

    /// Gives a unit back whose attempt did not count at the server; `validUntil` is what take() returned.
    virtual void giveBack(Base::Instant now, const Backend &server, Base::Instant validUntil) = 0;
};

} // namespace Forward
