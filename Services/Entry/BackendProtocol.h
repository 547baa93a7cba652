#pragma once

#include "LibBackend/BackendReply.h"
#include "LibBase/Time.h"
#include "LibHttp/Message.h"
#include "LibWire/SubrequestMessages.h"

#include <optional>
#include <string_view>

namespace Services {

/// Builds the HTTP request for one attempt; `left` is the time until its deadline.
Http::Request makeBackendRequest(const Wire::ExecuteSubrequestRequest &request, Base::Duration left);

/// Builds the request that cancels an attempt.
Http::Request makeCancelRequest(std::string_view attemptId);

/// Builds the request for the status page.
Http::Request makeStatusRequest();

/// Reads the headers that decisions depend on; missing or malformed ones stay at their defaults.
Backend::BackendResponse readBackendResponse(Http::Response response);

/// Parses a status page; nothing when it is malformed.
std::optional<Backend::BackendStatus> readBackendStatus(const Http::Response &response);

} // namespace Services
