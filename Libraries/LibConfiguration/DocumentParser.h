#pragma once

#include "LibConfiguration/Document.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Configuration {

/// One mistake of a document.
struct Mistake
{
    std::uint32_t line = 0; ///< 1-based; 0 when no line applies.
    std::string path; ///< For example "index[0].servers[3].address".
    std::string value; ///< As found; empty when missing.
    std::string accepted; ///< What would be accepted.

    bool operator==(const Mistake &) const = default;
};

struct ParseOutcome
{
    std::optional<Document> document; ///< Set only when there is no mistake.
    std::vector<Mistake> mistakes; ///< In line order; of very many, the first ones and one that says so.
};

/// Parses and validates the TOML text of a document; unknown keys are mistakes.
ParseOutcome parseDocument(std::string_view text);

/// Formats one mistake as "line 12: path: value … is not accepted; …".
std::string describe(const Mistake &mistake);

/// Names the content of a document: SHA-256 of its text.
std::string documentHash(std::string_view text);

} // namespace Configuration
