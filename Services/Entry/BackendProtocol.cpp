#include "Services/Entry/BackendProtocol.h"

#include "LibBase/JsonLimits.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Services {

namespace {

constexpr int OkStatus = 200;

template<typename Number>
std::optional<Number> readNumber(std::string_view text)
{
    Number value {};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

Http::Request makeBackendRequest(const Wire::ExecuteSubrequestRequest &request, Base::Duration left)
{
    const auto milliseconds = std::max<std::int64_t>(left / Base::milliseconds(1), 1);
    Http::Request result;
    result.method = "POST";
    result.path = fmt::format("/shards/{}/query", request.shard);
    result.headers = {
        {"X-Request-Id", request.requestId},
        {"X-Attempt-Id", request.attemptId},
        {"X-Index-Version", std::to_string(request.indexVersion)},
        {"X-Deadline-Ms", std::to_string(milliseconds)},
        {"X-Idempotent", request.idempotent ? "1" : "0"},
    };
    result.body = request.body;
    return result;
}

Http::Request makeCancelRequest(std::string_view attemptId)
{
    Http::Request request;
    request.method = "DELETE";
    request.path = fmt::format("/attempts/{}", attemptId);
    return request;
}

Http::Request makeStatusRequest()
{
    Http::Request request;
    request.path = "/status";
    return request;
}

Backend::BackendResponse readBackendResponse(Http::Response response)
{
    Backend::BackendResponse result;
    result.status = response.status;
    result.attemptId = response.header("X-Attempt-Id");
    result.reason = response.header("X-Reason");
    result.statedNotRun = response.header("X-Run") == "0";
    result.indexVersion = readNumber<std::uint64_t>(response.header("X-Index-Version")).value_or(0);
    result.load = readNumber<double>(response.header("X-Load"));
    result.body = std::move(response.body);
    return result;
}

std::optional<Backend::BackendStatus> readBackendStatus(const Http::Response &response)
{
    if (response.status != OkStatus || !Base::isWithinJsonLimits(response.body))
        return std::nullopt;
    try {
        const auto page = nlohmann::json::parse(response.body);
        Backend::BackendStatus status;
        status.versions = page.at("versions").get<std::vector<std::uint64_t>>();
        status.draining = page.value("draining", false);
        status.load = page.value("load", 0.0);
        return status;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Services
