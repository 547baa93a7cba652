#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Services {

/// Writes a gateway's explanation of a request for people. Fields that are missing show as null.
std::string explanationText(const nlohmann::json &explanation);

} // namespace Services
