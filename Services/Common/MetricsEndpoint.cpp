#include "Services/Common/MetricsEndpoint.h"

#include "LibBase/Digest.h"
#include "Services/Control/HttpAnswer.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace Services {

namespace {

/// The same as on control processes, so that one command asks them all.
constexpr std::string_view StatusPath = "/v1/status";

bool isAuthorized(const OperatorCall &call, const Edge::RequestMessage &request)
{
    return Base::constantTimeEquals(request.header("Authorization"), "Bearer " + call.key);
}

bool isCall(const OperatorCall &call, const Edge::RequestMessage &request)
{
    return !call.path.empty() && request.path() == call.path;
}

/// A body without a stated length is bounded by the listener, and judged once it is there.
bool mayFit(const Edge::RequestMessage &head)
{
    const auto text = head.header("Content-Length");
    std::size_t length = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    return text.empty() || (parsed.ec == std::errc() && length <= OperatorCall::MaxBodyBytes);
}

Http::Response answerCall(const OperatorCall &call, const Edge::RequestMessage &request)
{
    if (!isAuthorized(call, request))
        return errorResponse({Base::ErrorKind::Unauthorized, {}});
    if (request.method != "POST")
        return errorResponse({Base::ErrorKind::InvalidRequest, "accepted: POST"});
    if ((request.hasBody && request.bodyDropped) || request.body.size() > OperatorCall::MaxBodyBytes)
        return errorResponse({Base::ErrorKind::RequestTooLarge, "accepted: a body of at most 16 KiB"});
    const auto answer = call.answer(request.body);
    return answer ? jsonResponse(200, *answer) : errorResponse(answer.error());
}

} // namespace

Base::Result<std::unique_ptr<Edge::CallerServer>>
serveMetrics(Edge::Loop &loop, const Metrics::Registry &metrics, const std::string &ip,
             const std::string &port, MakeStatus makeStatus, CallerGuard &guard, OperatorCall call)
{
    if (port.empty())
        return std::unique_ptr<Edge::CallerServer>();
    const auto shared = std::make_shared<const OperatorCall>(std::move(call));
    return serveAt(
        loop, guard, Door::Metrics, ip + ":" + port,
        [&metrics, makeStatus = std::move(makeStatus), shared](const Edge::RequestMessage &request,
                                                               const Edge::CallerExchange &exchange) {
            Edge::ResponseMessage response;
            if (isCall(*shared, request)) {
                auto answer = answerCall(*shared, request);
                response.status = answer.status;
                response.headers = std::move(answer.headers);
                response.body = std::move(answer.body);
                return exchange.respond(std::move(response));
            }
            if (request.path() == StatusPath) {
                response.headers.emplace_back("Content-Type", "application/json");
                response.body = makeStatus().dump();
                return exchange.respond(std::move(response));
            }
            response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
            response.body = metrics.prometheusText();
            exchange.respond(std::move(response));
        },
        [shared](const Edge::RequestMessage &head) {
            return isCall(*shared, head) && isAuthorized(*shared, head) && mayFit(head);
        });
}

} // namespace Services
