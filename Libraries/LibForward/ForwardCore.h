#pragma once

#include "LibBase/ErrorKind.h"
#include "LibBase/RandomSource.h"
#include "LibEdge/BackendConnection.h"
#include "LibForward/BackendTable.h"
#include "LibForward/CallerDelay.h"
#include "LibForward/Explanation.h"
#include "LibForward/FairQueue.h"
#include "LibForward/RouteTimes.h"
#include "LibQuery/ExtraLoadBudget.h"
#include "LibQuery/TimerQueue.h"
#include "LibRoute/RouteTable.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Forward {

using ExchangeId = std::uint64_t;
using AttemptId = std::uint64_t;

/// Properties of a caller's request that forwarding decisions depend on.
struct RequestFacts
{
    std::shared_ptr<const Route::RouteTable> table; ///< Version in force when the request began.
    const Route::RouteRule *route = nullptr; ///< Of `table`.
    std::optional<Base::Duration> callerDeadline;
    CallerDelay callerDelay;
    const Route::TenantRule *tenant = nullptr; ///< Of `table`; null for a request without one.

    /// 0 is the most urgent.
    std::uint32_t rank() const
    {
        return tenant != nullptr ? tenant->rank.value_or(route->rank) : route->rank;
    }
};

/// A backend server's whole response to one attempt.
struct AttemptReply
{
    Edge::ResponseMessage response;
    std::string proof; ///< Empty if the response has none.
    bool notExecuted = false; ///< The server states that it has not run the request.
    bool isWhole = true; ///< False if the response body cannot be the server's own.
    bool announcesLeaving = false; ///< The server states that it is about to leave.
    std::optional<Base::Duration> pause; ///< How long the server wants no request from this gateway.
    std::string requestId; ///< For the log.
    std::optional<Adapter::ServerLoad> load;
    std::optional<Base::Duration> warmUp; ///< How much longer the server states to stay cold.
};

/// What the sharing of scarce room among tenants did to a request.
struct SharingRecord
{
    enum class Result : std::uint8_t {
        NotNeeded,
        Waited,
        Refused, ///< It would have waited past its time limit in its fair turn.
        RefusedForOther ///< It made room for a tenant below its share.
    };

    Result result = Result::NotNeeded;
    bool aboveShare = false; ///< Its tenant's waiting work exceeded the tenant's share when it came.
    std::string tenant; ///< Set if needed; empty for a request without one.
};

/// Final answer to a caller, with details for the log.
struct Outcome
{
    enum class Kind : std::uint8_t { Relay, Gathered, Refused };

    Kind kind = Kind::Refused;
    Edge::ResponseMessage response; ///< Relay: the server's. Gathered: the merged body.
    std::vector<std::string> partProofs;
    std::size_t missingParts = 0;
    Base::ErrorKind error = Base::ErrorKind::Internal;
    std::optional<Base::Duration> retryAfter;
    std::string cause; ///< One clause for the log.
    std::uint32_t attempts = 0; ///< All attempts sent, including extra ones.
    std::uint32_t extraAttempts = 0;
    std::optional<Base::Instant> dueAt; ///< Set if a gather stopped waiting for parts at this time.
    std::string lackingShards; ///< Missing shards, each with its reason, for the log.
    SharingRecord sharing;
};

struct SendAttempt
{
    AttemptId attempt = 0;
    ExchangeId exchange = 0;
    BackendPointer backend;
    Base::Duration timeLeft {};
};
struct AbortAttempt
{
    AttemptId attempt = 0;
};
struct AnswerCaller
{
    ExchangeId exchange = 0;
    Outcome outcome;
};
/// What has become of a request whose caller has left; exactly one for each that had no answer by then.
struct CallerGone
{
    ExchangeId exchange = 0;
    bool notRun = false; ///< No server has run any of it.
};
/// A server has said something of itself that changes which attempts it gets; for the log.
struct ServerNotice
{
    enum class Kind : std::uint8_t { Leaving, Pause };

    Kind kind = Kind::Leaving;
    BackendPointer backend;
    Base::Instant until; ///< Leaving: the end of its use. Pause: the end of the pause.
    std::string requestId; ///< The caller's request that it answered with the notice.
};
/// The learned limit of concurrent attempts at a server has changed by half or more; for the log.
struct LimitChange
{
    BackendPointer backend;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    double latencyRatio = 0.0; ///< Its latency with little work over that of its routes.
};
using Action = std::variant<SendAttempt, AbortAttempt, AnswerCaller, CallerGone, ServerNotice, LimitChange>;

/// Deployment settings and limits given by the platform.
struct ForwardOptions
{
    std::string dataCentre; ///< Of this gateway.
    std::uint64_t seed = 0;
    /// Extra arrivals allowed at backend servers per request of a service, for all gateways together.
    double extraLoadRatio = 0.0;
    /// Extra arrivals allowed at backend servers beyond the ratio, for all gateways together.
    double extraLoadSlack = 0.0;
    /// How long a server that has announced its end may get work if no other server of its service can.
    Base::Duration leavingUseTime = Base::milliseconds(1500);
    /// Whether to find out how many attempts at once each server takes well, and how fast it usually is.
    bool learnServerLimits = false;
};

/// Decides which servers a caller's request is sent to, when it is retried or hedged, and how it is answered.
/// Performs no I/O: events are passed in, and takeActions() returns the resulting actions for the process to
/// carry out.
class ForwardCore
{
public:
    explicit ForwardCore(const ForwardOptions &options);

    void setOptions(const ForwardOptions &options);
    void setServers(Base::Instant now, const Wire::ServerList &list);
    /// As BackendTable::confirm().
    void confirmServers(Base::Instant now, Base::Instant readAt) { backends_.confirm(now, readAt); }
    /// Sets the services that the configuration in force names.
    void setServices(std::set<std::string, std::less<>> services)
    {
        backends_.setServices(std::move(services));
    }
    /// As BackendTable::setColdLimits().
    void setColdLimits(std::map<std::string, double, std::less<>> limits, ColdUnits *units)
    {
        backends_.setColdLimits(std::move(limits), units);
    }
    /// Places what waits, because units of cold servers have arrived.
    void unitsArrived(Base::Instant now) { dispatchWaiting(now); }
    /// Sets the data centres whose servers get nothing; what waits is placed anew.
    void setEvacuated(Base::Instant now, std::set<std::string, std::less<>> dataCentres);
    /// Sets the number of gateways that share connections and budgets; 0 counts as 1.
    void setGatewayCount(std::size_t count);

    ExchangeId begin(Base::Instant now, RequestFacts facts);
    /// What begin() would do with such a request. Changes nothing and spends nothing.
    Explanation explain(Base::Instant now, const RequestFacts &facts) const;
    void replyArrived(Base::Instant now, AttemptId attempt, AttemptReply reply);
    void attemptFailed(Base::Instant now, AttemptId attempt, Edge::ExchangeFailure failure);
    /// The caller disconnected: nothing more is sent for it, and open attempts are aborted unless they end
    /// soon. CallerGone follows when it is known whether anything has run.
    void callerLeft(Base::Instant now, ExchangeId exchange);

    /// Sets when endAll() will be called: from now on, requests that would probably not be done by then are
    /// refused as not run.
    void setStopTime(Base::Instant at) { stopTime_ = at; }

    /// Answers every exchange with the parts it has, or with a failure, because the process is about to stop.
    void endAll(Base::Instant now);

    void runTimers(Base::Instant now);
    std::optional<Base::Instant> nextTimer() const;
    std::vector<Action> takeActions();

    std::size_t exchangesInFlight() const { return exchanges_.size(); }
    std::size_t legsWaiting() const { return waiting_.size(); }
    const BackendTable &backends() const { return backends_; }
    /// As BackendTable::limitedCount(); not counted unless limits are learned.
    std::size_t limitedServers() const { return options_.learnServerLimits ? backends_.limitedCount() : 0; }
    /// As BackendTable::coldCount().
    std::size_t coldServers(Base::Instant now) { return backends_.coldCount(now); }
    /// Services whose room is shared by tenant; 0 unless the configuration has tenants.
    std::size_t sharedServices() const { return fairQueues_.size(); }
    /// Maximum number of connections of this gateway to one server of the service.
    std::uint32_t connectionShare(const Route::Configuration &configuration, std::string_view service) const;

private:
    enum class LegState : std::uint8_t {
        Waiting, ///< Queued until a server has capacity.
        Open, ///< An attempt is in flight, or a retry is scheduled.
        Recovering, ///< No server was reachable; retried after a backoff.
        Present,
        Closed
    };

    /// Sub-request to one service; a gather has one per shard.
    struct Leg
    {
        std::string_view service; ///< Refers to the exchange's configuration.
        LegState state = LegState::Waiting;
        std::vector<BackendPointer> tried; ///< Servers that are not selected again.
        std::vector<BackendPointer> unreached; ///< Those of `tried` that nothing was sent to.
        Base::Duration recoveryBackoff {}; ///< Backoff before the next round over unreached servers.
        std::uint32_t open = 0; ///< Attempts in flight.
        std::uint32_t sends = 0;
        bool mayHaveRun = false;
        Base::Instant hedgeAt = Base::Instant::max();
        std::string proof;
        std::string body;
        std::string_view failure = "no_server"; ///< Why the last attempt failed.
    };

    struct Exchange
    {
        RequestFacts facts;
        Base::Instant arrivedAt;
        Base::Instant deadline;
        Base::Instant answerBy; ///< Latest time for an answer within the latency target.
        Base::Instant answerEarlyBy; ///< The same for a caller that did a look-up first.
        std::vector<Leg> legs;
        std::optional<Edge::ResponseMessage> fallback; ///< Last error response that may be relayed.
        std::uint32_t sends = 0;
        std::uint32_t extraSends = 0;
        Base::Instant nextReview = Base::Instant::max();
        bool earlyPassed = false;
        bool answerByPassed = false;
        SharingRecord sharing;

        bool isGather() const { return facts.route->gather.has_value(); }
        /// Latest useful start. A gather that queues past its target occupies every shard for an answer of
        /// little value, and delays the gathers behind it. Answering fewer gathers in time is worth more.
        Base::Instant latestStart() const { return isGather() ? std::min(answerBy, deadline) : deadline; }
        /// Legs that an answer needs.
        double legsNeeded() const
        {
            const auto share = isGather() ? facts.route->gather->minimumCoverage : 1.0;
            return share * static_cast<double>(legs.size()) - 1e-9;
        }
        bool isRepeatable() const { return facts.route->repeatability == Route::Repeatability::Idempotent; }
    };

    struct Attempt
    {
        ExchangeId exchange = 0; ///< 0 once the caller was answered or disconnected.
        std::size_t leg = 0;
        BackendPointer backend;
        Base::Instant sentAt;
        std::string routeName;
        std::optional<Base::Instant> unitValidUntil; ///< Of the unit that it spent at a cold server.
        ExchangeId gone = 0; ///< Its exchange, once that is in `gone_`.
    };

    struct WaitingLeg
    {
        ExchangeId exchange = 0;
        std::size_t leg = 0;
    };

    using ClaimsByService = std::map<std::string_view, std::vector<RoomClaim>>;
    using FairQueues = std::map<std::string, FairQueue, std::less<>>;

    /// Counts of the services that a new request needs.
    struct ServiceCounts
    {
        std::size_t reachable = 0; ///< Have a server that accepts work.
        std::size_t pausing = 0; ///< Are not reachable, and have servers that asked for a pause.
        std::size_t silent = 0; ///< Are reachable, and all of their servers leave attempts unanswered.
        std::size_t inTime = 0; ///< Would take the request in time, if room is not shared by tenant.
    };

    /// What a decision about the sharing of room depends on.
    struct SharingView
    {
        double meanAllowance = 0.0; ///< As meanAllowance_.
        const FairQueues &queues;
        const ClaimsByService &waiting; ///< Empty unless room is shared by tenant.

        bool sharesFairly() const { return meanAllowance > 0.0; }
    };

    using Counts = std::unordered_map<std::string_view, std::size_t>; ///< By service.

    std::optional<Attempt> takeAttempt(AttemptId id);
    Exchange *endAttempt(const Attempt &attempt);
    Base::Duration silenceLimit(const std::string &routeName) const;
    Base::Duration meanLatency(const std::string &routeName) const;
    Base::Duration expectedLatency(const Route::RouteRule &route) const;
    static Exchange makeExchange(Base::Instant now, RequestFacts facts);
    static void addLegs(Exchange &exchange, std::string_view target);
    bool isProbeDue(const Exchange &exchange) const;
    std::string_view pickTarget(const Route::RouteRule &route);
    static std::size_t nextTarget(const Route::RouteRule &route, std::vector<double> &credits);
    ServiceCounts countServices(const Exchange &exchange, bool isRoomShared) const;
    bool needsProbe(const Exchange &exchange, const ServiceCounts &counts) const;
    std::optional<Refusal> findUnservable(const Exchange &exchange, const ServiceCounts &counts) const;
    std::optional<Refusal> findUnfinishable(const Exchange &exchange) const;
    std::optional<Outcome> refuseUnservable(ExchangeId id, Exchange &exchange);
    std::optional<Outcome> refuseUnfinishable(const Exchange &exchange);
    Counts waitingAhead(const Exchange &exchange) const;
    Base::Duration expectedWait(const Exchange &exchange, std::string_view service, std::size_t ahead) const;
    bool dispatch(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex);
    bool sendExtra(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex);
    void send(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex,
              const BackendPointer &backend, bool extra);
    void dispatchWaiting(Base::Instant now);
    void concludeDispatched(Base::Instant now, ExchangeId id, std::size_t legIndex);
    bool sharesFairly() const { return meanAllowance_ > 0.0; }
    std::optional<Refusal> findLateTurn(ExchangeId id, const Exchange &exchange, const ServiceCounts &counts,
                                        const SharingView &view) const;
    std::optional<Refusal> refuseFairly(ExchangeId id, Exchange &exchange, const ServiceCounts &counts);
    void followTenants(const std::shared_ptr<const Route::RouteTable> &table);
    static double meanAllowanceOf(const Route::Configuration &configuration);
    SharingView sharing(const ClaimsByService &waiting) const
    {
        return {meanAllowance_, fairQueues_, waiting};
    }
    RoomClaim claimOf(Base::Instant now, ExchangeId id, const Exchange &exchange, double meanAllowance) const;
    ClaimsByService claimsWaiting(Base::Instant now, double meanAllowance) const;
    static std::span<const RoomClaim> claimsAt(const ClaimsByService &claims, std::string_view service);
    FairQueue &fairQueueOf(std::string_view service);
    static const FairQueue &queueIn(const FairQueues &queues, std::string_view service);
    Base::Duration fairWait(Base::Instant now, const Exchange &exchange, std::string_view service,
                            const RoomClaim &claim, std::span<const RoomClaim> waiting,
                            const FairQueue &queue) const;
    bool waitsPastLimit(Base::Instant now, ExchangeId id, const Exchange &exchange,
                        const SharingView &view) const;
    LegExplanation explainLeg(const Exchange &exchange, std::string_view service, const Counts &ahead,
                              const SharingView &view) const;
    void shareRoom(Base::Instant now, ExchangeId id, Exchange &exchange, const ClaimsByService &before);
    void makeRoom(Base::Instant now, ExchangeId id, const Exchange &exchange, const ClaimsByService &waiting);
    void dispatchFairly(Base::Instant now);
    bool canMeetTarget(Base::Instant now, const Exchange &exchange) const;
    static bool canMeetTarget(Base::Instant now, const Exchange &exchange, Base::Duration latency);
    bool isQueued(ExchangeId id, std::size_t legIndex) const;
    bool beginRecovery(Base::Instant now, const Exchange &exchange, Leg &leg);
    bool mayRetry(Base::Instant now, const Exchange &exchange, const Leg &leg) const;
    void retryOrClose(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex);
    void learnFrom(Base::Instant now, const Attempt &attempt, const RouteTimes &times);
    void takeNotice(Base::Instant now, const Attempt &attempt, const AttemptReply &reply);
    void takeSuccess(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex,
                     AttemptReply &reply);
    void review(Base::Instant now, ExchangeId id);
    Base::Duration hedgeDelay(Base::Instant now, const Route::RouteRule &route, const Backend &backend);
    void hedgeDueLegs(Base::Instant now, ExchangeId id, Exchange &exchange);
    bool concludeIfDecided(Base::Instant now, ExchangeId id, Exchange &exchange, bool early = false);
    bool concludeGather(Base::Instant now, ExchangeId id, Exchange &exchange, bool early);
    bool concludeSingle(Base::Instant now, ExchangeId id, Exchange &exchange);
    Outcome gatheredOutcome(Exchange &exchange) const;
    Outcome failedOutcome(Base::Instant now, const Exchange &exchange, Base::ErrorKind kind,
                          std::string cause);
    Base::Duration retryDelay(Base::Instant now, const Exchange &exchange);
    void finish(Base::Instant now, ExchangeId id, Exchange &exchange, Outcome outcome);
    void abandonAttempts(Base::Instant now, ExchangeId id);
    void settleGone(const Attempt &attempt, bool notRun);
    void scheduleReview(ExchangeId id, Exchange &exchange);
    RouteTimes &timesOf(const Route::RouteRule &route);
    Query::ExtraLoadBudget &budgetOf(std::string_view service);
    double maxExtraTokens() const;
    double extraTokensPerRequest() const;

    ForwardOptions options_;
    BackendTable backends_;
    Base::RandomSource random_;
    std::size_t gatewayCount_ = 1;
    Base::Instant stopTime_ = Base::Instant::max();
    std::map<ExchangeId, Exchange> exchanges_;
    std::map<AttemptId, Attempt> attempts_;
    std::vector<WaitingLeg> waiting_; ///< Legs in the state Waiting.
    std::shared_ptr<const Route::RouteTable> latestTable_; ///< Whose tenants share the room.
    /// Requests per second, of the tenants that have an allowance; 0 if there are no tenants at all.
    double meanAllowance_ = 0.0;
    FairQueues fairQueues_; ///< By service; empty without tenants.
    std::unordered_map<std::string, RouteTimes> routeTimes_; ///< By route name.
    std::unordered_map<std::string, Query::ExtraLoadBudget> budgets_; ///< By service.
    std::unordered_map<std::string, std::vector<double>> splitCredits_; ///< By route name.
    std::unordered_map<std::string, Base::Instant> nextProbes_; ///< By route name.
    /// Open attempts of exchanges whose caller has left before anything of them had run.
    std::unordered_map<ExchangeId, std::size_t> gone_;
    Query::TimerQueue reviews_; ///< When to review exchanges.
    Query::TimerQueue aborts_; ///< When to abort attempts without an exchange.
    std::vector<Action> actions_;
    std::uint64_t lastId_ = 0;
};

} // namespace Forward
