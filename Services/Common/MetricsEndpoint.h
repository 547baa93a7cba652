#pragma once

#include "LibEdge/CallerServer.h"
#include "LibMetrics/Registry.h"
#include "Services/Common/CallerGuard.h"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Services {

/// Builds the state of a process as StatusReport reads it.
using MakeStatus = std::function<nlohmann::json()>;

/// A further call at the address of the metrics, for operators who name the deployment's key.
struct OperatorCall
{
    /// A larger body is refused.
    static constexpr std::size_t MaxBodyBytes = std::size_t {16} * 1024;

    std::string path; ///< Empty for none.
    std::string key;
    /// Makes the answer to a POST with this body.
    std::function<Base::Result<nlohmann::json>(std::string_view body)> answer;
};

/// Serves the metrics of a process as text, and its status as JSON at `/v1/status`, to operators. Null if
/// `port` is empty.
Base::Result<std::unique_ptr<Edge::CallerServer>>
serveMetrics(Edge::Loop &loop, const Metrics::Registry &metrics, const std::string &ip,
             const std::string &port, MakeStatus makeStatus, CallerGuard &guard, OperatorCall call = {});

} // namespace Services
