#include "Services/Common/MetricsEndpoint.h"

namespace Services {

Base::Result<std::unique_ptr<Edge::CallerServer>> serveMetrics(Edge::Loop &loop,
                                                               const Metrics::Registry &metrics,
                                                               const std::string &ip, const std::string &port)
{
    if (port.empty())
        return std::unique_ptr<Edge::CallerServer>();
    return Edge::CallerServer::create(
        loop, ip + ":" + port,
        [&metrics](const Edge::RequestMessage &, const Edge::CallerExchange &exchange) {
            Edge::ResponseMessage response;
            response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
            response.body = metrics.prometheusText();
            exchange.respond(response);
        });
}

} // namespace Services
