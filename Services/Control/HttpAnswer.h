#pragma once

#include "LibBase/Error.h"
#include "LibHttp/Message.h"

#include <nlohmann/json.hpp>

namespace Services {

/// Builds a JSON response.
Http::Response jsonResponse(int status, const nlohmann::json &body);

/// Builds the response for an error; `extra` fields are added to its body.
Http::Response errorResponse(const Base::Error &error,
                             const nlohmann::json &extra = nlohmann::json::object());

} // namespace Services
