#include "LibHttp/ErrorResponse.h"

#include <nlohmann/json.hpp>

namespace Http {

namespace {

const Header JsonType {"Content-Type", "application/json"};

} // namespace

Response errorResponse(const Base::Error &error)
{
    const auto &answer = Base::errorAnswer(error.kind);
    const nlohmann::ordered_json body {
        {"error", answer.name},
        {"message", answer.message},
        {"detail", error.detail},
        {"run", Base::runStateName(answer.runState)},
    };
    // Details may quote input that is not valid UTF-8.
    auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return {answer.httpStatus, {JsonType}, std::move(text)};
}

Response jsonResponse(std::string body)
{
    return {200, {JsonType}, std::move(body)};
}

} // namespace Http
