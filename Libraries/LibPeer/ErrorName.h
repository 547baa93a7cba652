#pragma once

#include "LibBase/ErrorKind.h"

#include <string_view>

namespace Peer {

/// Header of a failed reply with the stable name of the error kind; the body is the detail.
constexpr std::string_view ErrorHeader = "error-kind";

/// Returns the kind with this stable name; a name that this build does not know gives Internal.
Base::ErrorKind errorKindFromName(std::string_view name);

} // namespace Peer
