#pragma once

#include "LibAdapter/PlatformAdapter.h"
#include "LibEdge/RequestMessage.h"
#include "LibRoute/RouteTable.h"

#include <string>

namespace Services {

/// Request line and headers common to all attempts: the caller's headers without connection headers and those
/// that this process sets. If requests need keys, the caller's key is left out, and the name of
/// `tenant` is the only one that a backend server gets.
std::string forwardedHead(const Edge::RequestMessage &request, const Adapter::HeaderNames &names,
                          const Route::Configuration &configuration, const Route::TenantRule *tenant);

} // namespace Services
