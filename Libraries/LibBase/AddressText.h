#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Base {

/// The two parts of "ip:port".
struct AddressParts
{
    std::string ip; ///< Without brackets.
    std::uint16_t port = 0;
};

/// Parses "127.0.0.1:80" or "[::1]:80"; host names are refused because nothing here resolves them.
std::optional<AddressParts> parseAddress(std::string_view text);

} // namespace Base
