#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>

namespace Tenant {

/// The latest instant at which a process knows that no configuration newer than the one it holds had been
/// accepted. Late and reordered confirmations are harmless, because each stays true. No I/O.
class ConfigurationCurrency
{
public:
    /// Sets the version held. What was confirmed for an older version holds for a newer one as well.
    void hold(std::uint64_t version);

    /// Records that no configuration above `version` had been accepted at `at`. A confirmation of a version
    /// that is not held yet counts from when it is.
    void confirm(std::uint64_t version, Base::Instant at);

    std::optional<Base::Instant> confirmedAt() const { return confirmedAt_; }

    /// Milliseconds, rounded up, from confirmedAt() to `arrivedAt`; 0 if that is earlier. The sender of a
    /// request that arrived then may subtract them from the instant at which it sent the request.
    std::optional<std::uint32_t> confirmedBeforeMs(Base::Instant arrivedAt) const;

private:
    std::uint64_t held_ = 0;
    std::optional<Base::Instant> confirmedAt_;
    std::uint64_t awaitedVersion_ = 0; ///< Of `awaitedAt_`; above `held_` while that is set.
    std::optional<Base::Instant> awaitedAt_;
};

} // namespace Tenant
