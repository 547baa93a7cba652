#include "Services/Gateway/RegistryWatcher.h"

namespace Services {

namespace {

using Importance = Base::EventLog::Importance;

/// A registry answers within 400 ms at the latest; longer silence means that it is gone or cut off.
constexpr Base::Duration WatchTimeout = Base::milliseconds(900);
/// Heartbeats come every 100 ms. A registry that missed many of them may be cut off from what is decided.
constexpr std::uint32_t MaxLeaderSilenceMs = 900;
constexpr Base::Duration RetryInterval = Base::milliseconds(50);

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
    loop_.repeat(RetryInterval, [this] {
        if (retryPending_ && clock_.now() >= retryAt_) {
            retryPending_ = false;
            call();
        }
    });
    call();
}

void RegistryWatcher::reportNow()
{
    const auto open = openCall_;
    retryPending_ = false;
    call();
    if (open != 0)
        endpoint_.cancel(open);
}

void RegistryWatcher::call()
{
    if (registries_.empty())
        return callLater();
    if (target_.empty() || registries_.find(target_) == registries_.end())
        target_ = *registries_.begin();
    const auto sequence = ++sequence_;
    openCall_ = endpoint_.call(target_, Wire::Method::WatchRegistry, Wire::encode(makeRequest_()), WatchTimeout,
                               [this, sequence](Base::Result<Base::Bytes> payload) {
                                   loop_.post([this, sequence, payload = std::move(payload)] {
                                       finish(sequence, payload);
                                   });
                               });
}

void RegistryWatcher::finish(std::uint64_t sequence, const Base::Result<Base::Bytes> &payload)
{
    if (sequence != sequence_)
        return;
    openCall_ = 0;
    const auto reply = payload.and_then(
        [](const Base::Bytes &bytes) { return Wire::decode<Wire::WatchReply>(bytes); });
    const bool fresh = reply && reply->leaderKnown && reply->leaderSilentMs <= MaxLeaderSilenceMs;
    if (reply) {
        addRegistries(reply->registryAddresses);
        takeReply_(*reply, fresh);
    }
    if (fresh) {
        failuresInRow_ = 0;
        noteConnected(true, {});
        return call();
    }
    noteConnected(false, reply ? "the registry hears no leader" : reply.error().detail);
    const auto next = registries_.upper_bound(target_);
    target_ = next == registries_.end() ? *registries_.begin() : *next;
    ++failuresInRow_;
    callLater();
}

/// Goes through all registries without a pause, then waits a little between rounds.
void RegistryWatcher::callLater()
{
    retryPending_ = true;
    const bool roundEnded = registries_.empty() || failuresInRow_ % registries_.size() == 0;
    retryAt_ = clock_.now() + (roundEnded ? RetryInterval * 2 : Base::Duration::zero());
}

void RegistryWatcher::noteConnected(bool connected, const std::string &detail)
{
    if (connected == connected_ && (connected || everConnected_))
        return;
    connected_ = connected;
    everConnected_ = true;
    events_.write(clock_.now(), Importance::Notable, connected ? "dependency_regained" : "dependency_lost",
                  {{"dependency", "registry"}, {"address", target_}, {"detail", detail}});
}

} // namespace Services
