#pragma once

#include "LibEdge/CallerServer.h"
#include "LibMetrics/Registry.h"
#include "Services/Common/CallerGuard.h"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Services {

/// Builds the state of a process as StatusReport reads it.
using MakeStatus = std::function<nlohmann::json()>;

/// Serves the metrics of a process as text, and its status as JSON at `/v1/status`, to operators. Null if
/// `port` is empty.
Base::Result<std::unique_ptr<Edge::CallerServer>> serveMetrics(Edge::Loop &loop,
                                                               const Metrics::Registry &metrics,
                                                               const std::string &ip, const std::string &port,
                                                               MakeStatus makeStatus, CallerGuard &guard);

} // namespace Services
