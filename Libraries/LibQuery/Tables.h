#pragma once

#include "LibQuery/AdmissionTable.h"
#include "LibQuery/AttemptTable.h"
#include "LibQuery/ExtraLoadBudget.h"
#include "LibQuery/HedgeWinRate.h"
#include "LibQuery/LatencyRecord.h"
#include "LibQuery/QueryCore.h"
#include "LibQuery/QueryRow.h"
#include "LibQuery/ReplicaChooser.h"
#include "LibQuery/ServerTable.h"
#include "LibQuery/ShardMap.h"
#include "LibQuery/TimerQueue.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Query {

/// All state of QueryCore. The systems hold a reference to it and have no state of their own.
struct Tables
{
    explicit Tables(QueryCoreOptions coreOptions)
        : options(std::move(coreOptions))
        , chooser(servers, options.seed)
        , attempts(options.entryId, options.incarnation)
    {
    }

    QueryCoreOptions options;
    ServerTable servers;
    ReplicaChooser chooser;
    AttemptTable attempts;
    std::unordered_map<QueryId, QueryRow> queries; ///< Rows keep their address until they are erased.
    std::unordered_map<CallerToken, QueryId> queryByToken;
    std::unordered_map<std::string, QueryId> openRequestIds; ///< Non-idempotent requests only.
    /// Non-idempotent requests that this process dispatched and whose outcome is not known to be recorded.
    /// When the log grants such a claim again, the request must not be dispatched a second time.
    /// FIXME: Drop ids that are older than the retention window.
    std::unordered_map<std::string, Base::Instant> dispatchedRequestIds;
    std::map<std::string, LatencyRecord> latencyByIndex;
    std::map<std::string, ExtraLoadBudget> budgetByClass;
    std::map<std::string, HedgeWinRate> hedgeWinRateByClass;
    AdmissionTable admission;
    TimerQueue timers;
    std::shared_ptr<const ShardMap> map; ///< Current map; null before the first document.
    std::unordered_map<std::string, std::string> peerAddresses; ///< Entry id → address.
    std::uint64_t directoryVersion = 0;
    Base::Instant leaseValidUntil {};
    bool shuttingDown = false;
    QueryId lastQueryId = 0;
    std::vector<QueryId> finishedQueries; ///< Rows to erase at the end of the event.
    std::vector<Action> actions;
    Statistics statistics;

    bool leaseValid(Base::Instant now) const { return now < leaseValidUntil; }

    /// Latency assumed for a server of this index without an estimate.
    Base::Duration typicalLatency(const std::string &index);
};

} // namespace Query
