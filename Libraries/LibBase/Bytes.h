#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Base {

using Bytes = std::vector<std::uint8_t>;
using ByteView = std::span<const std::uint8_t>;

inline ByteView asBytes(std::string_view text)
{
    return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

inline std::string_view asText(ByteView bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

inline Bytes toBytes(std::string_view text)
{
    const auto view = asBytes(text);
    return {view.begin(), view.end()};
}

} // namespace Base
