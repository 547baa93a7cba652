#include "Services/Control/HttpAnswer.h"

namespace Services {

Http::Response jsonResponse(int status, const nlohmann::json &body)
{
    // Text from operators and entry processes may hold invalid UTF-8, which must not end in an exception.
    const auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return {status, {{"Content-Type", "application/json"}}, text};
}

Http::Response errorResponse(const Base::Error &error, const nlohmann::json &extra)
{
    const auto &answer = Base::errorAnswer(error.kind);
    nlohmann::json body {{"error", answer.name},
                         {"message", answer.message},
                         {"detail", error.detail},
                         {"run", Base::runStateName(answer.runState)}};
    body.update(extra);
    return jsonResponse(answer.httpStatus, body);
}

} // namespace Services
