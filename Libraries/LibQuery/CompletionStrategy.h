#pragma once

#include "LibBase/Time.h"
#include "LibConfiguration/Document.h"
#include "LibQuery/QueryRow.h"

#include <optional>

namespace Query {

/// Decides when a query is answered although shards are pending. The deadline always ends a query.
class CompletionStrategy
{
public:
    virtual ~CompletionStrategy() = default;

    /// Returns the instant before the deadline at which the answer may become due without a further reply.
    virtual std::optional<Base::Instant> cutoff(const QueryRow &query) const = 0;
    /// Returns whether the answer is due now.
    virtual bool isDue(Base::Instant now, const QueryRow &query) const = 0;
};

/// Returns the strategy of a class; it has static lifetime.
const CompletionStrategy &completionStrategy(Configuration::CompletionPolicy policy);

} // namespace Query
