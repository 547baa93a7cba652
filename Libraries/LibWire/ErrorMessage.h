#pragma once

#include "LibBase/Error.h"
#include "LibWire/Codec.h"

MSGPACK_ADD_ENUM(Base::ErrorKind);

namespace Wire {

/// An error kind on the wire; a kind that this build does not know decodes as Internal.
struct ErrorMessage
{
    std::uint8_t kind = 0;
    std::string detail;

    MSGPACK_DEFINE(kind, detail)
};

inline ErrorMessage toMessage(const Base::Error &error)
{
    return {static_cast<std::uint8_t>(error.kind), error.detail.substr(0, Base::MaxErrorDetailBytes)};
}

inline Base::Error fromMessage(const ErrorMessage &message)
{
    const bool known = message.kind < static_cast<std::uint8_t>(Base::ErrorKind::Count);
    return {known ? static_cast<Base::ErrorKind>(message.kind) : Base::ErrorKind::Internal,
            message.detail.substr(0, Base::MaxErrorDetailBytes)};
}

} // namespace Wire
