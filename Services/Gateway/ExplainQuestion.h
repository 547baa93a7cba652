#pragma once

#include "LibBase/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Services {

/// Where operators ask a gateway what would be done with a request.
constexpr std::string_view ExplainPath = "/v1/explain";

/// A request that an operator wants explained. Its key is neither kept nor shown.
struct ExplainQuestion
{
    std::string host;
    std::string path; ///< May have a query.
    std::optional<std::string> key;
    std::uint64_t size = 0; ///< Bytes of its body.
};

/// Whether a caller's key can be asked about: printable ASCII of at most 4095 bytes.
bool isCallerKey(std::string_view key);

std::string formatExplainQuestion(const ExplainQuestion &question);

/// InvalidRequest names every field that is wrong, and never its value.
Base::Result<ExplainQuestion> parseExplainQuestion(std::string_view text);

} // namespace Services
