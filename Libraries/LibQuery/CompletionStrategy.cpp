#include "LibQuery/CompletionStrategy.h"

namespace Query {

namespace {

/// Answers when no shard is pending.
class CoverageCompletion final : public CompletionStrategy
{
public:
    std::optional<Base::Instant> cutoff(const QueryRow &) const override { return std::nullopt; }

    bool isDue(Base::Instant now, const QueryRow &query) const override
    {
        return query.pendingCount == 0 || now >= query.deadline;
    }
};

/// Answers at the latency target, or at the first result after it.
class LatencyCompletion final : public CompletionStrategy
{
public:
    std::optional<Base::Instant> cutoff(const QueryRow &query) const override
    {
        return query.acceptedAt + query.trafficClass->latencyTarget;
    }

    bool isDue(Base::Instant now, const QueryRow &query) const override
    {
        if (query.pendingCount == 0 || now >= query.deadline)
            return true;
        return query.coveredCount > 0 && now >= *cutoff(query);
    }
};

} // namespace

const CompletionStrategy &completionStrategy(Configuration::CompletionPolicy policy)
{
    static const CoverageCompletion Coverage;
    static const LatencyCompletion Latency;
    if (policy == Configuration::CompletionPolicy::Latency)
        return Latency;
    return Coverage;
}

} // namespace Query
