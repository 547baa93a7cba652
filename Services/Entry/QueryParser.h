#pragma once

#include "LibBase/Error.h"
#include "LibQuery/CallerQuery.h"

#include <string_view>

namespace Services {

/// Parses the JSON body of POST /v1/query as described in docs/HTTP.md; the token stays 0. Fails with
/// InvalidRequest and a detail that names the field and what is accepted.
Base::Result<Query::CallerQuery> parseQuery(std::string_view body);

} // namespace Services
