#pragma once

#include "LibBase/Clock.h"
#include "LibBase/EventLog.h"
#include "LibEdge/Loop.h"
#include "LibPeer/Endpoint.h"
#include "LibWire/RegistryMessages.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Services {

/// Keeps a gateway up to date through a long poll to a registry that hears its leader, and moves to a
/// preferred registry when one is available. Without such a registry it probes all of them in parallel, so
/// that the first one to recover is found at once, and after a delay some gateways as well: a VM that is
/// partitioned from the registries may still reach a gateway that is not.
class RegistryWatcher
{
public:
    /// Returns the versions and digests that the gateway holds now.
    using MakeRequest = std::function<Wire::WatchRequest()>;
    /// Receives each reply; `fresh` if the sender has recently heard from a leader. The request was sent at
    /// `sentAt` or later.
    using HandleReply = std::function<void(const Wire::WatchReply &reply, bool fresh, Base::Instant sentAt)>;

    /// Identity of the gateway that owns this watcher.
    struct OwnGateway
    {
        std::string id;
        std::string dataCentre;
    };

    RegistryWatcher(Edge::Loop &loop, Peer::Endpoint &endpoint, Base::EventLog &events, OwnGateway own,
                    MakeRequest makeRequest, HandleReply handleReply);

    /// Adds registry addresses. None is ever removed, because an old one may be the only one reachable.
    void addRegistries(const std::vector<std::string> &addresses);
    /// Sets the peer addresses of the other gateways.
    void setGateways(std::vector<std::string> addresses) { gateways_ = std::move(addresses); }
    void start();
    /// Reports a state change of this gateway at once; replaces the open call.
    void reportNow();
    bool isConnected() const { return !target_.empty(); }
    /// Peer address of the registry or gateway that is watched; empty if there is none.
    const std::string &target() const { return target_; }
    /// True if the target is a registry, not a gateway that relays.
    bool isWatchingRegistry() const { return registries_.contains(target_); }

private:
    struct KnownRegistry
    {
        std::string dataCentre; ///< Empty until the registry has answered once.
        Base::Instant avoidUntil; ///< Set after a failure or a reply without a leader.
    };

    void watch();
    void finishWatch(std::uint64_t sequence, Base::Instant sentAt, const Base::Result<Base::Bytes> &payload);
    void search();
    void probe(const std::string &address);
    void probePreferredRegistry();
    void markFailed(const std::string &address);
    bool prefers(const std::string &address, const std::string &other) const;
    std::vector<std::string> preferredOrder() const;
    void finishProbe(const std::string &address, Base::Instant sentAt,
                     const Base::Result<Base::Bytes> &payload);
    void connect(const std::string &address);
    void disconnect(const std::string &detail);
    bool processReply(const Wire::WatchReply &reply, Base::Instant sentAt);

    Edge::Loop &loop_;
    Peer::Endpoint &endpoint_;
    Base::EventLog &events_;
    OwnGateway own_;
    MakeRequest makeRequest_;
    HandleReply handleReply_;
    Base::SystemClock clock_;
    std::map<std::string, KnownRegistry> registries_; ///< By address.
    std::vector<std::string> gateways_;
    std::size_t nextGateway_ = 0;
    Base::Instant searchingSince_;
    std::string target_; ///< Registry or gateway with the open call; empty while searching.
    std::uint64_t sequence_ = 0; ///< Sequence number of the latest call; replies to earlier ones are dropped.
    Peer::CallId openCall_ = 0;
    std::set<std::string> probing_; ///< Addresses with a probe in flight.
};

} // namespace Services
