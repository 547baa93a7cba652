#pragma once

#include "LibQuery/Answer.h"
#include "LibQuery/AttemptTable.h"
#include "LibQuery/CallerQuery.h"
#include "LibQuery/ShardMap.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Query {

enum class ShardState : std::uint8_t { Pending, Covered, Lacking };

/// One shard of one query.
struct ShardRow
{
    const MappedShard *shard = nullptr;
    ShardState state = ShardState::Pending;
    std::vector<AttemptKey> openAttempts;
    std::vector<ServerKey> tried; ///< Servers that had an attempt since the last backoff.
    std::string body; ///< Of a covered shard.
    std::optional<Base::ErrorKind> lastError;
    Base::RunState worst = Base::RunState::NotRun; ///< Over all closed attempts of this plan.
    Base::RunState earlierWorst = Base::RunState::NotRun; ///< Over all attempts of the plan before.
    std::uint32_t chargedRetries = 0;
    std::uint32_t freeRetries = 0;
    std::uint32_t hedges = 0;
    std::optional<Base::Instant> hedgeAt;
    std::optional<Base::Instant> retryAt;

    void worsen(Base::RunState run) { worst = std::max(worst, run); }
};

/// Steps of a query. Idempotent queries are only ever Running or Done.
enum class QueryStage : std::uint8_t {
    Claiming, ///< Waits for the claim's reply; nothing is dispatched.
    Running,
    Recording, ///< Waits until the outcome is recorded.
    Releasing, ///< Waits until the claim of a request that was not run is removed.
    Done
};

/// One open query.
struct QueryRow
{
    QueryId id = 0;
    CallerQuery caller;
    bool callerOpen = true; ///< False once the caller has its reply or is gone.
    std::shared_ptr<const ShardMap> map; ///< Pinned; replaced as a whole by a re-plan.
    std::shared_ptr<const ShardMap> admittedUnder; ///< Keeps `trafficClass` alive.
    const Configuration::TrafficClass *trafficClass = nullptr;
    Base::Instant acceptedAt {};
    Base::Instant deadline {};
    std::uint64_t indexVersion = 0;
    Base::Duration typicalLatency {}; ///< Assumed for servers without an estimate.
    std::vector<ShardRow> shards;
    std::size_t pendingCount = 0;
    std::size_t coveredCount = 0;
    bool replanned = false;
    bool overloadSeen = false;

    QueryStage stage = QueryStage::Running;
    std::string bodyDigest; ///< Of a non-idempotent request.
    std::optional<Completion> held; ///< Given to the caller once the control log has confirmed.
    std::optional<Completion> heldOtherwise; ///< Given when it has not, or at the deadline.

    void cover(ShardRow &row, std::string body)
    {
        row.body = std::move(body);
        row.state = ShardState::Covered;
        --pendingCount;
        ++coveredCount;
    }

    void giveUp(ShardRow &row)
    {
        row.state = ShardState::Lacking;
        --pendingCount;
    }
};

} // namespace Query
