#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Query {

/// Identifies one caller request in the process that drives QueryCore; unique while the request is open.
using CallerToken = std::uint64_t;

/// A query as accepted from HTTP.
struct CallerQuery
{
    CallerToken token = 0;
    std::string requestId;
    std::string index;
    std::string trafficClass;
    std::string tenant;
    std::optional<Base::Duration> deadline; ///< Time allowed by the caller; the class's deadline caps it.
    bool idempotent = true;
    std::string shard; ///< Given only when `idempotent` is false.
    std::int64_t createdAtMilliseconds = 0; ///< Unix time; given only when `idempotent` is false.
    std::string body;
};

} // namespace Query
