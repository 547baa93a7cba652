#include "LibTenant/ConfigurationCurrency.h"

#include <algorithm>
#include <utility>

namespace Tenant {

void ConfigurationCurrency::hold(std::uint64_t version)
{
    // A node that lost its log starts again with an older version, for which nothing was confirmed.
    if (version < held_)
        confirmedAt_.reset();
    held_ = version;
    if (awaitedAt_ && awaitedVersion_ <= held_)
        confirm(awaitedVersion_, *std::exchange(awaitedAt_, std::nullopt));
}

void ConfigurationCurrency::confirm(std::uint64_t version, Base::Instant at)
{
    if (version <= held_) {
        confirmedAt_ = std::max(confirmedAt_.value_or(at), at);
    } else if (!awaitedAt_ || at > *awaitedAt_) {
        awaitedVersion_ = version;
        awaitedAt_ = at;
    }
}

std::optional<std::uint32_t> ConfigurationCurrency::confirmedBeforeMs(Base::Instant arrivedAt) const
{
    if (!confirmedAt_)
        return std::nullopt;
    const auto before = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(Base::Duration::zero(), arrivedAt - *confirmedAt_));
    if (before.count() > UINT32_MAX)
        return std::nullopt;
    return static_cast<std::uint32_t>(before.count());
}

} // namespace Tenant
