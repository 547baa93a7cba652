#pragma once

#include "LibBase/ErrorKind.h"
#include "LibBase/RandomSource.h"
#include "LibEdge/BackendConnection.h"
#include "LibForward/BackendTable.h"
#include "LibForward/CallerDelay.h"
#include "LibForward/RouteTimes.h"
#include "LibQuery/ExtraLoadBudget.h"
#include "LibQuery/TimerQueue.h"
#include "LibRoute/RouteTable.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Forward {

using ExchangeId = std::uint64_t;
using AttemptId = std::uint64_t;

/// What the decisions need to know of a caller's request.
struct RequestFacts
{
    std::shared_ptr<const Route::RouteTable> table; ///< Keeps the version that the request began with.
    const Route::RouteRule *route = nullptr; ///< Of `table`.
    std::optional<Base::Duration> callerDeadline;
    CallerDelay callerDelay;
};

/// A backend server's whole response to one attempt.
struct AttemptReply
{
    Edge::ResponseMessage response;
    std::string proof; ///< Empty when the response lacks it.
    bool notExecuted = false; ///< The server states that it has not run the request.
    bool isWhole = true; ///< False when the response cannot be the server's own body.
    std::optional<Adapter::ServerLoad> load;
};

/// Final answer to a caller with what led to it.
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
    std::uint32_t attempts = 0; ///< Sends, the extra ones included.
    std::uint32_t extraAttempts = 0;
    std::optional<Base::Instant> dueAt; ///< When the time to wait for more parts was over, if that ended it.
    std::string lackingShards; ///< Missing shards with the reason each, for the log.
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
using Action = std::variant<SendAttempt, AbortAttempt, AnswerCaller>;

/// Bounds of the deployment, as the platform states them.
struct ForwardOptions
{
    std::string dataCentre; ///< Of this gateway.
    std::uint64_t seed = 0;
    double extraLoadRatio = 0.0; ///< Extra arrivals per request of a service, of all gateways together.
    double extraLoadSlack = 0.0; ///< Extra arrivals beyond the ratio, of all gateways together.
};

/// Decides where each request of a caller goes, when it is sent again, and how it is answered. Performs no
/// I/O: events go in, actions come out.
class ForwardCore
{
public:
    explicit ForwardCore(const ForwardOptions &options);

    void setOptions(const ForwardOptions &options);
    void setServers(Base::Instant now, const Wire::ServerList &list);
    /// Gateways that share connections and budgets; at least 1.
    void setGatewayCount(std::size_t count);

    ExchangeId begin(Base::Instant now, RequestFacts facts);
    void replyArrived(Base::Instant now, AttemptId attempt, AttemptReply reply);
    void attemptFailed(Base::Instant now, AttemptId attempt, Edge::ExchangeFailure failure);
    /// The caller went away: nothing more is sent for it, and what runs is cut off unless it ends soon.
    void callerLeft(Base::Instant now, ExchangeId exchange);

    /// Ends every exchange with what it has: the process stops before they can end by themselves.
    void endAll(Base::Instant now);

    void runTimers(Base::Instant now);
    std::optional<Base::Instant> nextTimer() const;
    std::vector<Action> takeActions();

    std::size_t exchangesInFlight() const { return exchanges_.size(); }
    std::size_t legsWaiting() const { return waiting_.size(); }
    const BackendTable &backends() const { return backends_; }
    /// Connections that this gateway may hold to one server of the service.
    std::uint32_t connectionShare(const Route::Configuration &configuration, std::string_view service) const;

private:
    enum class LegState : std::uint8_t {
        Waiting, ///< Every server was full.
        Open, ///< An attempt is under way, or a further one is due.
        Recovering, ///< No server could be reached; they are tried again after a pause.
        Present,
        Closed
    };

    /// One service that a request needs; a gather has one for each shard.
    struct Leg
    {
        std::string_view service; ///< Text of the exchange's configuration.
        LegState state = LegState::Waiting;
        std::vector<BackendPointer> tried; ///< Servers that are not chosen again.
        std::vector<BackendPointer> unreached; ///< Those of `tried` that got no byte.
        Base::Duration recoveryPause {}; ///< Before the next round over unreached servers.
        std::uint32_t open = 0; ///< Attempts without a result.
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
        Base::Instant answerBy; ///< Last moment for an answer in time.
        Base::Instant answerEarlyBy; ///< The same for a caller that has spent time on a look-up.
        std::vector<Leg> legs;
        std::optional<Edge::ResponseMessage> fallback; ///< Last response of a server that is no success.
        std::uint32_t sends = 0;
        std::uint32_t extraSends = 0;
        Base::Instant nextReview = Base::Instant::max();
        bool earlyPassed = false;
        bool answerByPassed = false;

        bool isGather() const { return facts.route->gather.has_value(); }
        bool isRepeatable() const { return facts.route->repeatability == Route::Repeatability::Idempotent; }
    };

    struct Attempt
    {
        ExchangeId exchange = 0; ///< 0 once the caller was answered or left.
        std::size_t leg = 0;
        BackendPointer backend;
        Base::Instant sentAt;
        std::string routeName;
    };

    struct WaitingLeg
    {
        ExchangeId exchange = 0;
        std::size_t leg = 0;
    };

    std::optional<Attempt> takeAttempt(AttemptId id);
    Exchange *endAttempt(const Attempt &attempt);
    Base::Duration silenceLimit(const std::string &routeName) const;
    Base::Duration meanLatency(const std::string &routeName) const;
    bool probeIsDue(const Exchange &exchange);
    std::string_view pickTarget(const Route::RouteRule &route);
    std::optional<Outcome> refuseHopeless(const Exchange &exchange);
    std::unordered_map<std::string_view, std::size_t> waitingAhead(const Exchange &exchange) const;
    Base::Duration expectedWait(const Exchange &exchange, std::string_view service, std::size_t ahead) const;
    bool dispatch(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex);
    bool sendExtra(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex);
    void send(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex,
              const BackendPointer &backend, bool extra);
    void dispatchWaiting(Base::Instant now);
    bool canBeInTime(Base::Instant now, const Exchange &exchange) const;
    bool isQueued(ExchangeId id, std::size_t legIndex) const;
    bool beginRecovery(Base::Instant now, const Exchange &exchange, Leg &leg);
    bool mayRetry(const Exchange &exchange, const Leg &leg) const;
    void retryOrClose(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex);
    void takeSuccess(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex,
                     AttemptReply &reply);
    void review(Base::Instant now, ExchangeId id);
    Base::Duration hedgeDelay(Base::Instant now, const Route::RouteRule &route, const Backend &backend);
    void hedgeDueLegs(Base::Instant now, ExchangeId id, Exchange &exchange);
    bool concludeIfDecided(Base::Instant now, ExchangeId id, Exchange &exchange, bool early = false);
    bool concludeGather(Base::Instant now, ExchangeId id, Exchange &exchange, bool early);
    bool concludeSingle(Base::Instant now, ExchangeId id, Exchange &exchange);
    Outcome gatheredOutcome(Exchange &exchange) const;
    Outcome failedOutcome(const Exchange &exchange, Base::ErrorKind kind, std::string cause);
    void finish(Base::Instant now, ExchangeId id, Exchange &exchange, Outcome outcome);
    void abandonAttempts(Base::Instant now, ExchangeId id);
    void scheduleReview(ExchangeId id, Exchange &exchange);
    RouteTimes &timesOf(const Route::RouteRule &route);
    Query::ExtraLoadBudget &budgetOf(std::string_view service);
    double maxExtraTokens() const;
    double extraTokensPerRequest() const;

    ForwardOptions options_;
    BackendTable backends_;
    Base::RandomSource random_;
    std::size_t gatewayCount_ = 1;
    std::map<ExchangeId, Exchange> exchanges_;
    std::map<AttemptId, Attempt> attempts_;
    std::vector<WaitingLeg> waiting_; ///< Legs for which every server was full.
    std::unordered_map<std::string, RouteTimes> routeTimes_; ///< By route name.
    std::unordered_map<std::string, Query::ExtraLoadBudget> budgets_; ///< By service.
    std::unordered_map<std::string, std::vector<double>> splitCredits_; ///< By route name.
    std::unordered_map<std::string, Base::Instant> nextProbes_; ///< By route name.
    Query::TimerQueue reviews_; ///< Of exchanges.
    Query::TimerQueue aborts_; ///< Of attempts whose caller is gone.
    std::vector<Action> actions_;
    std::uint64_t lastId_ = 0;
};

} // namespace Forward
