#include "Services/Gateway/RegistryWatcher.h"

#include "LibRegistry/RegistryChoice.h"

#include <algorithm>

namespace Services {

namespace {

using Importance = Base::EventLog::Importance;

/// Registries answer within their hold time; a longer silence means that this one is down or partitioned.
constexpr Base::Duration WatchTimeout = Base::milliseconds(700);
/// Several heartbeats arrive within this time; a registry that missed them may be partitioned from the
/// majority.
constexpr std::uint32_t MaxLeaderSilenceMs = 700;
constexpr Base::Duration SearchInterval = Base::milliseconds(100);
/// Interval at which a gateway looks for a registry preferred to the one it watches.
constexpr Base::Duration PreferredRegistryCheckInterval = Base::seconds(1);
/// Time for which a failed registry is avoided, so that gateways do not flap between registries.
constexpr Base::Duration FailedRegistryPause = Base::seconds(4);
/// Allows for a large configuration on a slow link; probes run in parallel, so a dead registry delays none.
constexpr Base::Duration ProbeTimeout = Base::milliseconds(1200);
/// Restarting registries are back within this time, and are preferred to gateways that relay.
constexpr Base::Duration GatewayFallbackDelay = Base::milliseconds(400);
/// Number of gateways probed in each round of the search.
constexpr std::size_t GatewaysProbedPerRound = 2;

} // namespace

RegistryWatcher::RegistryWatcher(Edge::Loop &loop, Peer::Endpoint &endpoint, Base::EventLog &events,
                                 OwnGateway own, MakeRequest makeRequest, HandleReply handleReply)
    : loop_(loop)
    , endpoint_(endpoint)
    , events_(events)
    , own_(std::move(own))
    , makeRequest_(std::move(makeRequest))
    , handleReply_(std::move(handleReply))
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
        if (!isConnected() || !isWatchingRegistry())
            search();
    });
    loop_.repeat(PreferredRegistryCheckInterval, [this] {
        if (isConnected() && isWatchingRegistry())
            probePreferredRegistry();
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
    const auto sentAt = clock_.now();
    openCall_ = endpoint_.call(target_, Wire::Method::WatchRegistry, Wire::encode(makeRequest_()),
                               WatchTimeout, [this, sequence, sentAt](Base::Result<Base::Bytes> payload) {
                                   loop_.post([this, sequence, sentAt, payload = std::move(payload)] {
                                       finishWatch(sequence, sentAt, payload);
                                   });
                               });
}

void RegistryWatcher::finishWatch(std::uint64_t sequence, Base::Instant sentAt,
                                  const Base::Result<Base::Bytes> &payload)
{
    if (sequence != sequence_ || !isConnected())
        return;
    openCall_ = 0;
    const auto reply =
        payload.and_then([](const Base::Bytes &bytes) { return Wire::decode<Wire::WatchReply>(bytes); });
    if (!reply)
        return disconnect(reply.error().detail);
    if (!processReply(*reply, sentAt))
        return disconnect("registry hears no leader");
    watch();
}

void RegistryWatcher::search()
{
    for (const auto &[address, registry] : registries_)
        probe(address);
    if (isConnected() || gateways_.empty() || clock_.now() - searchingSince_ < GatewayFallbackDelay)
        return;
    for (std::size_t count = 0; count < std::min(GatewaysProbedPerRound, gateways_.size()); ++count)
        probe(gateways_[nextGateway_++ % gateways_.size()]);
}

void RegistryWatcher::probe(const std::string &address)
{
    if (!probing_.insert(address).second)
        return;
    const auto sentAt = clock_.now();
    auto request = makeRequest_();
    // Without any configuration, a registry that has none yet holds the call and answers once it has one, so
    // that a gateway that restarts together with the registries need not ask again.
    request.mayWait = request.configurationVersion == 0 && !isConnected();
    endpoint_.call(address, Wire::Method::WatchRegistry, Wire::encode(request), ProbeTimeout,
                   [this, address, sentAt](Base::Result<Base::Bytes> payload) {
                       loop_.post([this, address, sentAt, payload = std::move(payload)] {
                           finishProbe(address, sentAt, payload);
                       });
                   });
}

void RegistryWatcher::finishProbe(const std::string &address, Base::Instant sentAt,
                                  const Base::Result<Base::Bytes> &payload)
{
    probing_.erase(address);
    const auto reply =
        payload.and_then([](const Base::Bytes &bytes) { return Wire::decode<Wire::WatchReply>(bytes); });
    // Unreachable processes are probed again in the next round.
    const auto registry = registries_.find(address);
    if (reply && registry != registries_.end())
        registry->second.dataCentre = reply->dataCentre;
    if (!reply || !processReply(*reply, sentAt)) {
        markFailed(address);
        return;
    }
    if (!isConnected() || (address != target_ && prefers(address, target_)))
        connect(address);
}

/// Probes the most preferred registry that is not being avoided, unless it is the current target.
void RegistryWatcher::probePreferredRegistry()
{
    for (const auto &address : preferredOrder()) {
        if (address == target_)
            return;
        if (clock_.now() >= registries_.at(address).avoidUntil)
            return probe(address);
    }
}

std::vector<std::string> RegistryWatcher::preferredOrder() const
{
    std::vector<Registry::RegistryLocation> locations;
    locations.reserve(registries_.size());
    for (const auto &[address, registry] : registries_)
        locations.push_back({address, registry.dataCentre});
    return Registry::rankRegistries(own_.id, own_.dataCentre, locations);
}

/// Any registry is preferred to a gateway that relays.
bool RegistryWatcher::prefers(const std::string &address, const std::string &other) const
{
    if (!registries_.contains(address) || !registries_.contains(other))
        return registries_.contains(address);
    const auto order = preferredOrder();
    return std::find(order.begin(), order.end(), address) < std::find(order.begin(), order.end(), other);
}

void RegistryWatcher::markFailed(const std::string &address)
{
    const auto registry = registries_.find(address);
    if (registry != registries_.end())
        registry->second.avoidUntil = clock_.now() + FailedRegistryPause;
}

/// Passes the reply to the handler. Returns whether its sender has recently heard from a leader.
bool RegistryWatcher::processReply(const Wire::WatchReply &reply, Base::Instant sentAt)
{
    const bool fresh = reply.leaderKnown && reply.leaderSilentMs <= MaxLeaderSilenceMs;
    addRegistries(reply.registryAddresses);
    handleReply_(reply, fresh, sentAt);
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
    markFailed(target_);
    target_.clear();
    searchingSince_ = clock_.now();
    search();
}

} // namespace Services
