#pragma once

#include "LibBase/Compression.h"
#include "LibWire/Codec.h"

#include <string>
#include <string_view>

namespace Wire {

/// Encodes and compresses a value that is large and repetitive, such as a list of records. It is carried in
/// messages as a string, so that one compression serves many receivers.
template<typename Value>
std::string pack(const Value &value)
{
    const auto bytes = encode(value);
    return Base::compress({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

/// Undoes pack(); MalformedMessage when the bytes are damaged.
template<typename Value>
Base::Result<Value> unpack(std::string_view packed)
{
    return Base::decompress(packed, MaxMessageBytes).and_then([](const std::string &text) {
        return decode<Value>({reinterpret_cast<const std::uint8_t *>(text.data()), text.size()});
    });
}

} // namespace Wire
