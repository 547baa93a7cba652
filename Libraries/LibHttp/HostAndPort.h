#pragma once

#include "LibBase/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Http {

/// The two parts of "ip:port" or "[ip]:port".
struct HostAndPort
{
    std::string host; ///< Without brackets.
    std::uint16_t port = 0;

    /// Fails with SettingInvalid.
    static Base::Result<HostAndPort> parse(std::string_view text);

    /// Formats as parse() accepts it.
    std::string toString() const;
};

} // namespace Http
