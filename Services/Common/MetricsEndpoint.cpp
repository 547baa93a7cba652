#include "Services/Common/MetricsEndpoint.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace Services {

namespace {

/// The same as on control processes, so that one command asks them all.
constexpr std::string_view StatusPath = "/v1/status";

} // namespace

Base::Result<std::unique_ptr<Edge::CallerServer>> serveMetrics(Edge::Loop &loop,
                                                               const Metrics::Registry &metrics,
                                                               const std::string &ip, const std::string &port,
                                                               MakeStatus makeStatus, CallerGuard &guard)
{
    if (port.empty())
        return std::unique_ptr<Edge::CallerServer>();
    return serveAt(loop, guard, Door::Metrics, ip + ":" + port,
                   [&metrics, makeStatus = std::move(makeStatus)](const Edge::RequestMessage &request,
                                                                  const Edge::CallerExchange &exchange) {
                       Edge::ResponseMessage response;
                       if (request.path() == StatusPath) {
                           response.headers.emplace_back("Content-Type", "application/json");
                           response.body = makeStatus().dump();
                           return exchange.respond(std::move(response));
                       }
                       response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
                       response.body = metrics.prometheusText();
                       exchange.respond(std::move(response));
                   });
}

} // namespace Services
