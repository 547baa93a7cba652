#pragma once

#include "LibBase/Bytes.h"
#include "LibBase/Error.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <msgpack.hpp>

namespace Wire {

/// Largest encoded message that a process accepts.
constexpr std::size_t MaxMessageBytes = std::size_t {8} * 1024 * 1024;

/// Deepest nesting that decode() follows.
constexpr std::size_t MaxMessageDepth = 32;

/// Elements of all lists and maps of a message together, which take 24 bytes each while it is decoded.
constexpr std::uint64_t MaxMessageElements = std::uint64_t {1} << 20U;

/// Adds up the sizes that lists and maps declare. Memory for a declared size is reserved before its elements
/// are read, so the sum must not exceed what the message can hold: each element takes a byte at least.
class ElementCounter final : public msgpack::null_visitor
{
public:
    explicit ElementCounter(std::uint64_t limit)
        : limit_(limit)
    {
    }

    bool start_array(std::uint32_t count) { return open(count); }
    bool end_array() { return close(); }
    bool start_map(std::uint32_t count) { return open(std::uint64_t {2} * count); }
    bool end_map() { return close(); }

private:
    bool open(std::uint64_t count)
    {
        elements_ += count;
        return elements_ <= limit_ && ++depth_ <= MaxMessageDepth;
    }
    bool close()
    {
        --depth_;
        return true;
    }

    std::uint64_t limit_;
    std::uint64_t elements_ = 0;
    std::size_t depth_ = 0;
};

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
        const auto *text = reinterpret_cast<const char *>(data.data());
        ElementCounter counter(std::min<std::uint64_t>(data.size(), MaxMessageElements));
        std::size_t counted = 0;
        if (!msgpack::parse(text, data.size(), counted, counter))
            return Base::fail(Base::ErrorKind::MalformedMessage,
                              "message is truncated or has too many elements");
        const msgpack::unpack_limit limit(1U << 20U, 1U << 20U, MaxMessageBytes, MaxMessageBytes,
                                          MaxMessageBytes, MaxMessageDepth);
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(text, data.size(), offset, nullptr, nullptr, limit);
        if (offset != data.size())
            return Base::fail(Base::ErrorKind::MalformedMessage, "message has trailing bytes");
        return handle.get().as<Message>();
    } catch (const std::exception &exception) {
        return Base::fail(Base::ErrorKind::MalformedMessage, exception.what());
    }
}

} // namespace Wire
