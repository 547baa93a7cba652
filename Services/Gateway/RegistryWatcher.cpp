#include "Services/Gateway/RegistryWatcher.h"

#include "LibRegistry/RegistryChoice.h"

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
/// Interval at which a gateway looks for a registry that it prefers to the one it watches.
constexpr Base::Duration ImproveInterval = Base::seconds(1);
/// A registry that failed is left alone for this time, so that gateways do not move to and fro.
constexpr Base::Duration FailedRegistryPause = Base::seconds(4);
/// Leaves time for a large configuration on a narrow link; a dark registry holds up nobody, as all are asked.
constexpr Base::Duration SearchTimeout = Base::milliseconds(1200);
/// Registries that restart are back within this, and first-hand knowledge is better.
constexpr Base::Duration GatewayFallbackDelay = Base::milliseconds(400);
/// Gateways asked in each round of the search.
constexpr std::size_t GatewaysAsked = 2;

} // namespace

RegistryWatcher::RegistryWatcher(Edge::Loop &loop, Peer::Endpoint &endpoint, Base::EventLog &events,
                                 OwnGateway own, MakeRequest makeRequest, TakeReply takeReply)
    : loop_(loop)
    , endpoint_(endpoint)
    , events_(events)
    , own_(std::move(own))
    , makeRequest_(std::move(makeRequest))
    , takeReply_(std::move(takeReply))
{
}

void RegistryWatcher::addRegistries(const std::vector<std::string> &addresses)
{
    for (const auto &address : addresses) {
        if (!address.empty())
            registries_.try_emplace(address);
    }
}

void RegistryWatcher::start()
{
    searchingSince_ = clock_.now();
    loop_.repeat(SearchInterval, [this] {
        if (!isConnected() || !isFirstHand())
            search();
    });
    loop_.repeat(ImproveInterval, [this] {
        if (isConnected() && isFirstHand())
            improveTarget();
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
    for (const auto &[address, registry] : registries_)
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
    const auto registry = registries_.find(address);
    if (reply && registry != registries_.end())
        registry->second.dataCentre = reply->dataCentre;
    if (!reply || !take(*reply)) {
        avoid(address);
        return;
    }
    if (!isConnected() || (address != target_ && prefers(address, target_)))
        connect(address);
}

/// Asks the best registry that may be usable, unless the call is open to it already.
void RegistryWatcher::improveTarget()
{
    for (const auto &address : preference()) {
        if (address == target_)
            return;
        if (clock_.now() >= registries_.at(address).avoidUntil)
            return ask(address);
    }
}

std::vector<std::string> RegistryWatcher::preference() const
{
    std::vector<Registry::RegistryPlace> places;
    places.reserve(registries_.size());
    for (const auto &[address, registry] : registries_)
        places.push_back({address, registry.dataCentre});
    return Registry::registryPreference(own_.id, own_.dataCentre, places);
}

/// Any registry is better than a gateway that relays.
bool RegistryWatcher::prefers(const std::string &address, const std::string &other) const
{
    if (!registries_.contains(address) || !registries_.contains(other))
        return registries_.contains(address);
    const auto order = preference();
    return std::find(order.begin(), order.end(), address) < std::find(order.begin(), order.end(), other);
}

void RegistryWatcher::avoid(const std::string &address)
{
    const auto registry = registries_.find(address);
    if (registry != registries_.end())
        registry->second.avoidUntil = clock_.now() + FailedRegistryPause;
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
    const auto previous = std::exchange(target_, address);
    const auto open = std::exchange(openCall_, 0);
    events_.write(clock_.now(), Importance::Notable,
                  previous.empty() ? "dependency_regained" : "registry_preferred",
                  {{"dependency", "registry"}, {"address", address}, {"previous", previous}});
    watch();
    if (open != 0)
        endpoint_.cancel(open);
}

void RegistryWatcher::disconnect(const std::string &detail)
{
    events_.write(clock_.now(), Importance::Notable, "dependency_lost",
                  {{"dependency", "registry"}, {"address", target_}, {"detail", detail}});
    avoid(target_);
    target_.clear();
    searchingSince_ = clock_.now();
    search();
}

} // namespace Services
