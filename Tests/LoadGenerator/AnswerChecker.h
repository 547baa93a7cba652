#pragma once

#include "LibConfiguration/Document.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace Load {

/// What the answer to one query must match.
struct ExpectedAnswer
{
    std::string requestId;
    std::string index;
    std::string bodyDigest; ///< Of the body that was sent to every shard.
    std::string shard; ///< The only shard of a non-idempotent query, else empty.
};

/// Checks every part of an answer against the query and the documents.
class AnswerChecker
{
public:
    /// `documents` are all that may be in effect during the run.
    explicit AnswerChecker(std::vector<Configuration::Document> documents);

    /// Returns what is wrong with a 200 answer, or an empty text.
    std::string findFault(const nlohmann::json &answer, const ExpectedAnswer &expected) const;

    /// Returns any one shard of the index in the first document.
    std::string anyShard(const std::string &index, std::uint64_t number) const;

private:
    using Names = std::set<std::string>;

    bool isShardSet(const Names &shards, const ExpectedAnswer &expected) const;

    std::vector<Configuration::Document> documents_;
};

} // namespace Load
