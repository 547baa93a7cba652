#include "LibPeer/ErrorName.h"

namespace Peer {

Base::ErrorKind errorKindFromName(std::string_view name)
{
    for (std::uint8_t index = 0; index < static_cast<std::uint8_t>(Base::ErrorKind::Count); ++index) {
        const auto kind = static_cast<Base::ErrorKind>(index);
        if (Base::errorName(kind) == name)
            return kind;
    }
    return Base::ErrorKind::Internal;
}

} // namespace Peer
