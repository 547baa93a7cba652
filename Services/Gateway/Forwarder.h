#pragma once

#include "LibAdapter/PlatformAdapter.h"
#include "LibAllowance/AllowanceStock.h"
#include "LibBase/Clock.h"
#include "LibBase/EventLog.h"
#include "LibEdge/CallerServer.h"
#include "LibForward/AnswerLag.h"
#include "LibForward/ForwardCore.h"
#include "LibTenant/Authenticator.h"
#include "Services/Gateway/AllowanceClient.h"
#include "Services/Gateway/BackendPool.h"
#include "Services/Gateway/GatewayMetrics.h"
#include "Services/Gateway/RequestExplanation.h"

#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace Services {

/// Performs the actions of ForwardCore: parses callers' requests, sends attempts, writes answers.
class Forwarder final : private AttemptEvents
{
public:
    Forwarder(Edge::Loop &loop, const Adapter::PlatformAdapter &adapter, Base::EventLog &events,
              GatewayMetrics &metrics, const Forward::ForwardOptions &options,
              Base::Duration keyRemovalBound = {}, std::shared_ptr<Edge::MemoryAccount> memory = nullptr);

    void handle(Edge::RequestMessage request, const Edge::CallerExchange &caller);
    /// Whether a request with this head would be forwarded with its body.
    bool usesBody(const Edge::RequestMessage &head) const;

    /// What would be done now with such a request. Sends nothing and spends nothing.
    RequestExplanation explain(const ExplainQuestion &question) const;

    /// Sets the route table for requests that arrive from now on.
    void setRoutes(std::shared_ptr<const Route::RouteTable> table);
    const std::shared_ptr<const Route::RouteTable> &routes() const { return table_; }
    void setServers(Base::Instant now, const Wire::ServerList &list);
    /// Sets where units for attempts at cold servers come from; `units` must outlive the forwarder. Null sets
    /// no bound.
    void setColdUnits(Forward::ColdUnits *units);
    /// Sends what waits for units.
    void unitsArrived();
    void setEvacuated(Base::Instant now, std::set<std::string, std::less<>> dataCentres);
    /// The server list was read again with the same content.
    void confirmServers(Base::Instant now, Base::Instant readAt)
    {
        serversReadAt_ = readAt;
        core_.confirmServers(now, readAt);
    }
    void setGatewayCount(std::size_t count) { core_.setGatewayCount(count); }
    void setOptions(const Forward::ForwardOptions &options) { core_.setOptions(options); }
    void setKeyRemovalBound(Base::Duration bound) { authenticator_.setKeyRemovalBound(bound); }
    /// Records that no configuration above `version` had been accepted at `at`.
    void confirmConfiguration(std::uint64_t version, Base::Instant at)
    {
        authenticator_.confirm(version, at);
    }
    const Tenant::Authenticator &authenticator() const { return authenticator_; }
    /// Sets where requests of tenants with an allowance get their units; it must outlive this object. Without
    /// it, allowances are not kept.
    void setAllowances(AllowanceClient *allowances);

    /// Sets when endAll() will be called during a planned stop.
    void setStopTime(Base::Instant at) { core_.setStopTime(at); }
    /// Refuses requests from now on, because there is no time left to serve them.
    void refuseNewRequests() { refusingNewRequests_ = true; }
    /// Answers all requests in flight with the results received so far.
    void endAll();

    /// Periodic maintenance: closes unused connections and updates gauges.
    void maintain(Base::Instant now);
    std::size_t requestsInFlight() const { return core_.exchangesInFlight() + waitingForUnits_.size(); }
    std::size_t coldServers(Base::Instant now) { return core_.coldServers(now); }
    std::size_t evacuatedServers() const { return core_.backends().evacuatedCount(); }
    bool hasServers() const { return core_.backends().isLoaded(); }

private:
    /// Whose a request is, or why it is refused before it needs anything.
    struct Judgement
    {
        const Route::RouteRule *route = nullptr; ///< Of the table in force.
        const Route::TenantRule *tenant = nullptr;
        std::optional<Forward::Refusal> refusal;
    };

    /// Unit of a request that is being served; its key is empty if the request needs none.
    struct HeldUnit
    {
        Allowance::Unit unit;
        Base::Duration waited {}; ///< How long the request waited for it.
    };

    struct UnitDetails
    {
        std::string route;
        std::string tenant;
        Base::Duration waited {};
    };

    struct UnitWaiter
    {
        Edge::RequestMessage request;
        Edge::CallerExchange caller;
        UnitDetails details;
        Base::Instant arrivedAt;
        std::size_t size = 0;
    };

    struct PendingRequest
    {
        HeldUnit held;
        Edge::CallerExchange caller;
        std::string requestId;
        std::string routeName;
        std::string tenantName; ///< Empty for a request without a tenant.
        std::uint64_t version = 0;
        Base::Instant arrivedAt;
        Base::Duration callerDelay {}; ///< Estimated network delay to the caller.
        std::string head; ///< Request line and headers common to all attempts.
        std::shared_ptr<const std::string> body; ///< Null without one.
        bool headRequest = false;
        bool isGather = false;
        bool repeatable = false;
        std::uint32_t attemptsAllowed = 1; ///< Servers per service that the route allows.
    };

    void admit(Edge::RequestMessage &request, const Edge::CallerExchange &caller,
               const Route::RouteRule &route, const Route::TenantRule *tenant);
    Judgement judge(std::string_view host, std::string_view path,
                    std::span<const std::string_view> keys) const;
    /// `requestId` is the caller's; it is empty if the request has none.
    Edge::ResponseMessage refusalOf(const std::string &requestId, Base::ErrorKind error,
                                    std::optional<Base::Duration> retryAfter) const;
    void refuse(const Edge::RequestMessage &request, const Edge::CallerExchange &caller,
                Base::ErrorKind error, std::string_view cause);
    void applyColdLimits();
    Base::Duration timeUntilReady(Base::Instant now) const;
    Base::Duration retryAfter(Base::Instant now, Base::ErrorKind error) const;
    void watchCurrency(Base::Instant now);
    // ForwarderAllowance.cpp
    bool obtainUnit(Edge::RequestMessage &request, const Edge::CallerExchange &caller,
                    const Route::RouteRule &route, const Route::TenantRule *tenant, HeldUnit &held);
    bool needsUnit(const Route::TenantRule *tenant) const;
    Base::Instant unitPatienceEnd(Base::Instant now, const Route::RouteRule &route, std::size_t size) const;
    std::optional<Allowance::Taking::Kind> foreseeUnit(Base::Instant now, const Judgement &judgement,
                                                       const ExplainQuestion &question) const;
    static Forward::Refusal unitRefusal(Allowance::Taking::Kind kind);
    std::optional<UnitWaiter> takeUnitWaiter(Allowance::WaiterId waiter);
    void unitDecided(Allowance::WaiterId waiter, Allowance::Taking taking);
    void giveBackUnit(const HeldUnit &held);
    void settleUnitOfGone(Forward::ExchangeId id, bool notRun);
    void refuseUnit(const Edge::RequestMessage &request, const Edge::CallerExchange &caller,
                    const UnitDetails &details, const Allowance::Taking &taking);
    void endUnitWaiters();

    void performActions();
    void performAction(Forward::Action &action);
    void send(const Forward::SendAttempt &action);
    void logNotice(const Forward::ServerNotice &notice);
    void logLimitChange(const Forward::LimitChange &change);
    void answerCaller(Forward::AnswerCaller &action);
    Edge::ResponseMessage responseFor(const PendingRequest &pending, Forward::Outcome &outcome) const;
    void logAnswer(Base::Instant now, const PendingRequest &pending, const Forward::Outcome &outcome,
                   int status);
    void logSharing(Base::Instant now, const PendingRequest &pending, const Forward::SharingRecord &record,
                    std::string_view cause);
    void armTimer();
    bool answersAttempt(Forward::AttemptId attempt, const Forward::Backend &backend,
                        const Edge::ResponseMessage &response) override;
    void attemptReplied(Forward::AttemptId attempt, Edge::ResponseMessage response) override;
    void attemptFailed(Forward::AttemptId attempt, Edge::ExchangeFailure failure,
                       const std::string &detail) override;

    Edge::Loop &loop_;
    const Adapter::PlatformAdapter &adapter_;
    Base::EventLog &events_;
    GatewayMetrics &metrics_;
    Base::SystemClock clock_;
    Forward::ForwardCore core_;
    BackendPool pool_;
    Base::Instant startedAt_;
    std::shared_ptr<const Route::RouteTable> table_;
    Tenant::Authenticator authenticator_;
    bool servesKeys_ = true; ///< As last logged.
    Forward::ColdUnits *coldUnits_ = nullptr;
    std::unordered_map<Forward::ExchangeId, PendingRequest> pending_;
    /// Request id that the response to an attempt must echo.
    std::unordered_map<Forward::AttemptId, std::string> attemptRequestIds_;
    AllowanceClient *allowances_ = nullptr;
    std::unordered_map<Allowance::WaiterId, UnitWaiter> waitingForUnits_;
    std::size_t bytesWaitingForUnits_ = 0;
    /// Units of requests whose caller has left, until it is known whether anything of them has run.
    std::unordered_map<Forward::ExchangeId, HeldUnit> unitsOfGone_;
    std::optional<HeldUnit> resumed_; ///< Of the request that comes back from waiting for it.
    Base::RandomSource random_ {std::random_device {}()};
    Forward::AnswerLag answerLag_;
    Base::Instant serversReadAt_;
    Base::Instant timerDeadline_ = Base::Instant::max();
    bool performing_ = false;
    bool refusingNewRequests_ = false;
};

} // namespace Services
