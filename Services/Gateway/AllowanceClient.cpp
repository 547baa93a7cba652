#include "Services/Gateway/AllowanceClient.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace Services {

namespace {

using Importance = Base::EventLog::Importance;
using Kind = Allowance::Taking::Kind;

/// A registry that is alive answers within a round trip and a turn of its loop.
constexpr Base::Duration CallTimeout = Base::milliseconds(300);
/// Least time between two calls of one gateway, for each gateway that asks, and its bounds. Load pattern: all
/// tenants send at once to all gateways; the leader then gets at most 2,000 calls a second from 200 gateways.
constexpr Base::Duration CallIntervalPerGateway = Base::microseconds(500);
constexpr Base::Duration MinCallInterval = Base::milliseconds(5);
constexpr Base::Duration MaxCallInterval = Base::milliseconds(100);
constexpr Base::Duration SweepInterval = Base::seconds(1);

} // namespace

struct AllowanceClient::Timer
{
    explicit Timer(Edge::Loop &loop)
        : timer(loop.context())
    {
    }

    boost::asio::steady_timer timer;
};

AllowanceClient::AllowanceClient(Edge::Loop &loop, Peer::Endpoint &endpoint, Base::EventLog &events,
                                 GatewayMetrics &metrics, std::uint64_t seed, FindRegistry findRegistry)
    : loop_(loop)
    , endpoint_(endpoint)
    , events_(events)
    , metrics_(metrics)
    , findRegistry_(std::move(findRegistry))
    , stock_(seed)
    , timer_(std::make_unique<Timer>(loop))
{
    stock_.setCallInterval(MinCallInterval);
}

AllowanceClient::~AllowanceClient() = default;

void AllowanceClient::setLeader(std::string_view address)
{
    if (!address.empty())
        leader_ = address;
}

void AllowanceClient::setGatewayCount(std::size_t count)
{
    stock_.setCallInterval(std::clamp<Base::Duration>(
        CallIntervalPerGateway * static_cast<Base::Duration::rep>(count), MinCallInterval, MaxCallInterval));
}

Allowance::Taking AllowanceClient::take(Base::Instant now, std::string_view key, Base::Instant patienceEnd)
{
    auto taking = stock_.take(now, key, patienceEnd);
    if (taking.kind != Kind::Waiting)
        count(taking.kind);
    pumpSoon();
    return taking;
}

std::optional<Base::Instant> AllowanceClient::take(Base::Instant now, std::string_view key)
{
    const auto validUntil = stock_.take(now, key);
    pumpSoon();
    return validUntil;
}

void AllowanceClient::giveBack(Base::Instant now, std::string_view key, Base::Instant validUntil)
{
    stock_.giveBack(now, key, validUntil);
    pumpSoon();
}

void AllowanceClient::abandonAll()
{
    stock_.abandonAll();
    deliverDecisions();
}

/// Calls and decisions leave from the loop, so that they never run inside of whoever takes a unit.
void AllowanceClient::pumpSoon()
{
    if (!std::exchange(pumpIsPosted_, true))
        loop_.post([this] {
            pumpIsPosted_ = false;
            pump();
        });
}

void AllowanceClient::pump()
{
    const auto now = clock_.now();
    stock_.runTimers(now);
    if (const auto call = stock_.nextCall(now))
        startCall(*call);
    deliverDecisions();
    if (stock_.takeArrival() && handleArrival_)
        handleArrival_();
    armTimer();
}

void AllowanceClient::deliverDecisions()
{
    for (auto &decision : stock_.takeDecisions()) {
        count(decision.taking.kind);
        if (handleDecision_)
            handleDecision_(decision.waiter, std::move(decision.taking));
    }
}

void AllowanceClient::startCall(const Allowance::AllowanceStock::Call &call)
{
    const auto address = leader_.empty() ? findRegistry_() : leader_;
    if (address.empty())
        return failCall(call.sequence, address, "no registry is known");
    endpoint_.call(address, Wire::Method::TakeAllowance, Wire::encode(call.request), CallTimeout,
                   [this, sequence = call.sequence, address](Base::Result<Base::Bytes> payload) {
                       loop_.post([this, sequence, address, payload = std::move(payload)] {
                           finishCall(sequence, address, payload);
                           pump();
                       });
                   });
}

void AllowanceClient::finishCall(std::uint64_t sequence, const std::string &address,
                                 const Base::Result<Base::Bytes> &payload)
{
    const auto reply = payload.and_then(
        [](const Base::Bytes &bytes) { return Wire::decode<Wire::TakeAllowanceReply>(bytes); });
    if (!reply)
        return failCall(sequence, address, reply.error().detail);
    if (reply->grants.empty()) {
        failCall(sequence, address, "the registry does not lead");
        return setLeader(reply->leaderAddress);
    }
    if (!std::exchange(leaderAnswers_, true))
        events_.write(clock_.now(), Importance::Notable, "dependency_regained",
                      {{"dependency", "allowances"}, {"address", address}});
    leader_ = address;
    metrics_.allowanceCall("answered");
    stock_.callAnswered(clock_.now(), sequence, *reply);
}

void AllowanceClient::failCall(std::uint64_t sequence, const std::string &address, std::string_view detail)
{
    if (std::exchange(leaderAnswers_, false))
        events_.write(clock_.now(), Importance::Notable, "dependency_lost",
                      {{"dependency", "allowances"}, {"address", address}, {"detail", detail}});
    if (leader_ == address)
        leader_.clear();
    metrics_.allowanceCall("failed");
    stock_.callFailed(clock_.now(), sequence);
}

void AllowanceClient::armTimer()
{
    const auto next = stock_.nextTimer();
    if (!next) {
        timer_->timer.cancel();
        return;
    }
    timer_->timer.expires_after(std::max(Base::Duration::zero(), *next - clock_.now()));
    timer_->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            pump();
    });
}

void AllowanceClient::count(Kind kind)
{
    switch (kind) {
    case Kind::Granted:
        return metrics_.allowanceTaking("granted");
    case Kind::OverLimit:
        return metrics_.allowanceTaking("over_limit");
    case Kind::Unavailable:
        return metrics_.allowanceTaking("unavailable");
    case Kind::Waiting:
        return;
    }
}

void AllowanceClient::maintain(Base::Instant now)
{
    if (now < nextSweep_)
        return;
    nextSweep_ = now + SweepInterval;
    if (stock_.keys() == 0 && stock_.unitsEnded() == 0)
        return;
    stock_.sweep(now);
    metrics_.setGauge("daisyroute_allowance_keys", "Tenants and cold servers with units or demand here.",
                      static_cast<double>(stock_.keys()));
    metrics_.setGauge("daisyroute_allowance_requests_waiting", "Requests that wait for a unit.",
                      static_cast<double>(stock_.waiters()));
    metrics_.setGauge("daisyroute_allowance_units_ended", "Units that ended unused since the start.",
                      static_cast<double>(stock_.unitsEnded()));
}

} // namespace Services
