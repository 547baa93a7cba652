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

/// Keeps a gateway up to date. While a registry that hears its leader is known, one call to it stays open and
/// is answered when something changes; it moves to the registry that this gateway prefers. Otherwise all
/// registries are asked side by side, so that the first one to recover is found at once; after a moment some
/// gateways are asked too, since a VM that is cut off from the registries may still reach one that is not.
class RegistryWatcher
{
public:
    /// Returns what the gateway holds now.
    using MakeRequest = std::function<Wire::WatchRequest()>;
    /// Receives each reply; `fresh` when the registry hears its leader.
    using TakeReply = std::function<void(const Wire::WatchReply &reply, bool fresh)>;

    /// The gateway that watches.
    struct OwnGateway
    {
        std::string id;
        std::string dataCentre;
    };

    RegistryWatcher(Edge::Loop &loop, Peer::Endpoint &endpoint, Base::EventLog &events, OwnGateway own,
                    MakeRequest makeRequest, TakeReply takeReply);

    /// Adds addresses to those known; none is forgotten, because an old one may be the only one reachable.
    void addRegistries(const std::vector<std::string> &addresses);
    /// Peer addresses of the other gateways.
    void setGateways(std::vector<std::string> addresses) { gateways_ = std::move(addresses); }
    void start();
    /// Reports a change of this gateway without waiting for the open call.
    void reportNow();
    bool isConnected() const { return !target_.empty(); }
    /// Connected to a registry, and not to a gateway that relays.
    bool isFirstHand() const { return registries_.contains(target_); }

private:
    struct KnownRegistry
    {
        std::string dataCentre; ///< Empty until it has answered once.
        Base::Instant avoidUntil; ///< It failed, or heard no leader.
    };

    void watch();
    void finishWatch(std::uint64_t sequence, const Base::Result<Base::Bytes> &payload);
    void search();
    void ask(const std::string &address);
    void improveTarget();
    void avoid(const std::string &address);
    bool prefers(const std::string &address, const std::string &other) const;
    std::vector<std::string> preference() const;
    void finishSearch(const std::string &address, const Base::Result<Base::Bytes> &payload);
    void connect(const std::string &address);
    void disconnect(const std::string &detail);
    bool take(const Wire::WatchReply &reply);

    Edge::Loop &loop_;
    Peer::Endpoint &endpoint_;
    Base::EventLog &events_;
    OwnGateway own_;
    MakeRequest makeRequest_;
    TakeReply takeReply_;
    Base::SystemClock clock_;
    std::map<std::string, KnownRegistry> registries_; ///< By address.
    std::vector<std::string> gateways_;
    std::size_t nextGateway_ = 0;
    Base::Instant searchingSince_;
    std::string target_; ///< Registry or gateway with the open call; empty while searching.
    std::uint64_t sequence_ = 0; ///< Of the latest watch; replies to earlier ones are dropped.
    Peer::CallId openCall_ = 0;
    std::set<std::string> asked_; ///< Registries with an open call of the search.
};

} // namespace Services
