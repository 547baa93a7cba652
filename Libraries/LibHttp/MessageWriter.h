#pragma once

#include "LibHttp/Message.h"

#include <string>
#include <string_view>

namespace Http {

/// Formats a whole request with its Content-Length; `host` goes into the Host header.
std::string formatRequest(const Request &request, std::string_view host);

/// Formats a whole response with its Content-Length; `closes` announces that the connection ends after it.
std::string formatResponse(const Response &response, std::string_view statusText, bool closes);

} // namespace Http
