#include "Services/Gateway/RegistryWatcher.h"

#include <algorithm>

namespace Services {

namespace {

using Importance = Base::EventLog::Importance;

/// A registry answers within its hold time; longer silence means that it is gone or cut off.
constexpr Base::Duration WatchTimeout = Base::milliseconds(700);
/// Heartbeats come several times within this; a registry that missed them may be cut off from what is
/// decided.
constexpr std::uint32_t MaxLeaderSilenceMs = 700;
constexpr Base::Duration SearchInterval = Base::milliseconds(100);
/// Leaves time for a large configuration on a narrow link; a dark registry holds up nobody, as all are asked.
constexpr Base::Duration SearchTimeout = Base::milliseconds(1200);
/// Registries that restart are back within this, and first-hand knowledge is better.
constexpr Base::Duration GatewayFallbackDelay = Base::milliseconds(400);
/// Gateways asked in each round of the search.
constexpr std::size_t GatewaysAsked = 2;

} // namespace

RegistryWatcher::RegistryWatcher(Edge::Loop &loop, Peer::Endpoint &endpoint, Base::EventLog &events,
                                 MakeRequest makeRequest, TakeReply takeReply)
    : loop_(loop)
    , endpoint_(endpoint)
    , events_(events)
    , makeRequest_(std::move(makeRequest))
    , takeReply_(std::move(takeReply))
{
}

void RegistryWatcher::addRegistries(const std::vector<std::string> &addresses)
{
    for (const auto &address : addresses) {
        if (!address.empty())
            registries_.insert(address);
    }
}

void RegistryWatcher::start()
{
    searchingSince_ = clock_.now();
    loop_.repeat(SearchInterval, [this] {
        if (!isConnected() || !isFirstHand())
            search();
    });
    search();
}

void RegistryWatcher::reportNow()
{
    if (!isConnected())
        return search();
    const auto open = openCall_;
    watch();
    if (open != 0)
        endpoint_.cancel(open);
}

void RegistryWatcher::watch()
{
    const auto sequence = ++sequence_;
    openCall_ = endpoint_.call(
        target_, Wire::Method::WatchRegistry, Wire::encode(makeRequest_()), WatchTimeout,
        [this, sequence](Base::Result<Base::Bytes> payload) {
            loop_.post([this, sequence, payload = std::move(payload)] { finishWatch(sequence, payload); });
        });
}

void RegistryWatcher::finishWatch(std::uint64_t sequence, const Base::Result<Base::Bytes> &payload)
{
    if (sequence != sequence_ || !isConnected())
        return;
    openCall_ = 0;
    const auto reply =
        payload.and_then([](const Base::Bytes &bytes) { return Wire::decode<Wire::WatchReply>(bytes); });
    if (!reply)
        return disconnect(reply.error().detail);
    if (!take(*reply))
        return disconnect("the registry hears no leader");
    watch();
}

void RegistryWatcher::search()
{
    for (const auto &address : registries_)
        ask(address);
    if (isConnected() || gateways_.empty() || clock_.now() - searchingSince_ < GatewayFallbackDelay)
        return;
    for (std::size_t count = 0; count < std::min(GatewaysAsked, gateways_.size()); ++count)
        ask(gateways_[nextGateway_++ % gateways_.size()]);
}

void RegistryWatcher::ask(const std::string &address)
{
    if (!asked_.insert(address).second)
        return;
    auto request = makeRequest_();
    request.mayWait = false;
    endpoint_.call(address, Wire::Method::WatchRegistry, Wire::encode(request), SearchTimeout,
                   [this, address](Base::Result<Base::Bytes> payload) {
                       loop_.post(
                           [this, address, payload = std::move(payload)] { finishSearch(address, payload); });
                   });
}

void RegistryWatcher::finishSearch(const std::string &address, const Base::Result<Base::Bytes> &payload)
{
    asked_.erase(address);
    const auto reply =
        payload.and_then([](const Base::Bytes &bytes) { return Wire::decode<Wire::WatchReply>(bytes); });
    // Who cannot be reached is asked again with the next round.
    if (!reply || !take(*reply))
        return;
    const bool better = isConnected() && !isFirstHand() && registries_.contains(address);
    if (!isConnected() || better)
        connect(address);
}

/// Hands the reply on. Returns whether its registry hears a leader.
bool RegistryWatcher::take(const Wire::WatchReply &reply)
{
    const bool fresh = reply.leaderKnown && reply.leaderSilentMs <= MaxLeaderSilenceMs;
    addRegistries(reply.registryAddresses);
    takeReply_(reply, fresh);
    return fresh;
}

void RegistryWatcher::connect(const std::string &address)
{
    target_ = address;
    events_.write(clock_.now(), Importance::Notable, "dependency_regained",
                  {{"dependency", "registry"}, {"address", address}});
    watch();
}

void RegistryWatcher::disconnect(const std::string &detail)
{
    events_.write(clock_.now(), Importance::Notable, "dependency_lost",
                  {{"dependency", "registry"}, {"address", target_}, {"detail", detail}});
    target_.clear();
    searchingSince_ = clock_.now();
    search();
}

} // namespace Services
