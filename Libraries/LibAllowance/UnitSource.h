#pragma once

#include "LibBase/Time.h"

#include <optional>
#include <string_view>

namespace Allowance {

/// Gives units of bounded rates at once, without waiting, to whoever can do something else without one.
class UnitSource
{
public:
    virtual ~UnitSource() = default;

    /// Spends a unit of `key` and returns until when it may be used, if one is in stock. Otherwise it notes
    /// the demand, so that units are fetched for later calls. A unit lets one attempt be sent at once.
    virtual std::optional<Base::Instant> take(Base::Instant now, std::string_view key) = 0;

    /// Whether take() would find a unit in stock. Spends nothing and notes no demand.
    virtual bool has(Base::Instant now, std::string_view key) const = 0;

    /// Gives a unit back whose attempt was certainly not run; `validUntil` is what take() returned.
    virtual void giveBack(Base::Instant now, std::string_view key, Base::Instant validUntil) = 0;
};

} // namespace Allowance
