#pragma once

#include "LibAllowance/AllowanceStock.h"
#include "LibBase/Clock.h"
#include "LibBase/EventLog.h"
#include "LibEdge/Loop.h"
#include "LibPeer/Endpoint.h"
#include "Services/Gateway/GatewayMetrics.h"

#include <functional>
#include <memory>
#include <string>

namespace Services {

/// Fetches units of bounded rates from the leader of the registries for one gateway. Without requests that
/// need units it sends nothing and holds nothing.
class AllowanceClient final : public Allowance::UnitSource
{
public:
    /// Receives the decision on a request that waited.
    using DecisionHandler = std::function<void(Allowance::WaiterId, Allowance::Taking)>;
    /// Returns the peer address of a registry that may know the leader; empty if none is known.
    using FindRegistry = std::function<std::string()>;

    AllowanceClient(Edge::Loop &loop, Peer::Endpoint &endpoint, Base::EventLog &events,
                    GatewayMetrics &metrics, std::uint64_t seed, FindRegistry findRegistry);
    ~AllowanceClient() override;
    AllowanceClient(const AllowanceClient &) = delete;
    AllowanceClient &operator=(const AllowanceClient &) = delete;

    void setDecisionHandler(DecisionHandler handler) { handleDecision_ = std::move(handler); }
    /// Sets what is called when units have come that take() without waiting had not found.
    void setArrivalHandler(std::function<void()> handler) { handleArrival_ = std::move(handler); }
    /// Sets the peer address of the leader; an empty one leaves it as it is.
    void setLeader(std::string_view address);
    /// Sets the number of gateways that ask the same leader.
    void setGatewayCount(std::size_t count);

    /// Never calls the decision handler before it returns.
    Allowance::Taking take(Base::Instant now, std::string_view key, Base::Instant patienceEnd);
    void abandon(Allowance::WaiterId waiter) { stock_.abandon(waiter); }
    /// Decides all waiting requests, at once.
    void abandonAll();

    // UnitSource
    std::optional<Base::Instant> take(Base::Instant now, std::string_view key) override;
    bool has(Base::Instant now, std::string_view key) const override { return stock_.has(now, key); }
    void giveBack(Base::Instant now, std::string_view key, Base::Instant validUntil) override;

    /// Periodic maintenance: drops what has no use and updates gauges.
    void maintain(Base::Instant now);
    const Allowance::AllowanceStock &stock() const { return stock_; }

private:
    struct Timer;

    void pumpSoon();
    void pump();
    void deliverDecisions();
    void startCall(const Allowance::AllowanceStock::Call &call);
    void finishCall(std::uint64_t sequence, const std::string &address,
                    const Base::Result<Base::Bytes> &payload);
    void failCall(std::uint64_t sequence, const std::string &address, std::string_view detail);
    void armTimer();
    void count(Allowance::Taking::Kind kind);

    Edge::Loop &loop_;
    Peer::Endpoint &endpoint_;
    Base::EventLog &events_;
    GatewayMetrics &metrics_;
    FindRegistry findRegistry_;
    DecisionHandler handleDecision_;
    std::function<void()> handleArrival_;
    Base::SystemClock clock_;
    Allowance::AllowanceStock stock_;
    std::string leader_; ///< Empty until it is known, and after a call to it has failed.
    bool leaderAnswers_ = true; ///< As last logged.
    bool pumpIsPosted_ = false;
    Base::Instant nextSweep_;
    std::unique_ptr<Timer> timer_;
};

} // namespace Services
