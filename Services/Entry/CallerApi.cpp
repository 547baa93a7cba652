#include "Services/Entry/CallerApi.h"

#include "LibHttp/ErrorResponse.h"
#include "Services/Entry/QueryParser.h"

#include <future>

namespace Services {

using Base::ErrorKind;

namespace {

/// Waits for a value that the decision thread sets. The promise is broken when that thread has ended.
template<typename Value>
Base::Result<Value> waitFor(std::future<Value> future)
{
    try {
        return future.get();
    } catch (const std::future_error &) {
        return Base::fail(ErrorKind::ShuttingDown);
    }
}

} // namespace

Http::Response CallerApi::handle(const Http::Request &request)
{
    const bool isGet = request.method == "GET";
    if (request.method == "POST" && request.path == "/v1/query")
        return query(request);
    if (isGet && request.path == "/v1/entries")
        return Http::jsonResponse(context_.directory->entriesJson());
    if (isGet && request.path == "/v1/status")
        return status();
    if (isGet && request.path == "/metrics")
        return metrics();
    return Http::errorResponse({ErrorKind::NotFound, request.method + " " + request.path});
}

Http::Response CallerApi::query(const Http::Request &request)
{
    const auto arrivedAt = clock_.now();
    if (!context_.lease->isValid())
        return Http::errorResponse({ErrorKind::LeaseExpired, {}});
    auto parsed = parseQuery(request.body);
    if (!parsed)
        return Http::errorResponse(parsed.error());
    auto promise = std::make_shared<std::promise<Query::Completion>>();
    auto future = promise->get_future();
    context_.events->post(
        [this, query = std::move(*parsed), arrivedAt, promise = std::move(promise)]() mutable {
            loop_->acceptQuery(std::move(query), arrivedAt,
                               [promise = std::move(promise)](Query::Completion completion) {
                                   promise->set_value(std::move(completion));
                               });
        });
    const auto completion = waitFor(std::move(future));
    if (!completion)
        return Http::errorResponse(completion.error());
    auto rendered = Query::renderCompletion(*completion);
    auto response = Http::jsonResponse(std::move(rendered.body));
    response.status = rendered.httpStatus;
    return response;
}

Http::Response CallerApi::status()
{
    auto promise = std::make_shared<std::promise<std::string>>();
    auto future = promise->get_future();
    context_.events->post(
        [this, promise = std::move(promise)] { promise->set_value(loop_->describeStatus()); });
    auto status = waitFor(std::move(future));
    return status ? Http::jsonResponse(std::move(*status)) : Http::errorResponse(status.error());
}

Http::Response CallerApi::metrics() const
{
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, context_.metrics->prometheusText()};
}

} // namespace Services
