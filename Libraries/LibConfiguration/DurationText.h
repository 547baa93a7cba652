#pragma once

#include "LibBase/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace Configuration {

/// Parses "250 us", "6 ms", "1.5 s", "10 min" or "24 h"; the space is optional, the unit is not.
std::optional<Base::Duration> parseDuration(std::string_view text);

/// Formats in the largest unit that needs at most three decimals, for example "1.5 s".
std::string formatDuration(Base::Duration duration);

} // namespace Configuration
