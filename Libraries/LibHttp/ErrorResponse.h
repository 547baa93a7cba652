#pragma once

#include "LibBase/Error.h"
#include "LibHttp/Message.h"

#include <string>

namespace Http {

/// Builds the response for an error: status from the error table and the JSON body of docs/HTTP.md.
Response errorResponse(const Base::Error &error);

/// Builds a 200 response with a JSON body.
Response jsonResponse(std::string body);

} // namespace Http
