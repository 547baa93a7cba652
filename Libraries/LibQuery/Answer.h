#pragma once

#include "LibBase/Error.h"
#include "LibWire/ClaimMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Query {

/// A shard that the answer does not cover.
struct LackingShard
{
    std::string shard;
    Base::ErrorKind kind = Base::ErrorKind::Internal; ///< Error of the last attempt.
    Base::RunState run = Base::RunState::MayHaveRun; ///< Worst state over all attempts on the shard.

    bool operator==(const LackingShard &) const = default;
};

/// A reply to a query that covers at least one shard. Every shard is either in `results` or in `lacking`.
struct Answer
{
    std::string requestId;
    std::uint64_t indexVersion = 0; ///< All results are from this version.
    std::uint64_t revision = 0; ///< Configuration revision whose shard map was used.
    std::map<std::string, std::string> results; ///< Covered shard → body of the backend server.
    std::vector<LackingShard> lacking; ///< In the order of the shard map.

    bool complete() const { return lacking.empty(); }
};

/// A query that ended without a result.
struct Failure
{
    std::string requestId;
    Base::Error error;
    /// Worst state over all attempts; overrides the default of the error kind.
    Base::RunState run = Base::RunState::NotRun;
    std::vector<LackingShard> lacking; ///< Empty when the query was not planned.
};

/// How a query ends: with an answer, with an error, or with the outcome recorded earlier for its id.
using Completion = std::variant<Answer, Failure, Wire::OutcomeRecord>;

/// Renders the HTTP status and JSON body of docs/HTTP.md; an OutcomeRecord is returned unchanged.
Wire::OutcomeRecord renderCompletion(const Completion &completion);

/// Returns whether a shard's body is valid UTF-8 and so can be part of a JSON answer.
bool isRenderable(const std::string &body);

} // namespace Query
