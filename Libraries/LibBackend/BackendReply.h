#pragma once

#include "LibBase/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Backend {

/// The parts of a backend server's HTTP response that decisions depend on.
struct BackendResponse
{
    int status = 0;
    std::string attemptId; ///< X-Attempt-Id.
    std::string reason; ///< X-Reason: "shed" or "draining".
    bool statedNotRun = false; ///< X-Run: 0.
    std::uint64_t indexVersion = 0; ///< X-Index-Version.
    std::optional<double> load; ///< X-Load.
    std::string body;
};

/// An exchange without a response.
struct BackendFailure
{
    Base::Error error;
    bool sent = true; ///< False only when provably no byte of the request left this process.
};

using BackendReply = tl::expected<BackendResponse, BackendFailure>;

/// Content of a server's status page.
struct BackendStatus
{
    std::vector<std::uint64_t> versions;
    bool draining = false;
    double load = 0.0;
};

/// What a reply means for the sub-request.
struct Verdict
{
    bool ok = false;
    Base::Error error;
    bool notRun = false; ///< Proven.
};

/// Interprets a reply to the attempt `attemptId`.
Verdict interpret(const BackendReply &reply, std::string_view attemptId);

} // namespace Backend
