#pragma once

#include "LibEdge/CallerServer.h"
#include "LibMetrics/Registry.h"

#include <memory>
#include <string>

namespace Services {

/// Serves the metrics of a process as Prometheus text on every path of ip:port. Returns null without a port.
Base::Result<std::unique_ptr<Edge::CallerServer>> serveMetrics(Edge::Loop &loop,
                                                               const Metrics::Registry &metrics,
                                                               const std::string &ip,
                                                               const std::string &port);

} // namespace Services
