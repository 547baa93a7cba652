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
    std::vector<ServerKey> triedServers; ///< Servers that had an attempt since the last backoff.
    std::string body; ///< Of a covered shard.
    std::optional<Base::ErrorKind> lastError;
    Base::RunState worstRunState = Base::RunState::NotRun; ///< Over all closed attempts of this plan.
    Base::RunState previousPlanRunState = Base::RunState::NotRun; ///< Over all attempts of the previous plan.
    std::uint32_t chargedRetries = 0;
    std::uint32_t freeRetries = 0;
    std::uint32_t hedges = 0;
    std::optional<Base::Instant> hedgeAt;
    std::optional<Base::Instant> retryAt;

    void raiseRunState(Base::RunState run) { worstRunState = std::max(worstRunState, run); }
};

/// Stages of a query. Idempotent queries are only ever Running or Done.
enum class QueryStage : std::uint8_t {
    Claiming, ///< Waits for the claim's reply; nothing is dispatched.
    Running,
    Recording, ///< Waits until the outcome is recorded.
    Releasing, ///< Waits until the claim of a request that did not run is removed.
    Done
};

/// One open query.
struct QueryRow
{
    QueryId id = 0;
    CallerQuery caller;
    bool callerWaiting = true; ///< False once the caller has its reply or has disconnected.
    std::shared_ptr<const ShardMap> map; ///< Pinned; replaced when the query is planned again.
    std::shared_ptr<const ShardMap> admissionMap; ///< Keeps `trafficClass` alive.
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
    std::uint64_t claimId = 0; ///< Number of the granted claim; 0 while there is none.
    std::optional<Completion> completionIfConfirmed; ///< Reply once the control log has confirmed the call.
    std::optional<Completion> completionIfUnconfirmed; ///< Reply when it has not, or at the deadline.

    void markCovered(ShardRow &row, std::string body)
    {
        row.body = std::move(body);
        row.state = ShardState::Covered;
        --pendingCount;
        ++coveredCount;
    }

    void markLacking(ShardRow &row)
    {
        row.state = ShardState::Lacking;
        --pendingCount;
    }
};

} // namespace Query
