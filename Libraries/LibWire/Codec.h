#pragma once

#include "LibBase/Bytes.h"
#include "LibBase/Error.h"

#include <exception>
#include <msgpack.hpp>

namespace Wire {

/// Largest encoded message that a process accepts.
constexpr std::size_t MaxMessageBytes = std::size_t {8} * 1024 * 1024;

/// Deepest nesting that decode() follows.
constexpr std::size_t MaxMessageDepth = 32;

/// Encodes a message type that declares its fields with MSGPACK_DEFINE.
template<typename Message>
Base::Bytes encode(const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    const auto *begin = reinterpret_cast<const std::uint8_t *>(buffer.data());
    return {begin, begin + buffer.size()};
}

/// Decodes a message; malformed, truncated, oversized or trailing input gives MalformedMessage.
template<typename Message>
Base::Result<Message> decode(Base::ByteView data)
{
    if (data.size() > MaxMessageBytes)
        return Base::fail(Base::ErrorKind::MalformedMessage, "message exceeds the size limit");
    try {
        const msgpack::unpack_limit limit(1U << 20U, 1U << 20U, MaxMessageBytes, MaxMessageBytes,
                                          MaxMessageBytes, MaxMessageDepth);
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(reinterpret_cast<const char *>(data.data()), data.size(), offset,
                                            nullptr, nullptr, limit);
        if (offset != data.size())
            return Base::fail(Base::ErrorKind::MalformedMessage, "message has trailing bytes");
        return handle.get().as<Message>();
    } catch (const std::exception &exception) {
        return Base::fail(Base::ErrorKind::MalformedMessage, exception.what());
    }
}

} // namespace Wire
